#include "policy/fleet/retry_budget.hpp"

#include <algorithm>

namespace pollenhaven
{

namespace
{

void remove_expired(std::deque<instant>& times, seconds window, instant now)
{
    while (!times.empty() && now - times.front() > window)
        times.pop_front();
}

} // namespace

void count_request(retry_window& recent_attempts, const retry_budget_limits& limits,
                   instant now)
{
    remove_expired(recent_attempts.requests, limits.window, now);
    recent_attempts.requests.push_back(now);
}

bool take_retry(retry_window& recent_attempts, const retry_budget_limits& limits,
                int members, instant now)
{
    remove_expired(recent_attempts.requests, limits.window, now);
    remove_expired(recent_attempts.retries, limits.window, now);
    const double allowed =
        limits.usable_share *
        (limits.ratio * static_cast<double>(recent_attempts.requests.size()) +
         limits.slack / std::max(1, members));
    if (static_cast<double>(recent_attempts.retries.size()) + 1 > allowed)
        return false;
    recent_attempts.retries.push_back(now);
    return true;
}

} // namespace pollenhaven
