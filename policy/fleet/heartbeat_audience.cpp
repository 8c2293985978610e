#include "policy/fleet/heartbeat_audience.hpp"

#include "policy/rendezvous.hpp"

#include <algorithm>
#include <tuple>

namespace pollenhaven
{

namespace
{

constexpr std::size_t max_neighbours = 6;
// Peers that get a heartbeat in their turn.
constexpr std::size_t targets_in_turn = 2;
constexpr std::size_t max_small_fleet = max_neighbours + targets_in_turn;
// A datagram may be lost.
constexpr int sends_per_status = 3;
constexpr milliseconds peer_lifetime{5000};

std::uint64_t position_of(const daemon_id& member)
{
    return rendezvous_weight("neighbours", member.value);
}

std::vector<daemon_id> reachable_peers(const fleet_view& fleet, instant now)
{
    std::vector<daemon_id> peers;
    for (const auto& [id, member] : fleet.members)
        if (is_reachable_peer(fleet, member, now))
            peers.push_back(id);
    return peers;
}

std::vector<daemon_id> neighbours_among(const std::vector<daemon_id>& peers,
                                        const fleet_view& fleet)
{
    if (peers.size() <= max_small_fleet)
        return peers;
    std::vector<std::tuple<bool, std::uint64_t, daemon_id>> order;
    order.reserve(peers.size());
    const std::uint64_t own = position_of(fleet.self);
    for (const daemon_id& peer : peers)
        order.emplace_back(fleet.members.at(peer).zone != fleet.zone,
                           position_of(peer) - own, peer);
    std::sort(order.begin(), order.end());
    std::vector<daemon_id> neighbours;
    for (std::size_t rank = 0; rank < max_neighbours; ++rank)
        neighbours.push_back(std::get<daemon_id>(order[rank]));
    return neighbours;
}

} // namespace

bool is_reachable_peer(const fleet_view& fleet, const member_view& member, instant now)
{
    return member.id != fleet.self && !member.peer_address.empty() &&
           (member.leased || now - member.last_message_at < peer_lifetime);
}

std::vector<daemon_id> heartbeat_neighbours(const fleet_view& fleet, instant now)
{
    return neighbours_among(reachable_peers(fleet, now), fleet);
}

std::vector<heartbeat_target> next_targets(heartbeat_audience& audience,
                                           const fleet_view& fleet, std::uint64_t status,
                                           bool to_all, instant now)
{
    const std::vector<daemon_id> peers = reachable_peers(fleet, now);
    const std::vector<daemon_id> neighbours = neighbours_among(peers, fleet);
    std::erase_if(audience.sent,
                  [&](const auto& entry) {
                      return !std::binary_search(peers.begin(), peers.end(), entry.first);
                  });
    // `peers` is sorted, so the next ones in turn follow the last one.
    const auto after_last =
        std::upper_bound(peers.begin(), peers.end(), audience.last_in_turn);
    const auto first_in_turn = after_last - peers.begin();
    std::vector<heartbeat_target> targets;
    for (std::size_t index = 0; index < peers.size(); ++index)
    {
        const daemon_id& peer = peers[index];
        const bool is_regular = to_all || std::find(neighbours.begin(), neighbours.end(),
                                                    peer) != neighbours.end();
        const std::size_t turn =
            (index + peers.size() - static_cast<std::size_t>(first_in_turn)) %
            peers.size();
        const bool has_turn = turn < targets_in_turn;
        heartbeat_audience::sent_status& sent = audience.sent[peer];
        const incarnation_id& receiver = fleet.members.at(peer).incarnation;
        if (sent.status != status || sent.receiver != receiver ||
            (sent.was_regular && !is_regular))
            sent = {status, 0, receiver};
        sent.was_regular = is_regular;
        if (!is_regular && !has_turn && sent.times >= sends_per_status)
            continue;
        sent.times = std::min(sent.times + 1, sends_per_status);
        if (has_turn)
            audience.last_in_turn = peer;
        targets.push_back({peer, is_regular});
    }
    return targets;
}

} // namespace pollenhaven
