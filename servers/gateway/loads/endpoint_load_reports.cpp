#include "servers/gateway/loads/endpoint_load_reports.hpp"

#include "servers/gateway/fleet_watcher.hpp"

#include <algorithm>
#include <utility>

namespace pollenhaven
{

namespace
{

// Changes are collected for this long: a request often ends just as another one begins.
constexpr milliseconds report_delay{3};
constexpr milliseconds inform_delay{2};

} // namespace

endpoint_load_reports::endpoint_load_reports(gateway_context& context, send_function send,
                                             broadcast_function broadcast,
                                             load_handler load_received)
    : context_(context), send_(std::move(send)), broadcast_(std::move(broadcast)),
      load_received_(std::move(load_received))
{
}

void endpoint_load_reports::record_started(const endpoint_id& endpoint,
                                           const adapter_id& adapter)
{
    ++started_[endpoint][adapter];
}

void endpoint_load_reports::report_soon(const endpoint_id& endpoint)
{
    changed_.insert(endpoint);
    if (std::exchange(report_scheduled_, true))
        return;
    context_.loop.schedule_after(report_delay, [this] { send_reports(); });
}

void endpoint_load_reports::send_reports()
{
    report_scheduled_ = false;
    report(std::exchange(changed_, {}));
}

void endpoint_load_reports::report_all()
{
    std::set<endpoint_id> used;
    for (auto& [id, view] : context_.fleet.endpoints)
    {
        remove_expired_loads(view, context_.loop.now());
        if (view.in_flight > 0 || view.reserved_requests > 0 || started_.contains(id))
            used.insert(id);
    }
    const auto is_gone = [this](const auto& entry)
    { return !context_.fleet.endpoints.contains(entry.first); };
    std::erase_if(answered_, is_gone);
    std::erase_if(asked_while_waiting_at_, is_gone);
    report(used);
}

void endpoint_load_reports::send_message(const daemon_id& keeper,
                                         endpoint_load_message message)
{
    // The boot clock goes on over a restart of the process.
    const auto since_boot =
        std::chrono::duration_cast<microseconds>(context_.loop.now().time_since_epoch());
    last_sequence_ =
        std::max(last_sequence_ + 1, static_cast<std::uint64_t>(since_boot.count()));
    message.sender = context_.settings.id;
    message.sequence = last_sequence_;
    if (keeper.empty())
        broadcast_(message);
    else
        send_(keeper, message);
}

endpoint_load endpoint_load_reports::take_load(const endpoint_id& endpoint)
{
    endpoint_load load;
    const auto found = context_.fleet.endpoints.find(endpoint);
    if (found != context_.fleet.endpoints.end())
    {
        const endpoint_view& view = found->second;
        load.in_flight = view.in_flight + view.reserved_requests;
        load.pending_prefill_tokens =
            view.pending_prefill_tokens + view.reserved_prefill_tokens;
        load.in_flight_by_adapter = view.in_flight_by_adapter;
    }
    const auto started = started_.find(endpoint);
    if (started == started_.end())
        return load;
    load.started_by_adapter = std::move(started->second);
    started_.erase(started);
    return load;
}

void endpoint_load_reports::report(const std::set<endpoint_id>& endpoints)
{
    std::map<daemon_id, endpoint_load_message> reports;
    for (const endpoint_id& endpoint : endpoints)
    {
        const endpoint_load load = take_load(endpoint);
        const auto view = context_.fleet.endpoints.find(endpoint);
        const daemon_id keeper = endpoint_keeper(context_.fleet, endpoint);
        // Any daemon may have to give the permits of an endpoint with a request limit
        // next, and must know then how many requests it got.
        if (view != context_.fleet.endpoints.end() && view->second.limit.stated)
            send_message({}, {{}, {{endpoint, load}}, {}});
        else if (keeper != context_.settings.id && !keeper.empty())
            reports[keeper].loads[endpoint] = load;
        if (keeper != context_.settings.id)
            continue;
        load_received_(context_.settings.id, endpoint, load);
        inform_soon(endpoint);
    }
    for (const auto& [keeper, message] : reports)
        send_message(keeper, message);
}

bool endpoint_load_reports::needs_question(const endpoint_id& endpoint) const
{
    const daemon_id keeper = endpoint_keeper(context_.fleet, endpoint);
    if (keeper.empty() || keeper == context_.settings.id)
        return false;
    const auto contact = keepers_.find(keeper);
    return contact == keepers_.end() || may_ask(contact->second, context_.loop.now());
}

question_number endpoint_load_reports::ask(const endpoint_id& endpoint, bool is_waiting)
{
    const question_number number{++last_question_};
    endpoint_load_message message;
    message.loads[endpoint] = take_load(endpoint);
    message.questions[endpoint] = {number, is_waiting};
    changed_.erase(endpoint);
    send_message(endpoint_keeper(context_.fleet, endpoint), message);
    return number;
}

void endpoint_load_reports::ask_while_waiting(const endpoint_id& endpoint)
{
    const instant now = context_.loop.now();
    instant& asked_at = asked_while_waiting_at_[endpoint];
    if (now - asked_at < waiting_question_interval || !needs_question(endpoint))
        return;
    asked_at = now;
    ask(endpoint, true);
}

bool endpoint_load_reports::is_answered(const endpoint_id& endpoint,
                                        question_number question) const
{
    const auto answered = answered_.find(endpoint);
    return answered != answered_.end() && answered->second >= question;
}

void endpoint_load_reports::on_unanswered(const endpoint_id& endpoint)
{
    const daemon_id keeper = endpoint_keeper(context_.fleet, endpoint);
    keeper_contact& contact = keepers_[keeper];
    record_unanswered(contact, context_.loop.now());
    context_.metrics.add("pollenhaven_unanswered_questions_total");
    if (!may_ask(contact, context_.loop.now()))
        context_.log.write("keeper silent",
                           {{"keeper", keeper.value}, {"endpoint", endpoint.value}});
}

void endpoint_load_reports::on_report(const endpoint_load_message& message)
{
    const instant now = context_.loop.now();
    apply_endpoint_load(context_.fleet, message, now);
    for (const auto& [endpoint, load] : message.loads)
    {
        if (!context_.fleet.endpoints.contains(endpoint))
            continue;
        load_received_(message.sender, endpoint, load);
        const auto question = message.questions.find(endpoint);
        if (question != message.questions.end())
        {
            record_question(waiting_[endpoint], message.sender,
                            question->second.is_waiting, now);
            send_stated_load(message.sender, endpoint, question->second.number);
        }
        inform_soon(endpoint);
    }
}

void endpoint_load_reports::send_stated_load(const daemon_id& to,
                                             const endpoint_id& endpoint,
                                             question_number number)
{
    const peer_load load =
        load_without(context_.fleet.endpoints.at(endpoint), to, context_.loop.now());
    stated_load_message message;
    message.sender = context_.settings.id;
    message.loads[endpoint] = {number, load.in_flight, load.pending_prefill_tokens,
                               load.by_adapter};
    send_(to, message);
}

void endpoint_load_reports::on_stated_load(const stated_load_message& message)
{
    record_answer(keepers_[message.sender]);
    for (const auto& [endpoint, load] : message.loads)
    {
        if (endpoint_keeper(context_.fleet, endpoint) != message.sender)
        {
            context_.log.write("stated load refused",
                               {{"peer", message.sender.value},
                                {"endpoint", endpoint.value},
                                {"reason", "the sender isn't the endpoint's keeper"}});
            continue;
        }
        question_number& answered = answered_[endpoint];
        const bool is_outdated = load.number.value != 0 && load.number < answered;
        if (is_outdated || !context_.fleet.endpoints.contains(endpoint))
            continue;
        answered = std::max(answered, load.number);
        apply_stated_load(context_.fleet, {message.sender, {{endpoint, load}}},
                          context_.loop.now());
        load_known_(endpoint);
    }
}

void endpoint_load_reports::inform_soon(const endpoint_id& endpoint)
{
    if (!inform_scheduled_.insert(endpoint).second)
        return;
    context_.loop.schedule_after(inform_delay,
                                 [this, endpoint] { inform_waiting(endpoint); });
}

void endpoint_load_reports::inform_waiting(const endpoint_id& endpoint)
{
    inform_scheduled_.erase(endpoint);
    const auto view = context_.fleet.endpoints.find(endpoint);
    if (view == context_.fleet.endpoints.end())
    {
        waiting_.erase(endpoint);
        return;
    }
    const instant now = context_.loop.now();
    const int free_slots = view->second.record.slots - total_in_flight(view->second, now);
    load_known_(endpoint);
    const auto waiting = waiting_.find(endpoint);
    if (waiting == waiting_.end() || free_slots <= 0)
        return;
    for (const daemon_id& daemon :
         take_daemons_to_inform(waiting->second, free_slots, now))
        send_stated_load(daemon, endpoint, {});
    if (waiting->second.asked_at.empty())
        waiting_.erase(waiting);
}

} // namespace pollenhaven
