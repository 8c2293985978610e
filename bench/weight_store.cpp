#include "bench/weight_store.hpp"

#include <algorithm>
#include <cmath>

namespace pollenhaven::bench
{

namespace
{

constexpr double microseconds_per_millisecond = 1000;
// Rounding must not leave a fetch for ever a fraction of a microsecond from its end.
constexpr double smallest_rest_ms = 1e-3;

} // namespace

weight_store::weight_store(milliseconds fetch_time, int at_full_speed)
    : fetch_ms_(static_cast<double>(fetch_time.count())),
      full_speed_fetches_(at_full_speed)
{
}

double weight_store::speed() const
{
    const auto under_way = static_cast<double>(remaining_ms_.size());
    return under_way <= full_speed_fetches_ ? 1 : full_speed_fetches_ / under_way;
}

std::uint64_t weight_store::start_fetch(instant now)
{
    advance(now);
    remaining_ms_[++last_fetch_] = fetch_ms_;
    return last_fetch_;
}

void weight_store::advance(instant now)
{
    while (now > advanced_to_ && !remaining_ms_.empty())
    {
        const instant until = std::min(now, next_completion(advanced_to_));
        const double done = static_cast<double>((until - advanced_to_).count()) /
                            microseconds_per_millisecond * speed();
        for (auto& [fetch, left] : remaining_ms_)
            left -= done;
        std::erase_if(remaining_ms_,
                      [](const auto& entry) { return entry.second <= smallest_rest_ms; });
        advanced_to_ = until;
    }
    advanced_to_ = std::max(advanced_to_, now);
}

instant weight_store::next_completion(instant now) const
{
    double least = fetch_ms_;
    for (const auto& [fetch, left] : remaining_ms_)
        least = std::min(least, left);
    if (remaining_ms_.empty())
        return now;
    return now + microseconds(static_cast<long long>(
                     std::ceil(least / speed() * microseconds_per_millisecond)));
}

} // namespace pollenhaven::bench
