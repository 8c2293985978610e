#include "servers/gateway/request_permits.hpp"

#include <algorithm>

namespace pollenhaven
{

namespace
{

// A daemon that isn't the giver by its own view answers so; the two views soon agree.
constexpr milliseconds wrong_giver_retry{200};

} // namespace

request_permits::request_permits(gateway_context& context, send_function send,
                                 broadcast_function broadcast)
    : context_(context), send_(std::move(send)), broadcast_(std::move(broadcast))
{
}

endpoint_view* request_permits::find_endpoint(const endpoint_id& endpoint,
                                              std::uint64_t started_ms)
{
    const auto found = context_.fleet.endpoints.find(endpoint);
    if (found == context_.fleet.endpoints.end() ||
        found->second.record.started_ms != started_ms)
        return nullptr;
    return &found->second;
}

bool request_permits::is_giver(const endpoint_id& endpoint) const
{
    return endpoint_keeper(context_.fleet, endpoint) == context_.settings.id;
}

void request_permits::request(const endpoint_id& endpoint)
{
    const instant now = context_.loop.now();
    endpoint_view& view = context_.fleet.endpoints.at(endpoint);
    if (!view.limit.stated || !should_ask(view.limit, now))
        return;
    permit_request_message message;
    message.sender = context_.settings.id;
    message.endpoint = endpoint;
    message.endpoint_started_ms = view.record.started_ms;
    message.limit = view.limit.stated->rate;
    message.limit_age = to_milliseconds(now - view.limit.stated->learned_at);
    const daemon_id giver = endpoint_keeper(context_.fleet, endpoint);
    if (giver == context_.settings.id)
        on_permit(answer(message));
    else if (!giver.empty())
        send_(giver, message);
}

permit_message request_permits::answer(const permit_request_message& message)
{
    const instant now = context_.loop.now();
    permit_message reply;
    reply.sender = context_.settings.id;
    reply.endpoint = message.endpoint;
    reply.retry_in = wrong_giver_retry;
    endpoint_view* const view =
        find_endpoint(message.endpoint, message.endpoint_started_ms);
    if (view == nullptr || !is_giver(message.endpoint))
        return reply;
    permit_ledger& ledger = ledgers_[message.endpoint];
    if (!view->limit.stated)
    {
        const instant learned_at = now - message.limit_age;
        if (learned_at <= ledger.limit_ended_at)
        {
            reply.is_limited = false;
            return reply;
        }
        set_limit(view->limit, message.limit, learned_at);
        log_limit(*view, "peer");
    }
    const permit_decision decision = give_permit(
        ledger, view->limit.history, view->limit.stated->rate, message.sender, now);
    reply.number = decision.number.value_or(permit_number{});
    reply.retry_in = decision.retry_in;
    context_.metrics.add(decision.number ? "pollenhaven_permits_total{given=\"yes\"}"
                                         : "pollenhaven_permits_total{given=\"no\"}");
    return reply;
}

void request_permits::on_request(const permit_request_message& message)
{
    send_(message.sender, answer(message));
}

void request_permits::on_permit(const permit_message& message)
{
    const auto found = context_.fleet.endpoints.find(message.endpoint);
    if (found == context_.fleet.endpoints.end())
        return;
    endpoint_view& view = found->second;
    const bool was_asked = view.limit.asked_at != instant{};
    if (!message.is_limited)
    {
        if (view.limit.stated && was_asked &&
            view.limit.stated->learned_at < view.limit.asked_at)
            end_limit(view, "peer");
        return;
    }
    apply_answer(view.limit, message.sender, message.number, message.retry_in,
                 context_.loop.now());
    schedule_dispatch();
}

void request_permits::on_response(const endpoint_id& endpoint,
                                  const endpoint_response& response, instant sent,
                                  const std::optional<held_permit>& permit)
{
    const auto found = context_.fleet.endpoints.find(endpoint);
    if (found == context_.fleet.endpoints.end())
        return;
    endpoint_view& view = found->second;
    if (response.has_malformed_limit)
        context_.log.write("endpoint limit malformed", {{"endpoint", endpoint.value},
                                                        {"request", response.id.value}});
    if (response.request_limit)
    {
        if (learn_limit(view.limit, *response.request_limit, sent, context_.loop.now()))
        {
            log_limit(view, "response");
            tell_limit(view);
        }
        return;
    }
    // Without a signature, something else than the endpoint may have responded.
    const bool states_no_limit = !response.has_malformed_limit && response.has_signature;
    if (!states_no_limit || !permit || !view.limit.stated)
        return;
    endpoint_limit_message message;
    message.sender = context_.settings.id;
    message.endpoint = endpoint;
    message.endpoint_started_ms = view.record.started_ms;
    message.permit = permit->number;
    if (permit->giver == context_.settings.id)
        on_limit(message);
    else
        send_(permit->giver, message);
}

void request_permits::on_limit(const endpoint_limit_message& message)
{
    endpoint_view* const view =
        find_endpoint(message.endpoint, message.endpoint_started_ms);
    if (view == nullptr)
        return;
    if (message.limit)
    {
        if (set_limit(view->limit, *message.limit, context_.loop.now()))
            log_limit(*view, "peer");
        return;
    }
    if (!view->limit.stated)
        return;
    const bool is_judged = message.permit.value == 0;
    if (is_judged && message.sender == endpoint_keeper(context_.fleet, message.endpoint))
        return end_limit(*view, "peer");
    if (is_judged || !is_giver(message.endpoint) ||
        !proves_end(*view->limit.stated, message.permit))
        return;
    ledgers_[message.endpoint].limit_ended_at = context_.loop.now();
    end_limit(*view, "response");
    tell_limit(*view);
}

void request_permits::on_heartbeat(const heartbeat_message& message)
{
    for (const auto& [endpoint, limit] : message.request_limits)
    {
        const auto found = context_.fleet.endpoints.find(endpoint);
        const bool is_reliable =
            found != context_.fleet.endpoints.end() &&
            endpoint_keeper(context_.fleet, endpoint) == message.sender;
        if (is_reliable && set_limit(found->second.limit, limit, context_.loop.now()))
            log_limit(found->second, "peer");
    }
}

void request_permits::record_started(const daemon_id& sender, const endpoint_id& endpoint,
                                     const endpoint_load& load)
{
    const auto found = context_.fleet.endpoints.find(endpoint);
    if (found == context_.fleet.endpoints.end())
        return;
    int requests = 0;
    for (const auto& [adapter, started] : load.started_by_adapter)
        requests += started;
    request_history& history = found->second.limit.history;
    const instant now = context_.loop.now();
    const auto ledger = ledgers_.find(endpoint);
    if (ledger == ledgers_.end())
        add_requests(history, requests, now);
    else
        record_reported_requests(ledger->second, history, sender, requests, now);
}

std::map<endpoint_id, request_rate> request_permits::limits_to_report() const
{
    std::map<endpoint_id, request_rate> limits;
    for (const auto& [id, view] : context_.fleet.endpoints)
        if (view.limit.stated && is_giver(id))
            limits[id] = view.limit.stated->rate;
    return limits;
}

void request_permits::tell_limit(const endpoint_view& view)
{
    endpoint_limit_message message;
    message.sender = context_.settings.id;
    message.endpoint = view.record.id;
    message.endpoint_started_ms = view.record.started_ms;
    if (view.limit.stated)
        message.limit = view.limit.stated->rate;
    broadcast_(message);
}

void request_permits::end_limit(endpoint_view& view, const std::string& source)
{
    remove_limit(view.limit);
    log_limit(view, source);
    schedule_dispatch();
}

void request_permits::log_limit(const endpoint_view& view, const std::string& source)
{
    const std::optional<stated_limit>& stated = view.limit.stated;
    context_.log.write(
        "endpoint limit",
        {{"endpoint", view.record.id.value},
         {"per_second",
          stated ? std::to_string(stated->rate.per_second) : std::string("none")},
         {"source", source},
         {"giver", endpoint_keeper(context_.fleet, view.record.id).value}});
}

void request_permits::schedule_dispatch()
{
    if (std::exchange(dispatch_scheduled_, true))
        return;
    context_.loop.schedule_after(milliseconds(0),
                                 [this]
                                 {
                                     dispatch_scheduled_ = false;
                                     available_();
                                 });
}

} // namespace pollenhaven
