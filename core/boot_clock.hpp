#ifndef POLLENHAVEN_CORE_BOOT_CLOCK_HPP
#define POLLENHAVEN_CORE_BOOT_CLOCK_HPP

#include <chrono>

namespace pollenhaven
{

// A clock that never goes back and that keeps running while the process is stopped or the
// instance is suspended. Leases are judged by it, because a holder that was paused must
// see on waking that its lease has lapsed.
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

// The span without its part of a millisecond.
milliseconds to_milliseconds(boot_clock::duration span);

// Seconds as a floating-point number, for reports.
double to_seconds(boot_clock::duration span);

// Nanoseconds of wall-clock time since 1970, for spans and logs only.
long long wall_clock_nanoseconds();

// Milliseconds of wall-clock time since 1970; may jump by seconds.
milliseconds wall_clock_milliseconds();

} // namespace pollenhaven

#endif
