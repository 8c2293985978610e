#include "servers/gateway/customers/customer_quotas.hpp"

#include <algorithm>
#include <utility>

namespace pollenhaven
{

namespace
{

// While requests wait for an answer, this often is checked whether to ask again.
constexpr milliseconds check_interval{50};
// Half of the slack is for the debt of the ledgers, the rest for what is in transit while
// the keeper changes.
constexpr double debt_share = 0.5;
// Bounds the number of time series; further customers share one.
constexpr std::size_t max_customers_in_metrics = 64;

// Larger than any number that this daemon used before a restart.
quota_question_number first_question_number()
{
    return {static_cast<std::uint64_t>(wall_clock_milliseconds().count()) * 1000};
}

} // namespace

customer_quotas::customer_quotas(gateway_context& context, send_function send)
    : context_(context), send_(std::move(send))
{
}

void customer_quotas::charge(const customer_record& customer, double cost,
                             instant give_up_at, decision_handler decided)
{
    customer_state& state = customers_[customer.id];
    state.quota = *customer.quota;
    record_request(state.allowance, cost, context_.loop.now());
    state.waiting.push_back({cost, give_up_at, std::move(decided)});
    serve_waiting(customer.id);
}

bool customer_quotas::decide_first(const customer_id& customer, customer_state& state)
{
    const instant now = context_.loop.now();
    const waiting_charge& first = state.waiting.front();
    charge_decision decision;
    if (const std::optional<quota_charge> charge =
            take_credit(state.allowance, first.cost, now))
    {
        decision.charge = *charge;
        state.charged += first.cost;
        count(customer, "charged", first.cost);
    }
    else if (now < state.allowance.denied_until)
    {
        decision.outcome = charge_outcome::over_quota;
        decision.retry_at = state.allowance.denied_until;
        ++state.refused;
        state.refused_at = now;
        count(customer, "over_quota", first.cost);
    }
    else if (now >= first.give_up_at)
    {
        decision.outcome = charge_outcome::no_answer;
        count(customer, "no_answer", first.cost);
    }
    else
        return false;
    const decision_handler decided = std::move(state.waiting.front().decided);
    state.waiting.pop_front();
    decided(decision);
    return true;
}

void customer_quotas::serve_waiting(const customer_id& customer)
{
    customer_state& state = customers_.at(customer);
    while (!state.waiting.empty())
    {
        if (decide_first(customer, state))
            continue;
        double waiting = 0;
        for (const waiting_charge& charge : state.waiting)
            waiting += charge.cost;
        const std::optional<quota_question> question =
            next_question(state.allowance, state.waiting.front().cost, waiting,
                          first_question_number(), context_.loop.now());
        if (!question)
            break;
        send_question(customer, state, *question);
        // Without an answer yet, the rest waits for it.
        if (awaits_answer(state.allowance, context_.loop.now()))
            break;
    }
    if (!state.waiting.empty())
        schedule_check(customer);
}

void customer_quotas::send_question(const customer_id& customer,
                                    const customer_state& state,
                                    const quota_question& question)
{
    quota_question_message message;
    message.sender = context_.settings.id;
    message.customer = customer;
    message.quota = state.quota;
    message.question = question;
    const daemon_id keeper = customer_keeper(context_.fleet, customer);
    if (keeper != context_.settings.id)
        return send_(keeper, message);
    apply_answer(customers_.at(customer).allowance, *answer(message),
                 context_.loop.now());
    schedule_return(customer);
}

void customer_quotas::schedule_check(const customer_id& customer)
{
    if (std::exchange(customers_.at(customer).check_scheduled, true))
        return;
    context_.loop.schedule_after(check_interval,
                                 [this, customer]
                                 {
                                     customers_.at(customer).check_scheduled = false;
                                     serve_waiting(customer);
                                 });
}

void customer_quotas::schedule_return(const customer_id& customer)
{
    const std::optional<instant> expiry = next_expiry(customers_.at(customer).allowance);
    if (!expiry)
        return;
    context_.loop.schedule(*expiry + return_delay,
                           [this, customer]
                           {
                               customer_state& state = customers_.at(customer);
                               if (const std::optional<quota_question> question =
                                       next_return(state.allowance, context_.loop.now()))
                                   send_question(customer, state, *question);
                           });
}

void customer_quotas::give_back(const customer_id& customer, const quota_charge& charge)
{
    const auto found = customers_.find(customer);
    if (found == customers_.end())
        return;
    pollenhaven::give_back(found->second.allowance, charge, context_.loop.now());
    count(customer, "given_back", charge.credit);
    schedule_return(customer);
}

std::optional<quota_answer> customer_quotas::answer(const quota_question_message& message)
{
    const instant now = context_.loop.now();
    if (customer_keeper(context_.fleet, message.customer) != context_.settings.id)
        return std::nullopt;
    customer_quota quota = message.quota;
    if (context_.routing != nullptr && context_.routing->customers)
    {
        const auto& known = context_.routing->customers->customers;
        const auto found = known.find(message.customer);
        if (found != known.end() && found->second.quota)
            quota = *found->second.quota;
    }
    const auto [ledger, is_new] = ledgers_.try_emplace(message.customer);
    if (is_new)
        ledger->second = start_ledger(now);
    return answer_question(ledger->second, quota,
                           context_.settings.quota_slack * debt_share, message.sender,
                           message.question, now);
}

void customer_quotas::on_question(const quota_question_message& message)
{
    const std::optional<quota_answer> answered = answer(message);
    if (answered && message.question.needed > 0)
        send_(message.sender,
              quota_answer_message{context_.settings.id, message.customer, *answered});
}

void customer_quotas::on_answer(const quota_answer_message& message)
{
    const auto found = customers_.find(message.customer);
    if (found == customers_.end())
        return;
    apply_answer(found->second.allowance, message.answer, context_.loop.now());
    schedule_return(message.customer);
    serve_waiting(message.customer);
}

void customer_quotas::run_periodic_work()
{
    const instant now = context_.loop.now();
    std::erase_if(
        ledgers_, [this](const auto& entry)
        { return customer_keeper(context_.fleet, entry.first) != context_.settings.id; });
    if (context_.routing == nullptr || !context_.routing->customers)
        return;
    for (const auto& [id, customer] : context_.routing->customers->customers)
        if (customer.quota && !ledgers_.contains(id) &&
            customer_keeper(context_.fleet, id) == context_.settings.id)
        {
            ledgers_[id] = start_ledger(now);
            context_.log.write("quota kept", {{"customer", id.value}});
        }
}

void customer_quotas::count(const customer_id& customer, const char* result, double cost)
{
    const bool is_shown = customers_.size() <= max_customers_in_metrics;
    context_.metrics.add("pollenhaven_quota_credit_total{customer=\"" +
                             (is_shown ? customer.value : "other") + "\",result=\"" +
                             result + "\"}",
                         cost);
}

std::vector<customer_usage> customer_quotas::usage() const
{
    std::vector<customer_usage> usages;
    if (context_.routing == nullptr || !context_.routing->customers)
        return usages;
    const instant now = context_.loop.now();
    for (const auto& [id, customer] : context_.routing->customers->customers)
    {
        customer_usage& usage = usages.emplace_back();
        usage.customer = id;
        usage.quota = customer.quota;
        usage.keeper = customer_keeper(context_.fleet, id);
        if (const auto state = customers_.find(id); state != customers_.end())
        {
            usage.held = usable_credit(state->second.allowance, now);
            usage.charged = state->second.charged;
            usage.refused = state->second.refused;
            if (state->second.refused > 0)
                usage.since_refused = to_milliseconds(now - state->second.refused_at);
        }
        if (const auto ledger = ledgers_.find(id); ledger != ledgers_.end())
            usage.level = ledger->second.level;
    }
    return usages;
}

} // namespace pollenhaven
