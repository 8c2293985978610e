#include "servers/gateway/request_flow.hpp"

#include "policy/fleet/event_stream.hpp"
#include "policy/fleet/wait_limits.hpp"

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
// An endpoint that was full is left alone for this long.
constexpr milliseconds full_pause{40};
// An engine that turns a request away so often is not asked again for it; twice may be a
// load that took longer than expected.
constexpr int most_refusals = 3;
// A stream that can go on elsewhere does so after this silence. Pauses of busy engines
// are a third of a second; callers wait two seconds at least.
constexpr milliseconds longest_silence{1200};
// A request that may be repeated is sent elsewhere when no answer began in this many
// times its target latency.
constexpr int slow_start_factor = 4;

bool is_success(int status)
{
    return status >= status_ok_first && status <= status_ok_last;
}

} // namespace

bool request_flow::may_retry(const http_exchange& item) const
{
    const bool idempotent = item.matched_route->kind == route_kind::idempotent ||
                            (item.matched_route->kind == route_kind::streaming &&
                             item.matched_route->resumable);
    const bool untouched = !response_has_begun(item) || item.matched_route->resumable;
    return idempotent && untouched &&
           item.possible_runs < item.matched_route->max_attempts &&
           context_.loop.now() < item.deadline;
}

void request_flow::check_response_started(exchange_id id)
{
    http_exchange& item = exchanges_.at(id.value);
    if (item.has_response_head)
        return;
    if (!context_.loop.has_written(item.upstream))
        return on_attempt_failed(item, "no connection", false);
    const milliseconds slow = item.matched_route->target_latency * slow_start_factor;
    const auto age = context_.loop.now() - item.sent_at;
    if (age < slow)
    {
        item.timer = context_.loop.schedule(item.sent_at + slow,
                                            [this, id] { check_response_started(id); });
        return;
    }
    const bool first = item.possible_runs == 0 && item.sends == 1;
    if (first && item.possible_runs + 1 < item.matched_route->max_attempts &&
        may_retry(item))
        on_attempt_failed(item, "no answer began in time", true);
}

void request_flow::on_upstream_ended(exchange_id id, stream_end end)
{
    http_exchange& item = exchanges_.at(id.value);
    const bool sent = context_.loop.has_written(item.upstream);
    const bool whole = end == stream_end::finished && item.has_response_head &&
                       !item.discards_response &&
                       item.reader->finish() == read_state::complete;
    if (whole)
    {
        relay(item, true);
        return;
    }
    on_attempt_failed(item, sent ? "the endpoint closed the connection" : "no connection",
                      sent);
}

void request_flow::on_upstream_readable(exchange_id id)
{
    http_exchange& item = exchanges_.at(id.value);
    std::string& input = context_.loop.input(item.upstream);
    while (true)
    {
        const read_state state = item.reader->read(input);
        if (state == read_state::malformed)
            return on_attempt_failed(item, "the endpoint's answer is malformed", true);
        if (item.reader->has_head() && !item.has_response_head &&
            !process_response_head(item))
            return;
        const bool whole = state == read_state::complete;
        if (whole && item.discards_response)
        {
            // The answer of an earlier request; ours follows.
            item.reader.emplace(http_reader::message_kind::response, message_limits{});
            item.has_response_head = false;
            item.discards_response = false;
            if (input.empty())
                return;
            continue;
        }
        if (item.has_response_head && !item.discards_response)
            relay(item, whole);
        return;
    }
}

// Judges the head of an answer. Returns false if the exchange moved on.
bool request_flow::process_response_head(http_exchange& item)
{
    constexpr int first_final_status = 200;
    item.response = context_.dialect.read_response(item.reader->head());
    item.has_response_head = true;
    const int status = item.reader->head().status;
    const bool foreign = !item.response.id.empty() && item.response.id != item.request.id;
    if (status < first_final_status || foreign)
    {
        item.discards_response = true;
        return true;
    }
    context_.loop.cancel(item.timer);
    item.timer = {};
    if (item.response.not_run)
    {
        on_endpoint_refused(item);
        return false;
    }
    if (is_success(status) && (!item.response.has_signature || item.response.id.empty()))
    {
        on_attempt_failed(item, "the endpoint's answer has no signature", true);
        return false;
    }
    const auto view = context_.fleet.endpoints.find(item.endpoint);
    if (view != context_.fleet.endpoints.end())
    {
        const instant now = context_.loop.now();
        const auto held = view->second.adapters.find(item.request.adapter);
        if (held != view->second.adapters.end())
            held->second.confirmed = true;
        record_prefill_done(item, view->second);
        if (status >= status_server_error)
            record_failure(view->second, now);
        else
            record_first_byte(view->second, to_milliseconds(now - item.sent_at), now);
    }
    if (status >= status_server_error &&
        item.possible_runs + 1 < item.matched_route->max_attempts && may_retry(item))
    {
        on_attempt_failed(item, "the endpoint failed", true);
        return false;
    }
    return true;
}

void request_flow::relay(http_exchange& item, bool complete)
{
    const bool streams = item.matched_route->kind == route_kind::streaming &&
                         is_success(item.reader->head().status);
    if (streams)
        return relay_stream(item, complete);
    if (complete)
        relay_complete_response(item);
}

