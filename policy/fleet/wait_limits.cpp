#include "policy/fleet/wait_limits.hpp"

#include <algorithm>

namespace pollenhaven
{

namespace
{

// The share of the caller's time that a request may wait for an endpoint. The rest is
// enough to generate a response of usual length.
constexpr double max_wait_share = 0.4;
// Callers abandon a stream after a gap of this many times the target latency, also before
// its first event, but not before two seconds. The reserve leaves the endpoint time to
// generate the first event.
constexpr int abandonment_factor = 4;
constexpr milliseconds min_abandonment_time{2000};
constexpr milliseconds first_token_reserve{250};
constexpr milliseconds min_stream_silence_limit{5000};
constexpr milliseconds min_retry_delay{300};
constexpr std::uint64_t retry_spread_ms = 700;
// The retry delay is at most a third of the time that the caller has left.
constexpr int max_delay_divisor = 3;

} // namespace

milliseconds max_wait_time(const route& matched_route, milliseconds caller_time)
{
    const milliseconds time = std::min(caller_time, matched_route.timeout);
    const milliseconds share(
        static_cast<long long>(static_cast<double>(time.count()) * max_wait_share));
    if (matched_route.kind != route_kind::streaming)
        return share;
    return std::min(share, abandonment_time(matched_route) - first_token_reserve);
}

milliseconds abandonment_time(const route& matched_route)
{
    return std::max(min_abandonment_time,
                    matched_route.target_latency * abandonment_factor);
}

milliseconds max_stream_silence(const route& matched_route)
{
    return std::max(min_stream_silence_limit, abandonment_time(matched_route));
}

milliseconds retry_delay(milliseconds time_left, std::uint64_t request_hash)
{
    const milliseconds spread(static_cast<long long>(request_hash % retry_spread_ms));
    return std::min(min_retry_delay + spread,
                    std::max(time_left / max_delay_divisor, milliseconds(0)));
}

} // namespace pollenhaven
