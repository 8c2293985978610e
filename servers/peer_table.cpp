#include "servers/peer_table.hpp"

namespace pollenhaven
{

namespace
{

// A daemon that was not heard for this long gets no new work.
constexpr milliseconds silence_limit{3000};
// By then an owner's digest shows a request that was sent to it.
constexpr milliseconds digest_delay{500};

} // namespace

void peer_table::merge(const gossip_message& message, instant now)
{
    const std::lock_guard lock(mutex_);
    peer_state& peer = peers_[message.from];
    if (peer.incarnation != message.incarnation)
        peer = {};
    peer.incarnation = message.incarnation;
    peer.heard = now;
    peer.leaving = message.leaving;
    peer.served = message.served;
    if (!message.has_endpoints)
        return;
    peer.endpoints.clear();
    for (const endpoint_digest& digest : message.endpoints)
        peer.endpoints[digest.id] = digest;
}

std::map<daemon_id, peer_state> peer_table::all() const
{
    const std::lock_guard lock(mutex_);
    return peers_;
}

std::map<partner_id, double> peer_table::served_by_others(const daemon_id& self) const
{
    const std::lock_guard lock(mutex_);
    std::map<partner_id, double> total;
    for (const auto& [id, peer] : peers_)
    {
        if (id == self)
            continue;
        for (const auto& [partner, tokens] : peer.served)
            total[partner] += tokens;
    }
    return total;
}

std::optional<endpoint_digest>
peer_table::endpoint(const daemon_id& owner, const endpoint_id& id, instant now) const
{
    const std::lock_guard lock(mutex_);
    const auto peer = peers_.find(owner);
    if (peer == peers_.end() || now - peer->second.heard > silence_limit)
        return std::nullopt;
    const auto digest = peer->second.endpoints.find(id);
    if (digest == peer->second.endpoints.end())
        return std::nullopt;
    endpoint_digest known = digest->second;
    add_sent(known, now);
    return known;
}

void peer_table::add_sent(endpoint_digest& digest, instant now) const
{
    for (const sent_request& sent : sent_)
    {
        if (sent.endpoint != digest.id || now - sent.at > digest_delay)
            continue;
        const bool loads = digest.adapters.emplace(sent.model, residency::loading).second;
        ++(loads ? digest.stalled : digest.queued[sent.partner]);
    }
}

void peer_table::count_sent(const endpoint_id& id, const model_ref& model,
                            const partner_id& partner, instant now)
{
    const std::lock_guard lock(mutex_);
    while (!sent_.empty() && now - sent_.front().at > digest_delay)
        sent_.pop_front();
    sent_.push_back({id, model, partner, now});
}

void peer_table::mark_silent(const daemon_id& peer)
{
    const std::lock_guard lock(mutex_);
    const auto found = peers_.find(peer);
    if (found != peers_.end())
        found->second.heard = instant{};
}

bool peer_table::is_heard(const daemon_id& peer, instant now) const
{
    const std::lock_guard lock(mutex_);
    const auto found = peers_.find(peer);
    return found != peers_.end() && now - found->second.heard <= silence_limit;
}

} // namespace pollenhaven
