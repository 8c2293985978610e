#include "policy/customers/quota_ledger.hpp"

#include <algorithm>
#include <cmath>

namespace pollenhaven
{

namespace
{

// Of the credit that no request waits for, one daemon gets this part at most.
constexpr double max_advance_share = 0.5;
// Daemons are told to ask again at this many times the rate of the quota, since not all
// of them still have a request by then.
constexpr double questions_per_grant = 2;
constexpr milliseconds min_retry_time{10};
constexpr milliseconds max_retry_time{1000};

milliseconds time_to_earn(double credit, const customer_quota& quota)
{
    const double earned_in_ms = std::ceil(credit / quota.rate * 1000);
    return std::clamp(milliseconds(static_cast<long long>(std::min(
                          earned_in_ms, static_cast<double>(max_retry_time.count())))),
                      min_retry_time, max_retry_time);
}

void update(quota_ledger& ledger, const customer_quota& quota, double returned,
            instant now)
{
    const double earned = quota.rate * to_seconds(now - ledger.updated_at);
    ledger.level = std::min(ledger.level + earned + returned, quota.burst);
    ledger.updated_at = now;
    ledger.total_granted -= returned;
}

} // namespace

quota_ledger start_ledger(instant now)
{
    quota_ledger ledger;
    ledger.updated_at = now;
    return ledger;
}

quota_answer answer_question(quota_ledger& ledger, const customer_quota& quota,
                             double max_debt, const daemon_id& sender,
                             const quota_question& question, instant now)
{
    quota_answer answer{question.number};
    quota_question_number& last = ledger.last_questions[sender];
    const bool is_repeated = last == question.number;
    last = question.number;
    update(ledger, quota, is_repeated ? 0 : std::max(question.returned, 0.0), now);
    if (is_repeated || question.needed <= 0)
        return answer;
    const double required_level =
        std::clamp(question.needed - max_debt, 0.0, std::max(quota.burst, 0.0));
    if (ledger.level < required_level)
    {
        const instant next = now + time_to_earn(required_level - ledger.level, quota);
        const instant after_others =
            ledger.promised_until +
            time_to_earn(question.needed / questions_per_grant, quota);
        ledger.promised_until =
            std::min<instant>(std::max(next, after_others), now + max_retry_time);
        answer.retry_in = to_milliseconds(ledger.promised_until - now);
        return answer;
    }
    const double advance = std::min(question.wanted - question.needed,
                                    (ledger.level - question.needed) * max_advance_share);
    answer.granted = question.needed + std::max(advance, 0.0);
    ledger.level -= answer.granted;
    ledger.total_granted += answer.granted;
    return answer;
}

} // namespace pollenhaven
