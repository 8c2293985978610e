#ifndef POLLENHAVEN_POLICY_CUSTOMERS_QUOTA_LEDGER_HPP
#define POLLENHAVEN_POLICY_CUSTOMERS_QUOTA_LEDGER_HPP

#include "core/boot_clock.hpp"
#include "core/ids.hpp"
#include "core/records/customers.hpp"

#include <cstdint>
#include <map>

namespace pollenhaven
{

// A customer's quota holds for all daemons together. One daemon, the customer's keeper,
// keeps a ledger and grants credit from it, which the others use before it expires
// (quota_allowance.hpp).

// Credit can be used for this long after it was asked for.
constexpr milliseconds credit_lifetime{350};

// Identifies a question of a daemon about a quota.
using quota_question_number = strong_number<struct quota_question_number_tag>;

// Asks for credit, and returns what has expired without being used.
struct quota_question
{
    quota_question_number number;
    // The least amount that is of use: the cost of the first request that waits. 0 if the
    // question only returns credit.
    double needed = 0;
    // The amount that the daemon can use soon; `needed` or more.
    double wanted = 0;
    double returned = 0;
};

struct quota_answer
{
    quota_question_number number;
    // 0 if nothing is granted.
    double granted = 0;
    // When to ask again, if nothing is granted.
    milliseconds retry_in{0};
};

// What a customer's keeper remembers: a token bucket.
struct quota_ledger
{
    // Credit that can be granted; a debt if negative.
    double level = 0;
    instant updated_at{};
    // The latest time at which a daemon that got nothing was told to ask again.
    instant promised_until{};
    // The last question of each daemon. One that arrives twice isn't answered again.
    std::map<daemon_id, quota_question_number> last_questions;
    // Credit granted and not returned, for reports.
    double total_granted = 0;
};

// Starts a ledger without credit: another keeper may just have granted all there was.
quota_ledger start_ledger(instant now);

// Answers a question. `max_debt` is how far the level may fall below 0, so that a large
// request needs no more credit than a small one.
quota_answer answer_question(quota_ledger& ledger, const customer_quota& quota,
                             double max_debt, const daemon_id& sender,
                             const quota_question& question, instant now);

} // namespace pollenhaven

#endif
