#ifndef POLLENHAVEN_POLICY_FLEET_ZONE_RELAY_HPP
#define POLLENHAVEN_POLICY_FLEET_ZONE_RELAY_HPP

#include "policy/fleet/fleet_view.hpp"

#include <string>
#include <vector>

namespace pollenhaven
{

// A message to all daemons is sent to each other availability zone once: to one member,
// which relays it to the rest of its zone. The relay changes with each message. So the
// work is spread over all members, and a relay that is paused delays only few messages.

// The version of the messages between daemons that this release sends. Daemons from
// version 2 on relay messages, and those from version 3 on hold copies of the records of
// streams (stream_copies.hpp).
constexpr int message_version = 3;

struct relay_plan
{
    std::vector<daemon_id> direct;
    // One daemon of each other zone, which relays the message to the rest of its zone.
    std::vector<daemon_id> relays;
};

// Returns the receivers of a message to all daemons. The key of the message selects the
// relays. If no member of a zone can relay, all members of the zone get it directly.
relay_plan plan_relays(const fleet_view& fleet, const std::string& key, instant now);

// Returns the peers to which this daemon relays a message of `sender`.
std::vector<daemon_id> relay_targets(const fleet_view& fleet, const daemon_id& sender,
                                     instant now);

} // namespace pollenhaven

#endif
