#ifndef POLLENHAVEN_CORE_BOOT_CLOCK_HPP
#define POLLENHAVEN_CORE_BOOT_CLOCK_HPP

#include <chrono>

namespace pollenhaven
{

// A monotonic clock that also advances while the process is stopped or the instance is
// suspended (CLOCK_BOOTTIME). Lease validity is measured with it, because a holder that
// was paused must find its lease expired when it resumes.
struct boot_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now();
};

using instant = boot_clock::time_point;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Converts to milliseconds, rounding toward zero.
milliseconds to_milliseconds(boot_clock::duration span);

// Converts to fractional seconds, for metrics and reports.
double to_seconds(boot_clock::duration span);

// Returns the wall-clock time since the Unix epoch, in nanoseconds. Use it only for trace
// spans and logs, because it jumps when the system clock is set.
long long wall_clock_nanoseconds();

// Returns the wall-clock time since the Unix epoch. It may jump by seconds when the
// system clock is set.
milliseconds wall_clock_milliseconds();

} // namespace pollenhaven

#endif
