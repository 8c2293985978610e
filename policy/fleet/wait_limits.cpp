#include "policy/fleet/wait_limits.hpp"

#include <algorithm>

namespace pollenhaven
{

namespace
{

// The share of a caller's time after which waiting for an endpoint ends, so that a
// generation of usual length still fits into the rest.
constexpr double waiting_share = 0.4;
// Callers leave a stream whose first event doesn't come in this many times the target
// latency, though not before two seconds; the first event itself needs some time.
constexpr int abandonment_factor = 4;
constexpr milliseconds shortest_abandonment{2000};
constexpr milliseconds first_token_reserve{250};
constexpr milliseconds shortest_return{300};
constexpr std::uint64_t return_spread_ms = 700;
// Callers wait at most a third of the time they have left.
constexpr int callers_part = 3;

} // namespace

milliseconds max_wait_time(const route& via, milliseconds caller_time)
{
    const milliseconds time = std::min(caller_time, via.timeout);
    const milliseconds share(
        static_cast<long long>(static_cast<double>(time.count()) * waiting_share));
    if (via.kind != route_kind::streaming)
        return share;
    const milliseconds until_abandoned =
        std::max(shortest_abandonment, via.target_latency * abandonment_factor);
    return std::min(share, until_abandoned - first_token_reserve);
}

milliseconds retry_delay(milliseconds time_left, std::uint64_t draw)
{
    const milliseconds spread(static_cast<long long>(draw % return_spread_ms));
    return std::min(shortest_return + spread,
                    std::max(time_left / callers_part, milliseconds(0)));
}

} // namespace pollenhaven
