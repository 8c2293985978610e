#ifndef POLLENHAVEN_POLICY_CUSTOMERS_QUOTA_ALLOWANCE_HPP
#define POLLENHAVEN_POLICY_CUSTOMERS_QUOTA_ALLOWANCE_HPP

#include "policy/customers/quota_ledger.hpp"

#include <optional>
#include <vector>

namespace pollenhaven
{

// What a request has used of its customer's quota.
struct quota_charge
{
    double credit = 0;
    // It can be given back until then.
    instant valid_until{};
};

// The credit of one customer that a daemon holds.
struct quota_allowance
{
    // Credit with its time of expiry, the earliest first.
    std::vector<quota_charge> grants;
    quota_question_number last_question;
    // When the question that is open was sent; zero if none is.
    instant asked_at{};
    // The keeper has no credit before this time.
    instant denied_until{};
    // Credit that expired without being used, and when the last of it did.
    double expired = 0;
    instant expired_at{};
    // Requests and their cost within the last full period of credit_lifetime, and within
    // the present one.
    int last_requests = 0;
    double last_cost = 0;
    int requests = 0;
    double cost = 0;
    instant period_began{};
};

// Counts a request that arrives, for the amount to ask for.
void record_request(quota_allowance& allowance, double cost, instant now);

// Charges a request. None if the daemon holds too little credit.
std::optional<quota_charge> take_credit(quota_allowance& allowance, double cost,
                                        instant now);

// Gives back the charge of a request that ended without having run, unless it has
// expired.
void give_back(quota_allowance& allowance, const quota_charge& charge, instant now);

// Returns true if a question is open and its answer may still be used.
bool awaits_answer(const quota_allowance& allowance, instant now);

// Returns the question to send for requests that wait, of which the first costs `needed`
// and all cost `waiting`. None if one is open or the keeper is known to have no credit.
// `first_number` is used if this daemon has asked nothing before.
std::optional<quota_question> next_question(quota_allowance& allowance, double needed,
                                            double waiting,
                                            quota_question_number first_number,
                                            instant now);

// Expired credit is returned by a message of its own if no question has done so within
// this time.
constexpr milliseconds return_delay{100};

// Returns a question that only returns expired credit; none if there is none to return,
// or if a question is open or may still be sent.
std::optional<quota_question> next_return(quota_allowance& allowance, instant now);

// Applies the keeper's answer. One that isn't for the open question has no effect.
void apply_answer(quota_allowance& allowance, const quota_answer& answer, instant now);

// Returns when the credit that expires first does; none if the daemon holds none.
std::optional<instant> next_expiry(const quota_allowance& allowance);

// Returns the credit that can be used now.
double usable_credit(const quota_allowance& allowance, instant now);

} // namespace pollenhaven

#endif
