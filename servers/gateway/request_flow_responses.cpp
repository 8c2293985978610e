#include "servers/gateway/request_flow.hpp"

#include "policy/fleet/event_stream.hpp"
#include "policy/fleet/response_memory.hpp"
#include "policy/fleet/wait_limits.hpp"
#include "servers/gateway/load_observations.hpp"

#include <algorithm>

namespace pollenhaven
{

namespace
{

constexpr int status_ok_first = 200;
constexpr int status_ok_last = 299;
constexpr int status_server_error = 500;
constexpr int status_bad_gateway = 502;
constexpr int status_misdirected = 421;
constexpr int status_unavailable = 503;
// After an endpoint refused a request for lack of capacity, no request is sent to it for
// this time.
constexpr milliseconds capacity_backoff{40};
// An engine that refused a request this often for lack of its adapter isn't tried again
// for this request. Up to two refusals can be due to a load that took longer than
// expected.
constexpr int max_adapter_refusals = 3;
// Interim responses, and responses to earlier requests, that are skipped before the
// response to a request.
constexpr int max_discarded_responses = 8;
// A request that may be retried is sent to another endpoint if the response to its first
// attempt hasn't begun after this multiple of its target latency.
constexpr int response_start_factor = 4;
// While no other endpoint can take such a request, one is looked for at this interval.
constexpr milliseconds start_check_interval{200};

bool is_success(int status)
{
    return status >= status_ok_first && status <= status_ok_last;
}

} // namespace

bool request_flow::may_retry(const http_exchange& exchange) const
{
    const bool idempotent = exchange.matched_route->kind == route_kind::idempotent ||
                            (exchange.matched_route->kind == route_kind::streaming &&
                             exchange.matched_route->resumable);
    const bool can_start_again =
        !response_has_begun(exchange) || exchange.matched_route->resumable;
    return idempotent && can_start_again &&
           exchange.possible_runs < exchange.matched_route->max_attempts &&
           context_.loop.now() < exchange.deadline;
}

bool request_flow::can_go_elsewhere(http_exchange& exchange)
{
    const instant now = context_.loop.now();
    if (!may_retry(exchange) ||
        exchange.possible_runs + 1 >= exchange.matched_route->max_attempts ||
        guard_.request_suspect_status(exchange) == suspect_status::blocked)
        return false;
    if (is_cut_off(context_.links))
        return !exchange.is_from_peer &&
               choose_relay(context_.fleet, request_hash(exchange),
                            exchange.failed_relays, now);
    retry_window attempts = attempts_[exchange.service];
    if (!take_retry(attempts, context_.settings.retry_budget,
                    live_member_count(context_.fleet), now))
        return false;
    const dispatch_query query = dispatch_query_for(exchange);
    exchange.excluded_endpoints.insert(exchange.endpoint);
    const dispatch_decision other = choose_endpoint(context_.fleet, query, now);
    return other.endpoint || other.needs_permit ||
           (other.needs_load && choose_engine_for_load(context_.fleet, query, now));
}

void request_flow::check_response_started(exchange_id id)
{
    http_exchange& exchange = exchanges_.at(id.value);
    if (exchange.has_response_head)
        return;
    if (!context_.loop.has_written(exchange.upstream))
    {
        if (exchange.is_new_connection)
            links_.on_connect_failed(exchange.endpoint, connect_failure::timed_out);
        return on_attempt_failed(exchange, "no connection", false);
    }
    record_connection_made(exchange);
    if (exchange.is_relayed)
        return;
    // A stream that is being resumed has no other attempt left that could be waited for.
    const bool is_resumed = exchange.phase == exchange_phase::responding;
    const milliseconds start_limit =
        is_resumed ? max_stream_silence(*exchange.matched_route)
                   : exchange.matched_route->target_latency * response_start_factor;
    const auto age = context_.loop.now() - exchange.sent_at;
    if (age < start_limit)
    {
        exchange.timer = context_.loop.schedule(exchange.sent_at + start_limit, [this, id]
                                                { check_response_started(id); });
        return;
    }
    if (is_resumed)
        return on_attempt_failed(exchange, "the stream went silent", true);
    const bool is_first_attempt = exchange.possible_runs == 0 && exchange.sends == 1;
    if (!is_first_attempt || exchange.matched_route->max_attempts == 1 ||
        !may_retry(exchange))
        return;
    if (!can_go_elsewhere(exchange))
    {
        exchange.timer = context_.loop.schedule_after(start_check_interval, [this, id]
                                                      { check_response_started(id); });
        return;
    }
    pool_.remove_endpoint(exchange.endpoint);
    on_attempt_failed(exchange, "no answer began in time", true);
}

void request_flow::on_upstream_ended(exchange_id id, stream_end end)
{
    http_exchange& exchange = exchanges_.at(id.value);
    const bool sent = context_.loop.has_written(exchange.upstream);
    // Endpoints state the length of an empty body, so one that closes after the head has
    // been cut off there.
    const bool is_complete = end == stream_end::finished && exchange.has_response_head &&
                             !exchange.discards_response && exchange.reader->has_body() &&
                             exchange.reader->finish() == read_state::complete;
    if (is_complete)
    {
        relay(exchange, true);
        return;
    }
    if (!sent && exchange.is_new_connection)
        links_.on_connect_failed(exchange.endpoint, connect_failure::refused);
    on_attempt_failed(
        exchange, sent ? "the endpoint closed the connection" : "no connection", sent);
}

void request_flow::on_upstream_readable(exchange_id id)
{
    read_upstream(exchanges_.at(id.value));
    const auto found = exchanges_.find(id.value);
    if (found == exchanges_.end())
        return;
    count_held_response(found->second);
    limit_held_responses();
}

void request_flow::read_upstream(http_exchange& exchange)
{
    if (!exchange.is_relayed)
        context_.links.last_heard_at = context_.loop.now();
    std::string& input = context_.loop.input(exchange.upstream);
    while (true)
    {
        const read_state state = exchange.reader->read(input);
        if (state == read_state::malformed)
            return on_attempt_failed(exchange, "the endpoint's answer is malformed",
                                     true);
        if (exchange.reader->has_head() && !exchange.has_response_head &&
            !process_response_head(exchange))
            return;
        const bool is_complete = state == read_state::complete;
        if (exchange.discards_response)
            exchange.reader->body.clear();
        if (exchange.reader->body.size() > max_response_bytes)
            return on_attempt_failed(exchange, "the endpoint's answer is too long", true);
        if (is_complete && exchange.discards_response)
        {
            if (++exchange.discarded_responses > max_discarded_responses)
                return on_attempt_failed(
                    exchange, "the endpoint sends answers to other requests", true);
            // This was an interim response, or the response to an earlier request. The
            // response to this request follows.
            exchange.reader.emplace(http_reader::message_kind::response,
                                    message_limits{});
            exchange.has_response_head = false;
            exchange.discards_response = false;
            if (input.empty())
                return;
            continue;
        }
        if (exchange.has_response_head && !exchange.discards_response)
            relay(exchange, is_complete);
        return;
    }
}

bool request_flow::process_response_head(http_exchange& exchange)
{
    constexpr int first_final_status = 200;
    exchange.response = context_.dialect.read_response(exchange.reader->head());
    exchange.has_response_head = true;
    const int status = exchange.reader->head().status;
    // A request of the additional interface gets another id from each daemon.
    const bool has_own_id = !exchange.is_relayed || exchange.request.has_platform_fields;
    const bool is_foreign = has_own_id && !exchange.response.id.empty() &&
                            exchange.response.id != exchange.request.id;
    if (status < first_final_status || is_foreign)
    {
        exchange.discards_response = true;
        return true;
    }
    context_.loop.cancel(exchange.timer);
    exchange.timer = {};
    // A peer's response is what the caller gets; the peer has evaluated the endpoint's.
    if (exchange.is_relayed)
        return accept_peer_response(exchange);
    record_connection_made(exchange);
    return accept_endpoint_response(exchange);
}

bool request_flow::accept_endpoint_response(http_exchange& exchange)
{
    const int status = exchange.reader->head().status;
    permits_.on_response(exchange.endpoint, exchange.response, exchange.sent_at,
                         exchange.permit);
    const auto responder = context_.fleet.endpoints.find(exchange.endpoint);
    if (responder != context_.fleet.endpoints.end())
    {
        brittle_.on_response(responder->second, exchange.response, exchange.sent_at);
        if (exchange.response.is_leaving && !responder->second.draining)
            record_leaving(responder->second);
    }
    if (exchange.response.not_run && exchange.response.id.empty() &&
        exchange.is_kept_connection)
    {
        on_attempt_failed(exchange, "the endpoint's refusal names no request", true);
        return false;
    }
    if (exchange.response.not_run)
    {
        on_endpoint_refused(exchange);
        return false;
    }
    if (is_success(status) &&
        (!exchange.response.has_signature || exchange.response.id.empty()))
    {
        on_attempt_failed(exchange, "the endpoint's answer has no signature", true);
        return false;
    }
    if (responder != context_.fleet.endpoints.end())
        record_response(exchange, responder->second);
    const bool continues_stream =
        is_success(status) &&
        is_event_stream(field_value(exchange.reader->head(), "Content-Type"));
    if (response_has_begun(exchange) && !continues_stream)
    {
        on_attempt_failed(exchange, "the stream was not resumed", true);
        return false;
    }
    if (promises_not_run(status))
    {
        on_attempt_failed(exchange,
                          "the endpoint's status " + std::to_string(status) +
                              " promises what its answer does not state",
                          true);
        return false;
    }
    if (status >= status_server_error &&
        exchange.possible_runs + 1 < exchange.matched_route->max_attempts &&
        may_retry(exchange))
    {
        on_attempt_failed(exchange, "the endpoint failed", true);
        return false;
    }
    return true;
}

void request_flow::record_response(http_exchange& exchange, endpoint_view& endpoint)
{
    const instant now = context_.loop.now();
    const auto held = endpoint.adapters.find(exchange.request.adapter);
    if (held != endpoint.adapters.end())
    {
        observe_adapter_load(exchange, held->second, true);
        held->second.confirmed = true;
    }
    record_prefill_done(exchange, endpoint);
    if (exchange.reader->head().status >= status_server_error)
        record_failure(endpoint, now);
    else
        record_first_byte(endpoint, to_milliseconds(now - exchange.sent_at), now);
}

void request_flow::record_leaving(endpoint_view& endpoint)
{
    endpoint.draining = true;
    pool_.remove_endpoint(endpoint.record.id);
    context_.log.write("endpoint", {{"endpoint", endpoint.record.id.value},
                                    {"service", endpoint.record.service.value},
                                    {"state", "draining"},
                                    {"source", "response"}});
}

void request_flow::relay(http_exchange& exchange, bool is_complete)
{
    const bool is_streamed = exchange.matched_route->kind == route_kind::streaming &&
                             is_success(exchange.reader->head().status);
    if (is_streamed)
        return relay_stream(exchange, is_complete);
    if (is_complete)
        relay_complete_response(exchange);
}

void request_flow::relay_complete_response(http_exchange& exchange)
{
    if (exchange.phase == exchange_phase::responding)
        return on_attempt_failed(exchange, "the stream was not resumed", true);
    const std::string body = std::move(exchange.reader->body);
    const int status = exchange.reader->head().status;
    const bool has_length = exchange.reader->has_length();
    const bool is_peers_error = exchange.is_relayed && !exchange.response.has_signature;
    if (exchange.claim_revision.value != 0 && is_peers_error)
        settle_relayed_claim(exchange);
    else if (exchange.claim_revision.value != 0)
        claims_.record_response(exchange.claim, exchange.claim_revision, status, body,
                                has_length);
    callers_.send_response(
        exchange.caller, status,
        context_.dialect.write_response_fields(exchange.reader->head()) +
            (exchange.is_relayed ? "" : extra_interface_fields(exchange)),
        body, has_length ? body_framing::length : body_framing::connection_end);
    complete(exchange, true);
}

void request_flow::complete(http_exchange& exchange, bool reuse)
{
    const std::string status = std::to_string(exchange.reader->head().status);
    log_event(exchange, "answered", status);
    count_outcome(exchange, "answered", status);
    if (!exchange.is_relayed)
        guard_.on_completed(exchange);
    const bool can_reuse = reuse && !exchange.response.is_leaving &&
                           context_.loop.is_open(exchange.upstream) &&
                           context_.loop.input(exchange.upstream).empty() &&
                           exchange.reader->has_length() &&
                           exchange.reader->head().keep_alive;
    release_endpoint(exchange);
    if (can_reuse)
        pool_.release_connection(exchange.endpoint, exchange.upstream,
                                 exchange.response.idle_timeout);
    else
        context_.loop.close(exchange.upstream);
    exchange.upstream = {};
    remove_exchange(exchange);
}

void request_flow::observe_adapter_load(const http_exchange& exchange,
                                        const resident_adapter& resident, bool complete)
{
    const std::optional<load_observation> observed =
        observed_load(resident, exchange.sent_at, complete);
    if (observed)
        record_load_observation(context_, *observed);
}

void request_flow::on_endpoint_refused(http_exchange& exchange)
{
    const int status = exchange.reader->head().status;
    log_event(exchange, "endpoint refused", std::to_string(status));
    const instant now = context_.loop.now();
    const auto found = context_.fleet.endpoints.find(exchange.endpoint);
    const bool needs_adapter = !exchange.request.adapter.empty();
    if (found != context_.fleet.endpoints.end())
    {
        endpoint_view& view = found->second;
        const bool is_address_reused = !exchange.response.endpoint.empty() &&
                                       exchange.response.endpoint != exchange.endpoint;
        if (is_address_reused)
            view.gone_at = now;
        else if (needs_adapter && view.adapters.contains(exchange.request.adapter))
        {
            observe_adapter_load(exchange, view.adapters.at(exchange.request.adapter),
                                 false);
            record_missing_adapter(view, exchange.request.adapter, now);
            if (++exchange.adapter_refusals[exchange.endpoint] >= max_adapter_refusals)
                exchange.failed_endpoints.insert(exchange.endpoint);
        }
        else if (status != status_misdirected)
            view.backoff_until = now + capacity_backoff;
        if (status == status_unavailable)
            brittle_.on_rejected(view);
        if (status == status_unavailable && exchange.response.retry_after)
            view.refused_until =
                std::max(view.refused_until, now + *exchange.response.retry_after);
    }
    drop_upstream(exchange);
    wait_for_endpoint(exchange);
}

void request_flow::wait_for_endpoint(http_exchange& exchange)
{
    exchange.phase = exchange.phase == exchange_phase::responding
                         ? exchange_phase::resuming
                         : exchange_phase::waiting;
    try_dispatch(exchange.id);
}

void request_flow::on_attempt_failed(http_exchange& exchange, const std::string& reason,
                                     bool may_have_run)
{
    if (exchange.is_relayed)
        return on_relay_failed(exchange, reason, may_have_run);
    log_event(exchange, "attempt failed", reason);
    const auto view = context_.fleet.endpoints.find(exchange.endpoint);
    if (view != context_.fleet.endpoints.end())
    {
        record_failure(view->second, context_.loop.now());
        if (!may_have_run)
            record_unreachable(view->second, context_.loop.now());
    }
    if (may_have_run)
        guard_.on_cut_off(exchange);
    else
        guard_.on_endpoint_lost(exchange.endpoint);
    drop_upstream(exchange);
    exchange.failed_endpoints.insert(exchange.endpoint);
    exchange.partial_event.clear();
    if (may_have_run)
        exchange.possible_runs += 1;
    else
        exchange.sends -= 1;
    if (!may_have_run && exchange.phase == exchange_phase::sent)
        return wait_for_endpoint(exchange);
    if (!may_retry(exchange))
        return fail(exchange, status_bad_gateway, "endpoint_failed", reason);
    const instant now = context_.loop.now();
    if (exchange.request.adapter.empty() && !is_cut_off(context_.links))
    {
        const dispatch_query query = dispatch_query_for(exchange);
        const dispatch_decision other = choose_endpoint(context_.fleet, query, now);
        // A stream that has begun can wait, because its caller does.
        const bool may_wait =
            response_has_begun(exchange) && may_find_endpoint(context_.fleet, query, now);
        if (!other.endpoint && !other.needs_permit && !may_wait)
            return fail(exchange, status_bad_gateway, "endpoint_failed", reason);
    }
    extend_wait(exchange);
    // The caller of a stream waits for the next event.
    if (response_has_begun(exchange))
        exchange.wait_deadline =
            std::max(exchange.wait_deadline,
                     exchange.last_chunk_at + abandonment_time(*exchange.matched_route));
    wait_for_endpoint(exchange);
}

void request_flow::extend_wait(http_exchange& exchange) const
{
    const instant now = context_.loop.now();
    exchange.wait_deadline =
        std::max(exchange.wait_deadline,
                 now + max_wait_time(*exchange.matched_route,
                                     to_milliseconds(exchange.deadline - now)));
    exchange.load_requested_at = {};
}

} // namespace pollenhaven
