#include "servers/gateway/streams/stream_copies.hpp"

#include "policy/fleet/stream_origin.hpp"

#include <algorithm>
#include <utility>

namespace pollenhaven
{

namespace
{

// The streams that begin within this time share a datagram.
constexpr milliseconds sending_interval{10};
// A copy is sent again, to further peers too, until enough have confirmed it.
constexpr milliseconds repetition_interval{100};
constexpr std::size_t further_holders_per_round = 2;
constexpr milliseconds max_sending_time{1000};
// Keeps a datagram below the size of a packet.
constexpr std::size_t max_copies_per_message = 16;

} // namespace

stream_copies::stream_copies(gateway_context& context, send_function send)
    : context_(context), send_(std::move(send))
{
}

void stream_copies::copy(const stream_key& stream, const software_version& version,
                         std::function<void()> confirmed)
{
    const instant now = context_.loop.now();
    if (copy_holders(context_.fleet, now).empty())
    {
        if (confirmed)
            confirmed();
        return;
    }
    outgoing_copy& outgoing = outgoing_[stream];
    outgoing = {};
    outgoing.number = {++last_number_};
    outgoing.version = version;
    outgoing.began = now;
    outgoing.due = now;
    outgoing.confirmed = std::move(confirmed);
    schedule_sending(now);
}

void stream_copies::withdraw(const stream_key& stream)
{
    outgoing_.erase(stream);
}

milliseconds stream_copies::silence() const
{
    const instant now = context_.loop.now();
    if (!unconfirmed_since_ || copy_holders(context_.fleet, now).empty())
        return milliseconds(0);
    return to_milliseconds(now - *unconfirmed_since_);
}

void stream_copies::schedule_sending(instant due)
{
    const instant at = std::max(due, last_sent_ + sending_interval);
    if (next_sending_ && *next_sending_ <= at)
        return;
    context_.loop.cancel(sending_timer_);
    next_sending_ = at;
    sending_timer_ = context_.loop.schedule(at,
                                            [this]
                                            {
                                                next_sending_.reset();
                                                send_due_copies();
                                            });
}

void stream_copies::send_due_copies()
{
    const instant now = context_.loop.now();
    const std::vector<daemon_id> holders = copy_holders(context_.fleet, now);
    last_sent_ = now;
    std::erase_if(outgoing_, [now](const auto& entry)
                  { return now - entry.second.began >= max_sending_time; });
    std::map<daemon_id, std::vector<sent_copy>> copies;
    for (auto& [stream, outgoing] : outgoing_)
    {
        if (outgoing.due > now)
            continue;
        outgoing.due = now + repetition_interval;
        if (outgoing.holders.empty() && !unconfirmed_since_)
            unconfirmed_since_ = now;
        const std::size_t count =
            std::min(holders.size(),
                     copies_per_stream + further_holders_per_round * outgoing.rounds++);
        for (std::size_t place = 0; place < count; ++place)
            if (!outgoing.holders.contains(holders.at(place)))
                copies[holders.at(place)].push_back(
                    {stream, outgoing.version, outgoing.number});
    }
    for (const auto& [holder, list] : copies)
        send_copies(holder, list);
    if (outgoing_.empty())
        return;
    const auto next = std::min_element(outgoing_.begin(), outgoing_.end(),
                                       [](const auto& left, const auto& right)
                                       { return left.second.due < right.second.due; });
    schedule_sending(next->second.due);
}

void stream_copies::send_copies(const daemon_id& holder,
                                const std::vector<sent_copy>& copies)
{
    for (std::size_t sent = 0; sent < copies.size(); sent += max_copies_per_message)
    {
        const std::size_t count = std::min(copies.size() - sent, max_copies_per_message);
        const auto first = copies.begin() + static_cast<std::ptrdiff_t>(sent);
        send_(holder,
              stream_copies_message{context_.settings.id,
                                    context_.incarnation,
                                    {first, first + static_cast<std::ptrdiff_t>(count)}});
    }
}

void stream_copies::on_copies(const stream_copies_message& message)
{
    stream_copies_receipt receipt;
    receipt.sender = context_.settings.id;
    for (const sent_copy& sent : message.copies)
    {
        receipt.streams.emplace_back(sent.stream, sent.number);
        const auto known = held_.find(sent.stream);
        const bool is_overtaken = known != held_.end() &&
                                  known->second.copy.writer == message.sender &&
                                  known->second.copy.incarnation == message.incarnation &&
                                  sent.number < known->second.copy.number;
        if (!is_overtaken)
            held_[sent.stream] = {
                {message.sender, message.incarnation, sent.number, sent.version},
                context_.loop.now(),
                {}};
    }
    send_(message.sender, receipt);
}

void stream_copies::on_receipt(const stream_copies_receipt& message)
{
    unconfirmed_since_.reset();
    std::vector<std::function<void()>> confirmed;
    for (const auto& [stream, number] : message.streams)
    {
        const auto found = outgoing_.find(stream);
        if (found == outgoing_.end() || found->second.number != number)
            continue;
        outgoing_copy& outgoing = found->second;
        outgoing.holders.insert(message.sender);
        if (outgoing.confirmed)
            confirmed.push_back(std::exchange(outgoing.confirmed, nullptr));
        if (outgoing.holders.size() >= confirmed_copies_per_stream)
            outgoing_.erase(found);
    }
    for (const std::function<void()>& call : confirmed)
        call();
}

std::optional<stream_copy> stream_copies::find(const stream_key& stream) const
{
    const auto found = held_.find(stream);
    if (found == held_.end())
        return std::nullopt;
    return found->second.copy;
}

bool stream_copies::is_writer_lost(const stream_copy& copy) const
{
    const auto found = context_.fleet.members.find(copy.writer);
    return found == context_.fleet.members.end() || !found->second.leased ||
           (!found->second.incarnation.empty() &&
            found->second.incarnation != copy.incarnation);
}

std::map<stream_key, software_version> stream_copies::take_copies_of_lost_writers()
{
    std::map<stream_key, software_version> taken;
    for (auto& [stream, held] : held_)
    {
        if (held.taken_in == context_.fleet.era || !is_writer_lost(held.copy))
            continue;
        held.taken_in = context_.fleet.era;
        taken[stream] = held.copy.version;
    }
    return taken;
}

void stream_copies::remove_ended_streams()
{
    const instant now = context_.loop.now();
    std::erase_if(held_, [now](const auto& entry)
                  { return now - entry.second.received > stream_lifetime; });
}

} // namespace pollenhaven
