#include "servers/gossip_duty.hpp"

#include "core/log.hpp"

#include <utility>

namespace pollenhaven
{

namespace
{

constexpr milliseconds gossip_interval{250};
// Unchanged news is repeated as a heartbeat after this many intervals.
constexpr int heartbeat_intervals = 4;

std::string endpoints_text(const gossip_message& message)
{
    gossip_message only_endpoints;
    only_endpoints.has_endpoints = true;
    only_endpoints.endpoints = message.endpoints;
    return encode(only_endpoints);
}

} // namespace

gossip_duty::gossip_duty(daemon_context& context, peer_transport& transport,
                         owner_duty& owner)
    : context_(context), transport_(transport), owner_(owner), thread_([this] { run(); })
{
}

gossip_duty::~gossip_duty()
{
    {
        const std::lock_guard lock(mutex_);
        ending_ = true;
    }
    wake_.notify_all();
    thread_.join();
}

void gossip_duty::send_soon()
{
    {
        const std::lock_guard lock(mutex_);
        send_now_ = true;
    }
    wake_.notify_all();
}

void gossip_duty::run()
{
    std::unique_lock lock(mutex_);
    while (!ending_)
    {
        wake_.wait_for(lock, gossip_interval, [this] { return send_now_ || ending_; });
        send_now_ = false;
        lock.unlock();
        send_all();
        lock.lock();
    }
}

gossip_message gossip_duty::make_message() const
{
    const std::shared_ptr<const cluster_snapshot> known = context_.cluster.snapshot();
    gossip_message message;
    message.from = context_.settings.id;
    message.incarnation = context_.incarnation;
    message.leaving = known->self_leaving;
    message.ownership_revision = known->ownership_revision;
    message.document_revision = known->document_revision;
    message.has_endpoints = true;
    message.endpoints = owner_.digests();
    message.served = owner_.served();
    message.crashes = owner_.crash_notes();
    message.wants_state = known->members.count(context_.settings.id) == 0;
    return message;
}

std::map<incarnation_id, network_address> gossip_duty::receivers() const
{
    const std::shared_ptr<const cluster_snapshot> known = context_.cluster.snapshot();
    std::map<incarnation_id, network_address> found;
    for (const auto& [id, member] : known->known_members)
    {
        if (id != context_.settings.id)
            found[member.incarnation] = member.peer_address;
    }
    if (!found.empty())
        return found;
    // Started in an outage, this daemon knows nobody but those its settings name.
    for (const network_address& seed : context_.settings.seed_peers)
        found[{seed.value}] = seed;
    return found;
}

void gossip_duty::send_all()
{
    gossip_message message = make_message();
    const instant now = boot_clock::now();
    context_.peers.merge(message, now);
    context_.metrics.set("pollenhaven_peer_bytes_sent",
                         static_cast<double>(transport_.bytes_sent()));
    context_.metrics.set("pollenhaven_peer_bytes_received",
                         static_cast<double>(transport_.bytes_received()));
    const std::string endpoints = endpoints_text(message);
    const bool heartbeat = ++intervals_ % heartbeat_intervals == 0;
    for (const auto& [incarnation, address] : receivers())
    {
        message.has_endpoints = !has_acknowledged(incarnation, endpoints);
        if (!message.has_endpoints && !heartbeat && !message.wants_state)
            continue;
        transport_.call(address, gossip_path, encode(message),
                        [this, endpoints, peer = incarnation](const peer_event& event)
                        {
                            if (event.what != peer_event::kind::message)
                                return;
                            note_acknowledged(peer, endpoints);
                            adopt(decode_gossip_answer(event.message));
                        });
    }
}

bool gossip_duty::has_acknowledged(const incarnation_id& peer,
                                   const std::string& endpoints)
{
    const std::lock_guard lock(mutex_);
    const auto found = acknowledged_.find(peer);
    return found != acknowledged_.end() && found->second == endpoints;
}

void gossip_duty::note_acknowledged(const incarnation_id& peer,
                                    const std::string& endpoints)
{
    const std::lock_guard lock(mutex_);
    acknowledged_[peer] = endpoints;
}

void gossip_duty::adopt(const gossip_answer& answer)
{
    const std::shared_ptr<const cluster_snapshot> known = context_.cluster.snapshot();
    if (!answer.ownership.empty() &&
        answer.ownership_revision > known->ownership_revision)
    {
        const ownership_document document = decode_ownership(answer.ownership);
        context_.cluster.update(
            [&](cluster_snapshot& snapshot)
            { adopt_ownership(snapshot, document, answer.ownership_revision); });
    }
    if (!answer.state.empty())
        adopt_members(answer);
    if (answer.sections.empty())
        return;
    store_revision newest;
    for (const document_section& section : answer.sections)
        newest = std::max(newest, section.revision);
    context_.cluster.update([&](cluster_snapshot& snapshot)
                            { adopt_sections(snapshot, answer.sections, newest); });
}

void gossip_duty::adopt_members(const gossip_answer& answer)
{
    context_.cluster.update(
        [&](cluster_snapshot& snapshot)
        {
            for (const std::string& text : answer.members)
            {
                const member_record member = decode_member(text);
                snapshot.known_members.emplace(member.id, member);
            }
        });
    context_.peers.merge(decode_gossip_message(answer.state), boot_clock::now());
}

gossip_answer gossip_duty::answer(const gossip_message& message)
{
    context_.peers.merge(message, boot_clock::now());
    owner_.merge_crashes(message.crashes);
    const std::shared_ptr<const cluster_snapshot> known = context_.cluster.snapshot();
    gossip_answer reply;
    reply.ownership_revision = known->ownership_revision;
    if (known->ownership_revision > message.ownership_revision)
        reply.ownership = encode_ownership(known->ownership);
    if (message.wants_state)
    {
        for (const auto& [id, member] : known->known_members)
            reply.members.push_back(encode_member(member));
        reply.state = encode(make_message());
    }
    if (known->document_revision > message.document_revision)
    {
        for (const auto& [name, section] : *known->sections)
        {
            if (section.revision > message.document_revision)
                reply.sections.push_back(section);
        }
    }
    return reply;
}

} // namespace pollenhaven
