#ifndef POLLENHAVEN_POLICY_FLEET_ZONE_RELAY_HPP
#define POLLENHAVEN_POLICY_FLEET_ZONE_RELAY_HPP

#include "policy/fleet/fleet_view.hpp"

#include <string>
#include <vector>

namespace pollenhaven
{

// A message for all daemons crosses to each other availability zone once, to one member
// that relays it there. Another message gets other relays, so one that stands still loses
// only a part of them, and relaying is spread over all.

// The version of the messages between daemons that this release sends. Daemons from
// version 2 on relay messages.
constexpr int message_version = 2;

struct relay_plan
{
    std::vector<daemon_id> direct;
    // One daemon of each other zone, which relays the message to the rest of its zone.
    std::vector<daemon_id> relays;
};

// Returns the receivers of a message for all. Messages with different keys get different
// relays. Zones of which no member can relay get it directly.
relay_plan plan_relays(const fleet_view& fleet, const std::string& key, instant now);

// Returns the peers to which this daemon relays a message of `sender`.
std::vector<daemon_id> relay_targets(const fleet_view& fleet, const daemon_id& sender,
                                     instant now);

} // namespace pollenhaven

#endif
