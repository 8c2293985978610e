#ifndef POLLENHAVEN_POLICY_RETRY_POLICY_HPP
#define POLLENHAVEN_POLICY_RETRY_POLICY_HPP

#include "core/boot_clock.hpp"
#include "core/ids.hpp"
#include "core/verdict.hpp"

#include <set>

namespace pollenhaven
{

// Bounds retries to a fraction of the requests, so that a failing fleet is not buried
// under repeated work.
struct retry_budget
{
    double tokens = 10;
    double per_request = 0.2;
    double capacity = 50;
};

void count_request(retry_budget& budget);
bool take_retry(retry_budget& budget);

// What the entry daemon knows of a request after a failed attempt.
struct attempt_history
{
    int attempts = 0;
    bool idempotent = true;
    int tokens_delivered = 0;
    instant deadline{};
    // Endpoints that failed this request; they are not tried again.
    std::set<endpoint_id> excluded;
};

enum class next_step
{
    // Tell the caller the failure.
    give_up,
    // Send the whole request to another endpoint.
    retry_elsewhere,
    // Attach to the same generation at the next token.
    resume
};

// Decides after a failed attempt. Work that may have run is repeated only if it is
// idempotent and nothing of its answer was delivered: a second generation may differ from
// the first.
next_step decide_next(const attempt_history& history, const failure& reason,
                      retry_budget& budget, instant now);

} // namespace pollenhaven

#endif