void request_flow::relay_stream(http_exchange& item, bool complete_answer)
{
    if (item.phase != exchange_phase::answering)
    {
        item.phase = exchange_phase::answering;
        log_event(item, "answer began", "");
        context_.metrics.observe_seconds("pollenhaven_first_byte_seconds",
                                         to_seconds(context_.loop.now() - item.arrived));
        callers_.begin_response(
            item.caller, item.reader->head().status,
            context_.dialect.write_response_fields(item.reader->head()) +
                extra_interface_fields(item));
    }
    std::string piece = std::move(item.reader->body);
    item.reader->body.clear();
    const instant now = context_.loop.now();
    if (item.last_chunk_at != instant{})
        item.longest_pause =
            std::max(item.longest_pause, to_milliseconds(now - item.last_chunk_at));
    item.last_chunk_at = now;
    if (item.matched_route->resumable)
    {
        item.partial_event += piece;
        piece = complete_answer ? std::move(item.partial_event)
                                : take_complete_events(item.partial_event);
        const std::string last = last_event_id(piece);
        if (!last.empty())
            item.last_event = last;
    }
    callers_.send_chunk(item.caller, piece);
    if (!complete_answer)
        return schedule_stall_check(item);
    callers_.end_response(item.caller);
    complete(item, true);
}

void request_flow::schedule_stall_check(http_exchange& item)
{
    if (!item.matched_route->resumable || item.timer.value != 0)
        return;
    const exchange_id id = item.id;
    item.timer = context_.loop.schedule(item.last_chunk_at + longest_silence,
                                        [this, id] { check_stall(id); });
}

void request_flow::check_stall(exchange_id id)
{
    http_exchange& item = exchanges_.at(id.value);
    item.timer = {};
    const bool is_silent = context_.loop.now() - item.last_chunk_at >= longest_silence;
    if (is_silent && may_retry(item))
        return on_attempt_failed(item, "the stream went silent", true);
    if (!is_silent)
        schedule_stall_check(item);
}

void request_flow::relay_complete_response(http_exchange& item)
{
    if (item.phase == exchange_phase::answering)
        return on_attempt_failed(item, "the stream was not resumed", true);
    const std::string body = std::move(item.reader->body);
    const int status = item.reader->head().status;
    if (item.claim_revision.value != 0)
        claims_.record_response(item.claim, item.claim_revision, status, body);
    callers_.send_response(item.caller, status,
                           context_.dialect.write_response_fields(item.reader->head()) +
                               extra_interface_fields(item),
                           body);
    complete(item, true);
}

void request_flow::complete(http_exchange& item, bool reuse)
{
    const std::string status = std::to_string(item.reader->head().status);
    log_event(item, "answered", status);
    count_outcome(item, "answered", status);
    guard_.on_completed(item);
    const bool clean = reuse && context_.loop.is_open(item.upstream) &&
                       context_.loop.input(item.upstream).empty() &&
                       item.reader->has_length() && item.reader->head().keep_alive;
    release_endpoint(item);
    if (clean)
        pool_.release_connection(item.endpoint, item.upstream,
                                 item.response.idle_timeout);
    else
        context_.loop.close(item.upstream);
    item.upstream = {};
    remove_exchange(item);
}

void request_flow::on_endpoint_refused(http_exchange& item)
{
    const int status = item.reader->head().status;
    log_event(item, "endpoint refused", std::to_string(status));
    const instant now = context_.loop.now();
    const auto found = context_.fleet.endpoints.find(item.endpoint);
    const bool by_adapter = !item.request.adapter.empty();
    if (found != context_.fleet.endpoints.end())
    {
        endpoint_view& view = found->second;
        const bool replaced =
            !item.response.endpoint.empty() && item.response.endpoint != item.endpoint;
        if (replaced)
            view.gone_at = now;
        else if (by_adapter && view.adapters.contains(item.request.adapter))
        {
            record_missing_adapter(view, item.request.adapter, now);
            if (++item.adapter_refusals[item.endpoint] >= most_refusals)
                item.failed_endpoints.insert(item.endpoint);
        }
        else if (status != status_misdirected)
            view.backoff_until = now + full_pause;
    }
    drop_upstream(item);
    wait_for_endpoint(item);
}

void request_flow::wait_for_endpoint(http_exchange& item)
{
    item.phase = item.phase == exchange_phase::answering ? exchange_phase::resuming
                                                         : exchange_phase::waiting;
    try_dispatch(item.id);
}

void request_flow::on_attempt_failed(http_exchange& item, const std::string& reason,
                                     bool may_have_run)
{
    log_event(item, "attempt failed", reason);
    const auto view = context_.fleet.endpoints.find(item.endpoint);
    if (view != context_.fleet.endpoints.end())
    {
        record_failure(view->second, context_.loop.now());
        if (!may_have_run)
            record_unreachable(view->second, context_.loop.now());
    }
    if (may_have_run)
        guard_.on_cut_off(item);
    else
        guard_.on_endpoint_lost(item.endpoint);
    drop_upstream(item);
    item.failed_endpoints.insert(item.endpoint);
    item.partial_event.clear();
    if (may_have_run)
        item.possible_runs += 1;
    else
        item.sends -= 1;
    if (!may_have_run && item.phase == exchange_phase::sent)
        return wait_for_endpoint(item);
    if (!may_retry(item))
        return fail(item, status_bad_gateway, "endpoint_failed", reason);
    const instant now = context_.loop.now();
    const bool needs_load = !item.request.adapter.empty();
    if (!needs_load &&
        !choose_endpoint(context_.fleet, dispatch_query_for(item), now).endpoint)
        return fail(item, status_bad_gateway, "endpoint_failed", reason);
    // Another engine may have to load the adapter first.
    item.wait_deadline = std::max(
        item.wait_deadline,
        now + max_wait_time(*item.matched_route, to_milliseconds(item.deadline - now)));
    item.load_requested_at = {};
    wait_for_endpoint(item);
}

} // namespace pollenhaven
