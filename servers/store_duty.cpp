#include "servers/store_duty.hpp"

#include "core/log.hpp"

#include <utility>

namespace pollenhaven
{

namespace
{

constexpr std::size_t ring_capacity = 8192;
constexpr milliseconds grant_interval{10};

} // namespace

store_duty::store_duty(daemon_context& context, peer_transport& transport)
    : context_(context), transport_(transport), events_(ring_capacity),
      thread_([this] { run(); })
{
}

store_duty::~store_duty()
{
    events_.close();
    thread_.join();
}

void store_duty::ask(const std::string& id, work_class priority, granted_function granted)
{
    events_.try_push(ask_event{id, priority, std::move(granted)});
}

void store_duty::end(const std::string& id)
{
    events_.try_push(end_event{id});
}

void store_duty::ask_for_peer(const permit_message& message, peer_stream_id stream)
{
    events_.try_push(peer_ask_event{message, stream});
}

void store_duty::end_for_peer(const std::string& id)
{
    events_.try_push(end_event{id});
}

void store_duty::peer_cancelled(peer_stream_id stream)
{
    events_.try_push(peer_cancelled_event{stream});
}

void store_duty::run()
{
    while (!events_.closed())
    {
        std::optional<event> next = events_.pop(grant_interval);
        follow_cluster();
        while (next)
        {
            std::visit([this](auto& single) { handle(single); }, *next);
            next = events_.pop(milliseconds(0));
        }
        const instant now = boot_clock::now();
        if (is_holder())
            grant_all(region_budget_, now);
        grant_all(own_budget_, now);
    }
}

void store_duty::follow_cluster()
{
    const std::shared_ptr<const cluster_snapshot> known = context_.cluster.snapshot();
    const store_limits& limits = known->document->store;
    region_budget_.limits = limits;
    own_budget_.limits = static_share(limits, static_cast<int>(known->members.size()));
    if (known->store_holder == holder_)
        return;
    holder_ = known->store_holder;
    log_line(log_level::info, "weight-store permits have a new holder",
             {{"holder", holder_.value}});
    for (const auto& [id, stream] : peer_wishes_)
        transport_.reply(stream, "", true);
    peer_wishes_.clear();
    // A new holder starts with no tokens: what its predecessor granted last is not known.
    region_budget_ = store_budget{limits, 0, boot_clock::now(), {}, {}, {}};
    for (auto& [id, wish] : wishes_)
        ask_holder(id, wish);
}

void store_duty::handle(ask_event& asked)
{
    open_wish& wish = wishes_[asked.id];
    wish.priority = asked.priority;
    wish.granted = std::move(asked.granted);
    ask_holder(asked.id, wish);
}

void store_duty::handle(const end_event& ended)
{
    end_load(region_budget_, ended.id);
    end_load(own_budget_, ended.id);
    peer_wishes_.erase(ended.id);
    const auto wish = wishes_.find(ended.id);
    if (wish != wishes_.end())
    {
        if (wish->second.call)
            transport_.cancel(*wish->second.call);
        wishes_.erase(wish);
    }
    const std::optional<network_address> holder = holder_address();
    if (!is_holder() && holder)
        transport_.call(*holder, load_ended_path,
                        encode(permit_message{ended.id, work_class::interactive}),
                        [](const peer_event&) {});
}

void store_duty::handle(const peer_ask_event& asked)
{
    // Only the holder may grant from the region's budget. Whoever asks somebody else is
    // told at once, and uses its own share.
    if (!is_holder())
    {
        transport_.reply(asked.stream, "", true);
        return;
    }
    const std::string& id = asked.message.id;
    peer_wishes_[id] = asked.stream;
    ask_permit(region_budget_, {id, asked.message.priority, boot_clock::now()});
}

void store_duty::handle(const peer_cancelled_event& cancelled)
{
    for (auto wish = peer_wishes_.begin(); wish != peer_wishes_.end(); ++wish)
    {
        if (wish->second != cancelled.stream)
            continue;
        end_load(region_budget_, wish->first);
        peer_wishes_.erase(wish);
        return;
    }
}

void store_duty::handle(const holder_event& answered)
{
    const auto wish = wishes_.find(answered.id);
    // The end of an answer that granted the wish finds it fulfilled already.
    if (wish == wishes_.end() || !wish->second.call)
        return;
    wish->second.call.reset();
    if (answered.granted)
    {
        grant(answered.id);
        return;
    }
    wish->second.at_holder = false;
    ask_permit(own_budget_, {answered.id, wish->second.priority, boot_clock::now()});
}

void store_duty::ask_holder(const std::string& id, open_wish& wish)
{
    if (wish.call)
        transport_.cancel(*std::exchange(wish.call, std::nullopt));
    const std::optional<network_address> holder = holder_address();
    wish.at_holder = is_holder() || holder.has_value();
    if (is_holder())
    {
        ask_permit(region_budget_, {id, wish.priority, boot_clock::now()});
        return;
    }
    if (!holder)
    {
        ask_permit(own_budget_, {id, wish.priority, boot_clock::now()});
        return;
    }
    wish.call =
        transport_.call(*holder, permit_path, encode(permit_message{id, wish.priority}),
                        [this, id](const peer_event& answer)
                        {
                            if (answer.what == peer_event::kind::message)
                                events_.try_push(holder_event{id, true});
                            else
                                events_.try_push(holder_event{id, false});
                        });
}

void store_duty::grant_all(store_budget& budget, instant now)
{
    for (const std::string& id : grant_permits(budget, now))
        grant(id);
}

void store_duty::grant(const std::string& id)
{
    const auto peer = peer_wishes_.find(id);
    if (peer != peer_wishes_.end())
    {
        transport_.reply(peer->second,
                         encode(permit_message{id, work_class::interactive}), true);
        peer_wishes_.erase(peer);
        return;
    }
    const auto wish = wishes_.find(id);
    if (wish == wishes_.end())
        return;
    const granted_function granted = std::move(wish->second.granted);
    wishes_.erase(wish);
    granted();
}

bool store_duty::is_holder() const
{
    return holder_ == context_.settings.id;
}

std::optional<network_address> store_duty::holder_address() const
{
    const std::shared_ptr<const cluster_snapshot> known = context_.cluster.snapshot();
    const auto member = known->members.find(holder_);
    if (member == known->members.end())
        return std::nullopt;
    return member->second.peer_address;
}

} // namespace pollenhaven
