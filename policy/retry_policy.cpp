#include "policy/retry_policy.hpp"

#include <algorithm>
#include <array>

namespace pollenhaven
{

namespace
{

constexpr int most_attempts = 4;

// Failures that another endpoint would repeat.
bool is_final(const std::string& code)
{
    static const std::array<const char*, 6> final_codes = {
        "request_blocked",   "idempotency_key_reused", "call_in_doubt",
        "claim_unavailable", "deadline_exceeded",      "no_start_in_time"};
    return std::find(final_codes.begin(), final_codes.end(), code) != final_codes.end();
}

} // namespace

void count_request(retry_budget& budget)
{
    budget.tokens = std::min(budget.capacity, budget.tokens + budget.per_request);
}

bool take_retry(retry_budget& budget)
{
    if (budget.tokens < 1.0)
        return false;
    budget.tokens -= 1.0;
    return true;
}

next_step decide_next(const attempt_history& history, const failure& reason,
                      retry_budget& budget, instant now)
{
    if (reason.run == verdict::completed || now >= history.deadline)
        return next_step::give_up;
    if (history.attempts >= most_attempts || is_final(reason.code))
        return next_step::give_up;
    if (reason.run == verdict::may_have_run && !history.idempotent)
        return next_step::give_up;
    if (history.tokens_delivered > 0 && reason.code != "peer_lost")
        return next_step::give_up;
    if (!take_retry(budget))
        return next_step::give_up;
    return history.tokens_delivered > 0 ? next_step::resume : next_step::retry_elsewhere;
}

} // namespace pollenhaven
