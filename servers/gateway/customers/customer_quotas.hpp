#ifndef POLLENHAVEN_SERVERS_GATEWAY_CUSTOMERS_CUSTOMER_QUOTAS_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_CUSTOMERS_CUSTOMER_QUOTAS_HPP

#include "policy/customers/quota_allowance.hpp"
#include "servers/gateway/fleet_messages.hpp"
#include "servers/gateway/gateway_context.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace pollenhaven
{

enum class charge_outcome
{
    granted,
    // The customer has used its quota up.
    over_quota,
    // The customer's keeper didn't answer in time.
    no_answer
};

struct charge_decision
{
    charge_outcome outcome = charge_outcome::granted;
    quota_charge charge;
    // When there is credit again, if the customer is over its quota.
    instant retry_at{};
};

// What a daemon knows of a customer's use, for reports.
struct customer_usage
{
    customer_id customer;
    daemon_id keeper;
    std::optional<customer_quota> quota;
    // Credit that this daemon holds, and that it has charged since its start.
    double held = 0;
    double charged = 0;
    std::int64_t refused = 0;
    std::optional<milliseconds> since_refused;
    // The level of the ledger, if this daemon keeps it.
    std::optional<double> level;
};

// Charges requests to their customers' quotas, and keeps the ledgers of the customers
// that fall to this daemon (policy/customers/quota_ledger.hpp).
class customer_quotas
{
public:
    using send_function = std::function<void(const daemon_id&, const fleet_message&)>;
    using decision_handler = std::function<void(const charge_decision&)>;

    customer_quotas(gateway_context& context, send_function send);

    // Charges a request and calls `decided` once, possibly before this returns. A request
    // for which the keeper has given no answer by `give_up_at` gets none.
    void charge(const customer_record& customer, double cost, instant give_up_at,
                decision_handler decided);
    // Gives back the charge of a request that ended without having run.
    void give_back(const customer_id& customer, const quota_charge& charge);

    void on_question(const quota_question_message& message);
    void on_answer(const quota_answer_message& message);
    // Starts the ledgers that fall to this daemon, and ends those that don't any more.
    void run_periodic_work();
    // The customers of the configuration; empty if it has none.
    std::vector<customer_usage> usage() const;

private:
    struct waiting_charge
    {
        double cost = 0;
        instant give_up_at{};
        decision_handler decided;
    };
    struct customer_state
    {
        customer_quota quota;
        quota_allowance allowance;
        std::deque<waiting_charge> waiting;
        bool check_scheduled = false;
        double charged = 0;
        std::int64_t refused = 0;
        instant refused_at{};
    };

    // Decides on what waits as far as possible, and asks the keeper for the rest.
    void serve_waiting(const customer_id& customer);
    // Ends the first waiting charge if it can be decided now. Returns false if not.
    bool decide_first(const customer_id& customer, customer_state& state);
    void send_question(const customer_id& customer, const customer_state& state,
                       const quota_question& question);
    // Returns what has expired without being used, once it has.
    void schedule_return(const customer_id& customer);
    // Repeats a question that got no answer, while requests wait.
    void schedule_check(const customer_id& customer);
    // Returns none if another daemon is the keeper by this one's view. The question is
    // then repeated, to the keeper on which both soon agree.
    std::optional<quota_answer> answer(const quota_question_message& message);
    void count(const customer_id& customer, const char* result, double cost);

    gateway_context& context_;
    send_function send_;
    std::map<customer_id, customer_state> customers_;
    std::map<customer_id, quota_ledger> ledgers_;
};

} // namespace pollenhaven

#endif
