#ifndef POLLENHAVEN_SERVERS_GATEWAY_LOAD_OBSERVATIONS_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_LOAD_OBSERVATIONS_HPP

#include "servers/gateway/gateway_context.hpp"

#include <vector>

namespace pollenhaven
{

// Learns from this daemon's observation of a load, and keeps it for the peers if it is
// informative.
void record_load_observation(gateway_context& context, const load_observation& observed);

// Returns the observations that were kept since the last call.
std::vector<load_observation> take_load_observations(gateway_context& context);

} // namespace pollenhaven

#endif
