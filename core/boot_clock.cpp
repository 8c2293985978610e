#include "core/boot_clock.hpp"

#include <ctime>

namespace pollenhaven
{

boot_clock::time_point boot_clock::now()
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    const auto since_boot =
        std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec);
    return time_point(std::chrono::duration_cast<duration>(since_boot));
}

milliseconds to_milliseconds(boot_clock::duration span)
{
    return std::chrono::duration_cast<milliseconds>(span);
}

double to_seconds(boot_clock::duration span)
{
    return std::chrono::duration<double>(span).count();
}

long long wall_clock_nanoseconds()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::nanoseconds>(since_epoch).count();
}

milliseconds wall_clock_milliseconds()
{
    constexpr long long nanoseconds_per_millisecond = 1'000'000;
    return milliseconds(wall_clock_nanoseconds() / nanoseconds_per_millisecond);
}

} // namespace pollenhaven
