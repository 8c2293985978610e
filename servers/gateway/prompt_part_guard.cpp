#include "servers/gateway/prompt_part_guard.hpp"

#include <algorithm>

namespace pollenhaven
{

namespace
{

constexpr int broadcast_count = 3;
constexpr milliseconds broadcast_interval{300};
// A daemon that was paused doesn't repeat a crash later than this, since it would count
// as another one.
constexpr milliseconds max_announcement_age{1000};
constexpr milliseconds gossip_interval{1000};
// A datagram with this many items fits into a few network packets.
constexpr std::size_t max_items_per_message = 100;

} // namespace

prompt_part_guard::prompt_part_guard(gateway_context& context, send_function broadcast,
                                     send_function gossip)
    : context_(context), broadcast_(std::move(broadcast)), gossip_(std::move(gossip))
{
}

bool prompt_part_guard::admits(http_exchange& exchange)
{
    if (exchange.is_part_trial)
        return true;
    const std::vector<prompt_part_id> blocked =
        blocked_among(history_, exchange.request.shared_prompt_parts);
    if (blocked.empty())
        return true;
    // A trial with two blocked parts would not tell which of them crashes.
    if (blocked.size() > 1 || !is_trial(exchange, blocked.front()))
        return false;
    exchange.is_part_trial = true;
    record_trial(history_, blocked.front(), context_.loop.now());
    context_.log.write("prompt part tried", {{"part", blocked.front().value},
                                             {"request", exchange.request.id.value}});
    announce_block(blocked.front());
    return true;
}

bool prompt_part_guard::is_trial(const http_exchange& exchange,
                                 const prompt_part_id& part) const
{
    return exchange.phase == exchange_phase::waiting &&
           is_trial_due(history_, part, context_.loop.now()) &&
           daemon_for_trial(context_.fleet, part, history_.blocked.at(part).trials) ==
               context_.settings.id;
}

void prompt_part_guard::on_answered(const http_exchange& exchange)
{
    for (const prompt_part_id& part : record_parts_answered(
             history_, exchange.request.shared_prompt_parts, context_.loop.now()))
    {
        context_.log.write(
            "prompt part cleared",
            {{"part", part.value}, {"request", exchange.request.id.value}});
        announce({announcement::subject::answered, part});
        // If the part was blocked, another one explains its crashes.
        schedule_evaluation();
    }
}

void prompt_part_guard::on_crash(const endpoint_id& endpoint,
                                 const positioned_parts& parts)
{
    record_part_crash(history_, endpoint, parts, context_.loop.now());
    for (const auto& [part, position] : parts)
        announce({announcement::subject::crash, part, position, endpoint});
    schedule_evaluation();
}

void prompt_part_guard::adopt(const prompt_part_id& part, const blocked_part& block)
{
    const bool is_new = !history_.blocked.contains(part);
    if (adopt_block(history_, part, block, context_.loop.now()) && is_new)
        context_.log.write("prompt part blocked",
                           {{"part", part.value}, {"told_by", "store"}});
}

void prompt_part_guard::merge(const prompt_parts_message& message)
{
    const instant now = context_.loop.now();
    for (const auto& [endpoint, parts] : message.crashes)
        record_part_crash(history_, endpoint, parts, now);
    record_parts_answered(history_, message.answered, now);
    for (const auto& [part, block] : message.blocked)
    {
        const bool is_new = !history_.blocked.contains(part);
        if (!adopt_block(history_, part, {block.trials, now + block.next_trial_in}, now))
            announce({announcement::subject::answered, part});
        else if (is_new)
            context_.log.write("prompt part blocked",
                               {{"part", part.value}, {"told_by", message.sender.value}});
    }
    if (!message.crashes.empty() || !message.answered.empty())
        schedule_evaluation();
}

void prompt_part_guard::schedule_evaluation()
{
    context_.loop.schedule_after(evidence_delay, [this] { evaluate(); });
}

void prompt_part_guard::evaluate()
{
    const std::vector<prompt_part_id> parts =
        block_crashing_parts(history_, context_.loop.now());
    for (const prompt_part_id& part : parts)
    {
        context_.log.write("prompt part blocked",
                           {{"part", part.value}, {"told_by", ""}});
        context_.metrics.add("pollenhaven_prompt_parts_blocked_total");
        announce_block(part);
    }
    if (!parts.empty())
        blocked_();
}

void prompt_part_guard::announce_block(const prompt_part_id& part)
{
    announce({announcement::subject::blocked, part});
}

void prompt_part_guard::announce(announcement item)
{
    // What is told of a part now replaces what was decided about it before.
    if (item.about != announcement::subject::crash)
        std::erase_if(announcements_,
                      [&](const announcement& other) {
                          return other.part == item.part &&
                                 other.about != announcement::subject::crash;
                      });
    item.sends_left = broadcast_count;
    item.made_at = context_.loop.now();
    announcements_.push_back(std::move(item));
    if (send_scheduled_)
        return;
    send_scheduled_ = true;
    // All that is due now goes into one message.
    context_.loop.schedule_after(milliseconds(0),
                                 [this]
                                 {
                                     send_scheduled_ = false;
                                     send_announcements(broadcast_count, broadcast_count);
                                     schedule_repetition();
                                 });
}

void prompt_part_guard::schedule_repetition()
{
    if (repetition_scheduled_ || announcements_.empty())
        return;
    repetition_scheduled_ = true;
    context_.loop.schedule_after(broadcast_interval,
                                 [this]
                                 {
                                     repetition_scheduled_ = false;
                                     send_announcements(1, broadcast_count - 1);
                                     schedule_repetition();
                                 });
}

void prompt_part_guard::send_announcements(int min_sends_left, int max_sends_left)
{
    const instant now = context_.loop.now();
    std::erase_if(announcements_,
                  [&](const announcement& item)
                  {
                      return item.about == announcement::subject::crash &&
                             now - item.made_at > max_announcement_age;
                  });
    prompt_parts_message message;
    message.sender = context_.settings.id;
    std::size_t items = 0;
    for (announcement& item : announcements_)
    {
        if (item.sends_left < min_sends_left || item.sends_left > max_sends_left)
            continue;
        --item.sends_left;
        add_item(message, item);
        if (++items < max_items_per_message)
            continue;
        broadcast_(message);
        message = {context_.settings.id, {}, {}, {}};
        items = 0;
    }
    if (items > 0)
        broadcast_(message);
    std::erase_if(announcements_,
                  [](const announcement& item) { return item.sends_left == 0; });
}

void prompt_part_guard::add_item(prompt_parts_message& message,
                                 const announcement& item) const
{
    if (item.about == announcement::subject::crash)
        message.crashes[item.endpoint][item.part] = item.position;
    else if (item.about == announcement::subject::answered)
        message.answered.push_back(item.part);
    else
        add_block(message, item.part);
}

void prompt_part_guard::add_block(prompt_parts_message& message,
                                  const prompt_part_id& part) const
{
    const auto found = history_.blocked.find(part);
    if (found == history_.blocked.end())
        return;
    const instant now = context_.loop.now();
    const instant due = std::max(found->second.next_trial_at, now);
    message.blocked[part] = {found->second.trials, to_milliseconds(due - now)};
}

void prompt_part_guard::gossip_blocks()
{
    prompt_parts_message message;
    message.sender = context_.settings.id;
    for (const auto& [part, block] : history_.blocked)
        add_block(message, part);
    if (!message.blocked.empty())
        gossip_(message);
}

void prompt_part_guard::run_periodic_work()
{
    const instant now = context_.loop.now();
    remove_expired(history_, now);
    if (now - last_gossip_ < gossip_interval)
        return;
    last_gossip_ = now;
    gossip_blocks();
}

} // namespace pollenhaven
