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

void count_request(retry_window& sent, const retry_budget_limits& terms, instant now)
{
    remove_expired(sent.requests, terms.window, now);
    sent.requests.push_back(now);
}

bool take_retry(retry_window& sent, const retry_budget_limits& terms, int members,
                instant now)
{
    remove_expired(sent.requests, terms.window, now);
    remove_expired(sent.retries, terms.window, now);
    const double allowed =
        terms.usable_share * (terms.ratio * static_cast<double>(sent.requests.size()) +
                              terms.slack / std::max(1, members));
    if (static_cast<double>(sent.retries.size()) + 1 > allowed)
        return false;
    sent.retries.push_back(now);
    return true;
}

} // namespace pollenhaven
