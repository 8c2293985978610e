#ifndef POLLENHAVEN_POLICY_FLEET_WAIT_LIMITS_HPP
#define POLLENHAVEN_POLICY_FLEET_WAIT_LIMITS_HPP

#include "core/boot_clock.hpp"
#include "core/records/routing.hpp"

#include <cstdint>

namespace pollenhaven
{

// Returns the maximum time that a request may wait for an endpoint. After a longer wait,
// the response is unlikely to arrive within `caller_time`, for which the caller waits.
milliseconds max_wait_time(const route& matched_route, milliseconds caller_time);

// Returns the time without new bytes after which the callers of the route abandon a
// stream.
milliseconds abandonment_time(const route& matched_route);

// Returns the time without new bytes after which a stream of the route ends that can't go
// on elsewhere. Its caller has abandoned it before.
milliseconds max_stream_silence(const route& matched_route);

// Returns the Retry-After time for a refused caller, which would have waited for
// `time_left` more. It is short, because the requested adapter or endpoint is likely to
// be available soon. It varies with `request_hash`, a hash of the request, so that
// refused callers do not all retry at the same time.
milliseconds retry_delay(milliseconds time_left, std::uint64_t request_hash);

} // namespace pollenhaven

#endif
