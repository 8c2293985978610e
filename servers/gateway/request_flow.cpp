#include "servers/gateway/request_flow.hpp"

#include "policy/fleet/wait_limits.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace pollenhaven
{

namespace
{

// An endpoint to which no connection stands after this time is tried no longer.
constexpr milliseconds connect_timeout{250};
// A request for a load that isn't answered by an announcement is sent again.
constexpr milliseconds load_request_interval{120};
constexpr milliseconds replica_request_interval{500};
constexpr int highest_urgency = 9;

} // namespace

void request_flow::dispatch_waiting()
{
    std::vector<const http_exchange*> waiting;
    for (const auto& [id, item] : exchanges_)
        if (is_waiting(item))
            waiting.push_back(&item);
    std::sort(waiting.begin(), waiting.end(),
              [](const http_exchange* left, const http_exchange* right)
              {
                  return std::tie(left->matched_route->priority, left->arrived) <
                         std::tie(right->matched_route->priority, right->arrived);
              });
    std::vector<exchange_id> order;
    order.reserve(waiting.size());
    for (const http_exchange* item : waiting)
        order.push_back(item->id);
    for (const exchange_id id : order)
        if (exchanges_.contains(id.value))
            try_dispatch(id);
}

void request_flow::try_dispatch(exchange_id id)
{
    http_exchange& item = exchanges_.at(id.value);
    const instant now = context_.loop.now();
    if (!is_waiting(item))
        return;
    if (guard_.request_suspect_status(item) == suspect_status::blocked)
        return refuse_or_fail(
            item, "request_blocked",
            "requests with this content crashed the endpoints that ran them");
    const dispatch_query question = dispatch_query_for(item);
    const dispatch_decision answer = choose_endpoint(context_.fleet, question, now);
    if (answer.needs_load || answer.needs_replica)
        request_adapter_load(item, question, !answer.needs_load);
    // The load may be announced from within, and the announcement dispatch the request.
    if (!exchanges_.contains(id.value) || !is_waiting(item))
        return;
    if (answer.endpoint)
        return send_to_endpoint(item, *answer.endpoint);
    if (answer.needs_load && item.load_engine &&
        now + expected_load_time(context_.fleet, *item.load_engine) > item.wait_deadline)
        return refuse_or_fail(item, "load_too_late",
                              "the adapter can't be loaded in time");
    if (now >= item.wait_deadline)
        refuse_or_fail(item, "no_endpoint", "no endpoint can run the request in time");
}

dispatch_query request_flow::dispatch_query_for(http_exchange& item)
{
    item.excluded_endpoints = item.failed_endpoints;
    if (guard_.request_suspect_status(item) == suspect_status::suspected)
        item.excluded_endpoints.merge(guard_.endpoints_with_running_suspects());
    dispatch_query question;
    question.service = item.service;
    question.adapter = item.request.adapter;
    question.model = item.request.model;
    question.failed = &item.excluded_endpoints;
    question.request_hash = request_hash(item);
    question.prompt_tokens = item.request.prompt_tokens;
    return question;
}

void request_flow::request_adapter_load(http_exchange& item,
                                        const dispatch_query& question, bool replica)
{
    const instant now = context_.loop.now();
    const milliseconds interval =
        replica ? replica_request_interval : load_request_interval;
    if (item.load_requested_at != instant{} && now - item.load_requested_at < interval)
        return;
    const std::optional<endpoint_id> engine =
        choose_engine_for_load(context_.fleet, question, now);
    if (!engine)
        return;
    const bool repeated = item.load_engine == engine;
    item.load_requested_at = now;
    item.load_engine = engine;
    load_request_message request;
    request.sender = context_.settings.id;
    request.endpoint = *engine;
    request.adapter = item.request.adapter;
    request.version = required_version(context_.fleet, item.request.adapter);
    request.urgency = item.matched_route->priority;
    // Where the request failed the adapter may still be held; that is no use to it.
    request.replica = replica || !item.failed_endpoints.empty();
    request.waiting = replica ? replica_benefit(context_.fleet, item.request.adapter, now)
                              : requests_waiting_for(item.request.adapter);
    request.repeated = repeated;
    const auto age = to_milliseconds(now - item.arrived);
    request.ready_within =
        std::max(item.matched_route->target_latency - age, milliseconds(0));
    request_load_(request);
}

int request_flow::requests_waiting_for(const adapter_id& adapter) const
{
    int waiting = 0;
    for (const auto& [id, item] : exchanges_)
        if (is_waiting(item) && item.request.adapter == adapter)
            ++waiting;
    return waiting;
}

void request_flow::send_to_endpoint(http_exchange& item, const endpoint_id& endpoint)
{
    const instant now = context_.loop.now();
    if (item.sends > 0 && !take_retry(attempts_[item.service], context_.settings.budget,
                                      live_member_count(context_.fleet), now))
    {
        return refuse_or_fail(item, "retry_budget", "too many requests are sent again");
    }
    endpoint_view& view = context_.fleet.endpoints.at(endpoint);
    forwarding_fields terms;
    terms.endpoint = endpoint;
    terms.deadline = to_milliseconds(item.deadline - now);
    terms.urgency = std::min(item.matched_route->priority, highest_urgency);
    if (required_version(context_.fleet, item.request.adapter))
        terms.version = view.adapters.at(item.request.adapter).version;
    if (item.request.version)
        terms.version = item.request.version;
    terms.last_event = item.last_event;
    if (!item.request.has_platform_fields)
        terms.description = item.request;

    item.endpoint = endpoint;
    item.sends += 1;
    item.sent_at = now;
    item.has_response_head = false;
    item.discards_response = false;
    item.phase = item.phase == exchange_phase::resuming ? exchange_phase::answering
                                                        : exchange_phase::sent;
    item.reader.emplace(http_reader::message_kind::response, message_limits{});
    const exchange_id id = item.id;
    stream_handlers handlers;
    handlers.readable = [this, id](stream_id) { on_upstream_readable(id); };
    handlers.ended = [this, id](stream_id, stream_end end)
    { on_upstream_ended(id, end); };
    item.upstream = pool_.acquire_connection(view.record, std::move(handlers));
    context_.loop.send(item.upstream, context_.dialect.write_forwarded_request(
                                          item.head, item.body.size(), terms) +
                                          item.body);
    view.in_flight += 1;
    view.pending_prefill_tokens += item.request.prompt_tokens;
    item.prefill_pending = true;
    view.in_flight_by_adapter[item.request.adapter] += 1;
    started_requests_[endpoint][item.request.adapter] += 1;
    guard_.on_sent(item);
    record_endpoint_change(endpoint);
    item.timer = context_.loop.schedule_after(connect_timeout,
                                              [this, id] { check_response_started(id); });
    log_event(item, "sent", "");
    context_.metrics.add("pollenhaven_sends_total");
    context_.metrics.observe_seconds("pollenhaven_wait_seconds",
                                     to_seconds(now - item.arrived));
}

void request_flow::record_prefill_done(http_exchange& item, endpoint_view& view)
{
    if (item.prefill_pending)
        view.pending_prefill_tokens =
            std::max(0, view.pending_prefill_tokens - item.request.prompt_tokens);
    item.prefill_pending = false;
    record_endpoint_change(view.record.id);
}

void request_flow::record_endpoint_change(const endpoint_id& endpoint)
{
    const bool is_first = changed_endpoints_.empty();
    changed_endpoints_.insert(endpoint);
    if (is_first)
        endpoint_load_changed_();
}

void request_flow::release_endpoint(http_exchange& item)
{
    context_.loop.cancel(item.timer);
    item.timer = {};
    guard_.on_ended(item);
    const auto found = context_.fleet.endpoints.find(item.endpoint);
    if (item.upstream.value == 0 || found == context_.fleet.endpoints.end())
        return;
    endpoint_view& view = found->second;
    record_prefill_done(item, view);
    view.in_flight = std::max(0, view.in_flight - 1);
    int& by_adapter = view.in_flight_by_adapter[item.request.adapter];
    by_adapter = std::max(0, by_adapter - 1);
    if (by_adapter == 0)
        view.in_flight_by_adapter.erase(item.request.adapter);
}

void request_flow::drop_upstream(http_exchange& item)
{
    release_endpoint(item);
    if (item.upstream.value != 0)
        context_.loop.reset(item.upstream);
    item.upstream = {};
    item.reader.reset();
}

std::set<endpoint_id> request_flow::take_changed_endpoints()
{
    return std::exchange(changed_endpoints_, {});
}

std::map<endpoint_id, std::map<adapter_id, int>> request_flow::take_started_requests()
{
    std::map<endpoint_id, std::map<adapter_id, int>> begun;
    begun.swap(started_requests_);
    return begun;
}

} // namespace pollenhaven
