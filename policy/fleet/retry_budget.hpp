#ifndef POLLENHAVEN_POLICY_FLEET_RETRY_BUDGET_HPP
#define POLLENHAVEN_POLICY_FLEET_RETRY_BUDGET_HPP

#include "core/boot_clock.hpp"

#include <deque>

namespace pollenhaven
{

// Bounds on what all daemons together may send beyond the first attempt of each request.
struct retry_budget_limits
{
    // Further attempts for each request of the window.
    double ratio = 0.2;
    // Further attempts beyond that, over all daemons.
    double slack = 56;
    seconds window{10};
    // Part of both that is used; the rest covers members that come and go.
    double usable_share = 0.85;
};

// What one daemon sent to one service lately.
struct retry_window
{
    std::deque<instant> requests;
    std::deque<instant> retries;
};

void count_request(retry_window& sent, const retry_budget_limits& terms, instant now);

// Takes one further attempt. Each of `members` daemons has an equal part of the slack and
// the ratio of its own requests. Returns false if the part is used up.
bool take_retry(retry_window& sent, const retry_budget_limits& terms, int members,
                instant now);

} // namespace pollenhaven

#endif
