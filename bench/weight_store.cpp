#include "bench/weight_store.hpp"

#include <algorithm>
#include <cmath>

namespace pollenhaven::bench
{

namespace
{

constexpr double microseconds_per_millisecond = 1000;
// Fetches this close to their end count as complete; otherwise rounding to microseconds
// could keep a fetch from ever completing.
constexpr double completion_tolerance_ms = 1e-3;

} // namespace

weight_store::weight_store(milliseconds fetch_time, int full_speed_fetches)
    : fetch_ms_(static_cast<double>(fetch_time.count())),
      full_speed_fetches_(full_speed_fetches)
{
}

double weight_store::speed() const
{
    const auto in_progress = static_cast<double>(remaining_ms_.size());
    return in_progress <= full_speed_fetches_ ? 1 : full_speed_fetches_ / in_progress;
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
        const double progress_ms = static_cast<double>((until - advanced_to_).count()) /
                                   microseconds_per_millisecond * speed();
        for (auto& [fetch, remaining] : remaining_ms_)
            remaining -= progress_ms;
        std::erase_if(remaining_ms_, [](const auto& entry)
                      { return entry.second <= completion_tolerance_ms; });
        advanced_to_ = until;
    }
    advanced_to_ = std::max(advanced_to_, now);
}

instant weight_store::next_completion(instant now) const
{
    double min_remaining = fetch_ms_;
    for (const auto& [fetch, remaining] : remaining_ms_)
        min_remaining = std::min(min_remaining, remaining);
    if (remaining_ms_.empty())
        return now;
    return now + microseconds(static_cast<long long>(
                     std::ceil(min_remaining / speed() * microseconds_per_millisecond)));
}

} // namespace pollenhaven::bench
