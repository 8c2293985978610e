#ifndef POLLENHAVEN_POLICY_FLEET_BRITTLE_ENDPOINT_HPP
#define POLLENHAVEN_POLICY_FLEET_BRITTLE_ENDPOINT_HPP

#include "policy/fleet/fleet_view.hpp"

namespace pollenhaven
{

// An endpoint may state that it fails if it has to reject more than some requests per
// second, from all daemons together, because it has no room for them. Daemons then don't
// let requests queue there and keep a reserve of its slots. Once it has rejected a
// request, they divide the room that it seems to have among themselves, so that no two of
// them use the same place, and increase it one place after the other.

// Records that a response to a request that was sent at the time `sent` states the number
// of rejections that the endpoint bears, or states none.
void record_brittleness(endpoint_view& endpoint, std::optional<request_rate> bearable,
                        instant sent, instant now);

// Records that a brittle endpoint rejected a request while it had `accepted` others, as
// this daemon or a peer has counted them.
void record_rejection(endpoint_view& endpoint, int accepted, instant now);

// Returns true if this daemon may send one more request to a brittle endpoint.
bool has_room(const fleet_view& fleet, const endpoint_view& endpoint, instant now);

} // namespace pollenhaven

#endif
