#include "servers/gateway/request_flow.hpp"

#include "policy/fleet/wait_limits.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace pollenhaven
{

namespace
{

// A load request is repeated after this time if the holder's inventory messages don't
// show the load.
constexpr milliseconds load_request_interval{120};
constexpr milliseconds replica_request_interval{500};

} // namespace

void request_flow::dispatch_waiting()
{
    dispatch_selected([](const http_exchange&) { return true; });
}

void request_flow::dispatch_waiting_for(const std::set<adapter_id>& adapters)
{
    dispatch_selected([&](const http_exchange& exchange)
                      { return adapters.contains(exchange.request.adapter); });
}

void request_flow::dispatch_waiting_at(const endpoint_id& endpoint)
{
    dispatch_selected(
        [&](const http_exchange& exchange)
        {
            const std::vector<endpoint_id>& busy = exchange.busy_endpoints;
            return exchange.reserved_endpoint == endpoint ||
                   std::find(busy.begin(), busy.end(), endpoint) != busy.end();
        });
}

void request_flow::dispatch_selected(
    const std::function<bool(const http_exchange&)>& is_selected)
{
    std::vector<const http_exchange*> waiting;
    for (const auto& [id, exchange] : exchanges_)
        if (is_waiting(exchange) && is_selected(exchange))
            waiting.push_back(&exchange);
    std::sort(waiting.begin(), waiting.end(),
              [](const http_exchange* left, const http_exchange* right)
              {
                  const request_rank left_rank =
                      rank_of(left->customer, *left->matched_route);
                  const request_rank right_rank =
                      rank_of(right->customer, *right->matched_route);
                  return std::tie(left_rank, left->arrived) <
                         std::tie(right_rank, right->arrived);
              });
    std::vector<exchange_id> dispatch_order;
    dispatch_order.reserve(waiting.size());
    for (const http_exchange* exchange : waiting)
        dispatch_order.push_back(exchange->id);
    for (const exchange_id id : dispatch_order)
        if (exchanges_.contains(id.value))
            try_dispatch(id);
}

void request_flow::try_dispatch(exchange_id id)
{
    http_exchange& exchange = exchanges_.at(id.value);
    const instant now = context_.loop.now();
    if (!is_waiting(exchange) || awaits_answer(exchange) || !identify_again(exchange))
        return;
    if (guard_.request_suspect_status(exchange) == suspect_status::blocked)
        return refuse_or_fail(
            exchange, "request_blocked",
            "requests with this content crashed the endpoints that ran them");
    if (!guard_.prompt_parts().admits(exchange))
        return refuse_or_fail(exchange, "prompt_part_blocked",
                              "a part of the prompt crashed the endpoints that ran it");
    if (exchange.software &&
        !registered_versions(context_.fleet, exchange.service, now).empty() &&
        !is_version_serving(context_.fleet, exchange.service, *exchange.software, now))
        return end_wait(exchange, "stream_version_unavailable",
                        "no endpoint runs the software version that began the stream");
    if (relay_to_peer(exchange))
        return;
    if (exchange.is_from_peer && is_cut_off(context_.links))
        return refuse_or_fail(exchange, "cut_off", "this daemon reaches no endpoint");
    const dispatch_query query = dispatch_query_for(exchange);
    const endpoint_id reserved = exchange.reserved_endpoint;
    release_reservation(exchange);
    const dispatch_decision decision = choose_endpoint(context_.fleet, query, now);
    if (!reserved.empty() && decision.endpoint != reserved)
        loads_.report_soon(reserved);
    exchange.busy_endpoints = decision.busy;
    if (decision.needs_load || decision.needs_replica)
        request_adapter_load(exchange, query, !decision.needs_load);
    // The load request handler may dispatch waiting requests before it returns, this one
    // among them, if it broadcasts a new inventory of an engine that this daemon holds.
    if (!exchanges_.contains(id.value) || !is_waiting(exchange))
        return;
    if (decision.endpoint)
    {
        const bool is_counted = decision.endpoint == reserved;
        return is_counted || !needs_question(exchange, *decision.endpoint)
                   ? send_to_endpoint(exchange, *decision.endpoint, is_counted)
                   : ask_keeper(exchange, *decision.endpoint);
    }
    for (const endpoint_id& endpoint : decision.busy)
        loads_.ask_while_waiting(endpoint);
    if (decision.needs_permit)
        permits_.request(*decision.needs_permit);
    if (decision.denied_until && *decision.denied_until > exchange.wait_deadline)
        return end_wait(exchange, "request_limit",
                        "all endpoints of the service have reached the limits that "
                        "they state, or have asked to wait",
                        *decision.denied_until);
    if (decision.needs_load && exchange.load_engine &&
        now + expected_load_time(context_.fleet, *exchange.load_engine) >
            exchange.wait_deadline)
        return end_wait(exchange, "load_too_late", "the adapter can't be loaded in time");
    if (now >= exchange.wait_deadline)
        refuse_or_fail(exchange, "no_endpoint",
                       "no endpoint can run the request in time");
}

bool request_flow::awaits_answer(const http_exchange& exchange) const
{
    return !exchange.reserved_endpoint.empty() &&
           !loads_.is_answered(exchange.reserved_endpoint, exchange.question) &&
           context_.loop.now() - exchange.asked_at < keeper_answer_time;
}

bool request_flow::needs_question(const http_exchange& exchange,
                                  const endpoint_id& endpoint) const
{
    return exchange.questions < max_questions_per_request &&
           loads_.needs_question(endpoint);
}

void request_flow::ask_keeper(http_exchange& exchange, const endpoint_id& endpoint)
{
    endpoint_view& view = context_.fleet.endpoints.at(endpoint);
    view.reserved_requests += 1;
    view.reserved_prefill_tokens += exchange.request.prompt_tokens;
    exchange.reserved_endpoint = endpoint;
    exchange.question = loads_.ask(endpoint, false);
    exchange.asked_at = context_.loop.now();
    exchange.questions += 1;
    context_.loop.schedule_after(
        keeper_answer_time,
        [this, id = exchange.id, endpoint, question = exchange.question]
        {
            if (loads_.is_answered(endpoint, question))
                return;
            loads_.on_unanswered(endpoint);
            if (exchanges_.contains(id.value))
                try_dispatch(id);
        });
}

void request_flow::release_reservation(http_exchange& exchange)
{
    const auto found = context_.fleet.endpoints.find(exchange.reserved_endpoint);
    exchange.reserved_endpoint = {};
    if (found == context_.fleet.endpoints.end())
        return;
    endpoint_view& view = found->second;
    view.reserved_requests = std::max(0, view.reserved_requests - 1);
    view.reserved_prefill_tokens =
        std::max(0, view.reserved_prefill_tokens - exchange.request.prompt_tokens);
}

void request_flow::withdraw_reservation(http_exchange& exchange)
{
    if (exchange.reserved_endpoint.empty())
        return;
    loads_.report_soon(exchange.reserved_endpoint);
    release_reservation(exchange);
}

void request_flow::end_wait(http_exchange& exchange, const std::string& code,
                            const std::string& message, instant retry_at)
{
    if (exchange.phase == exchange_phase::resuming &&
        context_.loop.now() < exchange.wait_deadline)
        return;
    refuse_or_fail(exchange, code, message, retry_at);
}

dispatch_query request_flow::dispatch_query_for(http_exchange& exchange)
{
    exchange.excluded_endpoints = exchange.failed_endpoints;
    if (guard_.request_suspect_status(exchange) == suspect_status::suspected)
        exchange.excluded_endpoints.merge(guard_.endpoints_with_running_suspects());
    dispatch_query query;
    query.service = exchange.service;
    query.adapter = exchange.request.adapter;
    query.model = exchange.request.model;
    query.failed = &exchange.excluded_endpoints;
    query.request_hash = request_hash(exchange);
    query.prompt_tokens = exchange.request.prompt_tokens;
    query.software = exchange.software;
    if (!query.software && is_resumable(exchange))
        query.software = version_for_new_stream(context_.fleet, exchange.service,
                                                records_.silence(), context_.loop.now());
    return query;
}

void request_flow::request_adapter_load(http_exchange& exchange,
                                        const dispatch_query& query, bool replica)
{
    const instant now = context_.loop.now();
    const milliseconds interval =
        replica ? replica_request_interval : load_request_interval;
    if (exchange.load_requested_at != instant{} &&
        now - exchange.load_requested_at < interval)
        return;
    const std::optional<endpoint_id> engine =
        choose_engine_for_load(context_.fleet, query, now);
    if (!engine)
        return;
    const bool repeated = exchange.load_engine == engine;
    exchange.load_requested_at = now;
    exchange.load_engine = engine;
    load_request_message request;
    request.sender = context_.settings.id;
    request.endpoint = *engine;
    request.adapter = exchange.request.adapter;
    request.version = required_version(context_.fleet, exchange.request.adapter);
    request.urgency = urgency_of(exchange.customer, *exchange.matched_route);
    // An engine at which the request failed may still hold the adapter, but the request
    // isn't sent there again. The load counts as a replica, because the holder would drop
    // any other load of an adapter that another engine holds; so does one for a stream
    // that only some engines may run.
    request.replica =
        replica || !exchange.failed_endpoints.empty() || query.software.has_value();
    request.waiting = replica
                          ? replica_benefit(context_.fleet, exchange.request.adapter, now)
                          : requests_waiting_for(exchange.request.adapter);
    request.is_repeated = repeated;
    const auto age = to_milliseconds(now - exchange.arrived);
    request.ready_within =
        std::max(exchange.matched_route->target_latency - age, milliseconds(0));
    request_load_(request);
}

int request_flow::requests_waiting_for(const adapter_id& adapter) const
{
    int waiting = 0;
    for (const auto& [id, exchange] : exchanges_)
        if (is_waiting(exchange) && exchange.request.adapter == adapter)
            ++waiting;
    return waiting;
}

void request_flow::send_to_endpoint(http_exchange& exchange, const endpoint_id& endpoint,
                                    bool is_counted)
{
    const instant now = context_.loop.now();
    if (exchange.sends > 0 &&
        !take_retry(attempts_[exchange.service], context_.settings.retry_budget,
                    live_member_count(context_.fleet), now))
    {
        if (is_counted)
            loads_.report_soon(endpoint);
        return end_wait(exchange, "retry_budget", "too many requests are sent again");
    }
    endpoint_view& view = context_.fleet.endpoints.at(endpoint);
    exchange.permit = use_permit(view.limit, now);
    forwarding_fields fields;
    fields.endpoint = endpoint;
    fields.deadline = to_milliseconds(exchange.deadline - now);
    fields.urgency = urgency_of(exchange.customer, *exchange.matched_route);
    fields.callers_have_keys = exchange.identity_table->customers.has_value();
    if (exchange.customer != nullptr)
        fields.customer = exchange.customer->id;
    if (required_version(context_.fleet, exchange.request.adapter))
        fields.version = view.adapters.at(exchange.request.adapter).version;
    if (exchange.request.version)
        fields.version = exchange.request.version;
    fields.last_event_id = exchange.last_event_id;
    if (!exchange.request.has_platform_fields)
        fields.description = exchange.request;

    begin_attempt(exchange, endpoint);
    exchange.attempt_software = view.record.software;
    const exchange_id id = exchange.id;
    stream_handlers handlers = upstream_handlers(id);
    // Connections often go silent together, so a request that already failed somewhere
    // isn't sent on one that was open before. Neither is one that was refused: all sends
    // of a request have its id, and an endpoint may write a refusal twice.
    const bool was_sent_before = exchange.possible_runs > 0 || exchange.sends > 1;
    exchange.upstream = was_sent_before
                            ? pool_.open_connection(view.record, std::move(handlers))
                            : pool_.acquire_connection(view.record, std::move(handlers));
    exchange.is_new_connection = !context_.loop.is_connected(exchange.upstream);
    exchange.is_kept_connection = !exchange.is_new_connection;
    context_.loop.set_output_deadline(exchange.upstream, exchange.deadline);
    context_.loop.send(exchange.upstream,
                       context_.dialect.write_forwarded_request(
                           exchange.head, exchange.body.size(), fields) +
                           exchange.body);
    record_stream_version(exchange, view.record);
    record_sent(view, now);
    view.in_flight += 1;
    view.pending_prefill_tokens += exchange.request.prompt_tokens;
    exchange.prefill_pending = true;
    view.in_flight_by_adapter[exchange.request.adapter] += 1;
    loads_.record_started(endpoint, exchange.request.adapter);
    guard_.on_sent(exchange);
    if (!is_counted)
        loads_.report_soon(endpoint);
    exchange.timer = context_.loop.schedule_after(connect_timeout, [this, id]
                                                  { check_response_started(id); });
    log_event(exchange, "sent", "");
    context_.metrics.add("pollenhaven_sends_total");
    context_.metrics.observe_seconds("pollenhaven_wait_seconds",
                                     to_seconds(now - exchange.arrived));
}

void request_flow::begin_attempt(http_exchange& exchange, const endpoint_id& endpoint)
{
    exchange.endpoint = endpoint;
    exchange.is_relayed = false;
    exchange.sends += 1;
    exchange.questions = 0;
    exchange.sent_at = context_.loop.now();
    exchange.has_response_head = false;
    exchange.discards_response = false;
    exchange.discarded_responses = 0;
    exchange.is_paused = false;
    exchange.held_end = false;
    exchange.boundary = {};
    exchange.phase = exchange.phase == exchange_phase::resuming
                         ? exchange_phase::responding
                         : exchange_phase::sent;
    exchange.reader.emplace(http_reader::message_kind::response, message_limits{});
    exchange.held_response.emplace(held_response_bytes_);
}

stream_handlers request_flow::upstream_handlers(exchange_id id)
{
    stream_handlers handlers;
    handlers.readable = [this, id](stream_id) { on_upstream_readable(id); };
    handlers.ended = [this, id](stream_id, stream_end end)
    { on_upstream_ended(id, end); };
    return handlers;
}

void request_flow::record_stream_version(http_exchange& exchange,
                                         const endpoint_record& endpoint)
{
    if (!is_resumable(exchange) || exchange.software ||
        !needs_record(context_.fleet, exchange.service, endpoint.software,
                      context_.loop.now()))
        return;
    exchange.software = endpoint.software;
    exchange.record_pending = true;
    const exchange_id id = exchange.id;
    records_.record(exchange.request.id, endpoint.software,
                    [this, id](bool is_recorded)
                    { on_stream_recorded(id, is_recorded); });
}

void request_flow::record_prefill_done(http_exchange& exchange, endpoint_view& view)
{
    if (exchange.prefill_pending)
        view.pending_prefill_tokens =
            std::max(0, view.pending_prefill_tokens - exchange.request.prompt_tokens);
    exchange.prefill_pending = false;
    loads_.report_soon(exchange.endpoint);
}

void request_flow::release_endpoint(http_exchange& exchange)
{
    context_.loop.cancel(exchange.timer);
    exchange.timer = {};
    guard_.on_ended(exchange);
    const auto found = context_.fleet.endpoints.find(exchange.endpoint);
    if (exchange.upstream.value == 0 || found == context_.fleet.endpoints.end())
        return;
    endpoint_view& view = found->second;
    record_prefill_done(exchange, view);
    view.in_flight = std::max(0, view.in_flight - 1);
    int& by_adapter = view.in_flight_by_adapter[exchange.request.adapter];
    by_adapter = std::max(0, by_adapter - 1);
    if (by_adapter == 0)
        view.in_flight_by_adapter.erase(exchange.request.adapter);
}

void request_flow::drop_upstream(http_exchange& exchange)
{
    release_endpoint(exchange);
    if (exchange.upstream.value != 0)
        context_.loop.reset(exchange.upstream);
    exchange.upstream = {};
    exchange.reader.reset();
    exchange.held_response.reset();
}

} // namespace pollenhaven
