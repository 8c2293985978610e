#ifndef POLLENHAVEN_POLICY_FLEET_RETRY_BUDGET_HPP
#define POLLENHAVEN_POLICY_FLEET_RETRY_BUDGET_HPP

#include "core/boot_clock.hpp"

#include <deque>

namespace pollenhaven
{

// Limits on the number of retries by all daemons together within a sliding window. Every
// attempt after the first one of a request is a retry.
struct retry_budget_limits
{
    // Number of retries per request within the window.
    double ratio = 0.2;
    // Number of additional retries, over all daemons.
    double slack = 56;
    seconds window{10};
    // The share of both limits that the daemons use. The rest is a reserve for changes in
    // the number of members.
    double usable_share = 0.85;
};

// Times of the requests and retries that one daemon recently sent to one service.
struct retry_window
{
    std::deque<instant> requests;
    std::deque<instant> retries;
};

// Counts the first attempt of a request.
void count_request(retry_window& recent_attempts, const retry_budget_limits& limits,
                   instant now);

// Takes one retry from the budget. Each of `members` daemons has an equal share of the
// slack, plus the ratio applied to its own requests. Returns false if this daemon's share
// is used up.
bool take_retry(retry_window& recent_attempts, const retry_budget_limits& limits,
                int members, instant now);

} // namespace pollenhaven

#endif
