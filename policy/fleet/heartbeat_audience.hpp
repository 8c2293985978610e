#ifndef POLLENHAVEN_POLICY_FLEET_HEARTBEAT_AUDIENCE_HPP
#define POLLENHAVEN_POLICY_FLEET_HEARTBEAT_AUDIENCE_HPP

#include "policy/fleet/fleet_view.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace pollenhaven
{

// Chooses the peers that get a heartbeat, so that the number of heartbeats that a daemon
// sends and receives has a bound in any fleet. A fixed set of neighbours gets each one;
// the others in turn a few with each round, and every one of them the next three after
// something of it changed, or when it isn't a neighbour any more. In small fleets all
// peers are neighbours.

// Who has been sent what a daemon says of itself.
struct heartbeat_audience
{
    // The status that a member has been sent, how often, and the member's run.
    struct sent_status
    {
        std::uint64_t status = 0;
        int times = 0;
        incarnation_id receiver;
        bool was_regular = false;
    };
    std::map<daemon_id, sent_status> sent;
    // The last member that got a heartbeat in its turn.
    daemon_id last_in_turn;
};

struct heartbeat_target
{
    daemon_id member;
    // The member gets each heartbeat, so it may conclude something from their absence.
    bool is_regular = false;
};

// Returns the peers that get each heartbeat of this daemon: those that follow it in the
// order of the hashes of their ids, first the ones of its availability zone.
std::vector<daemon_id> heartbeat_neighbours(const fleet_view& fleet, instant now);

// Returns the targets of the next heartbeat. `status` is another number each time that
// something changes of what all peers must know. `to_all` is true while each peer needs
// each heartbeat.
std::vector<heartbeat_target> next_targets(heartbeat_audience& audience,
                                           const fleet_view& fleet, std::uint64_t status,
                                           bool to_all, instant now);

// Returns true if a datagram to the peer may arrive: it has a lease or was heard lately.
bool is_reachable_peer(const fleet_view& fleet, const member_view& member, instant now);

} // namespace pollenhaven

#endif
