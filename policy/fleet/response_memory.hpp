#ifndef POLLENHAVEN_POLICY_FLEET_RESPONSE_MEMORY_HPP
#define POLLENHAVEN_POLICY_FLEET_RESPONSE_MEMORY_HPP

#include <cstddef>

namespace pollenhaven
{

// Limit on what an endpoint can make the daemon hold for one request: a response that is
// passed on only when it is complete.
constexpr std::size_t max_response_bytes = 8UL << 20U;

// Returns the limit, in bytes, on what a process that may use `memory_mb` MB holds of all
// unfinished responses together. One response always fits.
std::size_t held_response_limit(double memory_mb);

} // namespace pollenhaven

#endif
