#ifndef POLLENHAVEN_POLICY_FLEET_WAIT_LIMITS_HPP
#define POLLENHAVEN_POLICY_FLEET_WAIT_LIMITS_HPP

#include "core/boot_clock.hpp"
#include "core/records/routing.hpp"

#include <cstdint>

namespace pollenhaven
{

// How long a request may wait for an endpoint: beyond this it would hardly be answered in
// the time that its caller has.
milliseconds max_wait_time(const route& via, milliseconds caller_time);

// When a refused caller should come back: soon, because what it waits for is likely to be
// there, at moments spread by the draw so that refused callers don't return together.
milliseconds retry_delay(milliseconds time_left, std::uint64_t draw);

} // namespace pollenhaven

#endif
