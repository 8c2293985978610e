#include "policy/customers/quota_allowance.hpp"

#include <algorithm>
#include <utility>

namespace pollenhaven
{

namespace
{

// A question without an answer is given up after this time.
constexpr milliseconds answer_timeout{100};
// Credit is asked for in advance if at least this many requests used some within the last
// period; else it would mostly expire.
constexpr int min_requests_for_advance = 2;
// The demand of a period varies; what is too much is returned.
constexpr double advance_per_use = 1.25;
// The keeper takes credit back only this long after it has expired, because the bound on
// what may be used within a window counts on it.
constexpr milliseconds return_time{200};

void remove_expired(quota_allowance& allowance, instant now)
{
    for (const quota_charge& grant : allowance.grants)
        if (grant.valid_until <= now && grant.credit > 0)
        {
            allowance.expired += grant.credit;
            allowance.expired_at = std::max(allowance.expired_at, grant.valid_until);
        }
    std::erase_if(allowance.grants, [now](const quota_charge& grant)
                  { return grant.valid_until <= now || grant.credit <= 0; });
    if (now - allowance.expired_at > return_time)
        allowance.expired = 0;
}

void start_new_period(quota_allowance& allowance, instant now)
{
    const instant::duration age = now - allowance.period_began;
    if (age < credit_lifetime)
        return;
    const bool is_next = age < 2 * credit_lifetime;
    allowance.last_requests = is_next ? allowance.requests : 0;
    allowance.last_cost = is_next ? allowance.cost : 0;
    allowance.requests = 0;
    allowance.cost = 0;
    allowance.period_began = now;
}

quota_question ask(quota_allowance& allowance, quota_question_number first_number,
                   instant now)
{
    remove_expired(allowance, now);
    allowance.last_question = {
        std::max(allowance.last_question.value + 1, first_number.value)};
    quota_question question;
    question.number = allowance.last_question;
    question.returned = std::exchange(allowance.expired, 0);
    return question;
}

} // namespace

void record_request(quota_allowance& allowance, double cost, instant now)
{
    start_new_period(allowance, now);
    allowance.requests += 1;
    allowance.cost += cost;
}

double usable_credit(const quota_allowance& allowance, instant now)
{
    double credit = 0;
    for (const quota_charge& grant : allowance.grants)
        credit += grant.valid_until > now ? grant.credit : 0;
    return credit;
}

std::optional<quota_charge> take_credit(quota_allowance& allowance, double cost,
                                        instant now)
{
    remove_expired(allowance, now);
    if (allowance.grants.empty() || usable_credit(allowance, now) < cost)
        return std::nullopt;
    const quota_charge charge{cost, allowance.grants.front().valid_until};
    for (quota_charge& grant : allowance.grants)
    {
        const double part = std::min(cost, grant.credit);
        grant.credit -= part;
        cost -= part;
    }
    return charge;
}

void give_back(quota_allowance& allowance, const quota_charge& charge, instant now)
{
    if (charge.valid_until > now)
        allowance.grants.insert(allowance.grants.begin(), charge);
}

bool awaits_answer(const quota_allowance& allowance, instant now)
{
    return allowance.asked_at != instant{} && now - allowance.asked_at < answer_timeout;
}

std::optional<quota_question> next_question(quota_allowance& allowance, double needed,
                                            double waiting,
                                            quota_question_number first_number,
                                            instant now)
{
    if (awaits_answer(allowance, now) || now < allowance.denied_until)
        return std::nullopt;
    start_new_period(allowance, now);
    const double held = usable_credit(allowance, now);
    quota_question question = ask(allowance, first_number, now);
    question.needed = std::max(needed - held, 0.0);
    question.wanted = std::max(waiting - held, question.needed);
    if (std::max(allowance.last_requests, allowance.requests) >= min_requests_for_advance)
        question.wanted +=
            std::max(allowance.last_cost, allowance.cost) * advance_per_use;
    allowance.asked_at = now;
    return question;
}

std::optional<quota_question> next_return(quota_allowance& allowance, instant now)
{
    remove_expired(allowance, now);
    if (allowance.expired <= 0 || awaits_answer(allowance, now) ||
        now - allowance.expired_at < return_delay)
        return std::nullopt;
    return ask(allowance, {}, now);
}

void apply_answer(quota_allowance& allowance, const quota_answer& answer, instant now)
{
    const instant asked_at = allowance.asked_at;
    if (asked_at == instant{} || answer.number != allowance.last_question)
        return;
    allowance.asked_at = {};
    if (answer.granted <= 0)
    {
        allowance.denied_until = now + answer.retry_in;
        return;
    }
    allowance.grants.push_back({answer.granted, asked_at + credit_lifetime});
    remove_expired(allowance, now);
}

std::optional<instant> next_expiry(const quota_allowance& allowance)
{
    std::optional<instant> next;
    for (const quota_charge& grant : allowance.grants)
        if (!next || grant.valid_until < *next)
            next = grant.valid_until;
    return next;
}

} // namespace pollenhaven
