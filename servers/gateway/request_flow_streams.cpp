#include "servers/gateway/request_flow.hpp"

#include "policy/fleet/event_stream.hpp"
#include "policy/fleet/wait_limits.hpp"

#include <algorithm>

namespace pollenhaven
{

namespace
{

// A resumable stream without new bytes for this time is resumed at another endpoint. A
// sound engine may fall silent for a second or so; callers wait for two seconds or more,
// and the rest is for the first event of the other endpoint.
constexpr milliseconds stream_stall_timeout{1600};
// Limit on what an endpoint can make the daemon hold of one event.
constexpr std::size_t max_event_bytes = 1UL << 20U;
// A stream is paused while its caller has this much left to read, and resumed at half of
// it. The caller's progress is checked at this interval.
constexpr std::size_t max_unread_stream_bytes = 256UL << 10U;
constexpr milliseconds caller_progress_interval{20};
// A stream that has stalled and stays where it is is checked again at this interval.
constexpr milliseconds stall_check_interval{200};

// Whether a stream whose framing says that it is complete may end here. Framing alone
// isn't enough: an endpoint that is cut off may close its connection in order, or frame
// what it has made so far.
bool may_end_here(const http_exchange& exchange)
{
    if (!is_event_stream(field_value(exchange.reader->head(), "Content-Type")))
        return true;
    const bool has_evidence =
        exchange.reader->has_length() || exchange.boundary.has_event;
    return exchange.boundary.unfinished_bytes == 0 && has_evidence;
}

} // namespace

void request_flow::on_stream_recorded(exchange_id id, bool is_recorded)
{
    const auto found = exchanges_.find(id.value);
    if (found == exchanges_.end())
        return;
    http_exchange& exchange = found->second;
    const late_record_action action =
        is_recorded ? late_record_action::pass_on : action_for_late_record(exchange);
    if (action == late_record_action::begin_at_base)
        return begin_at_base_version(exchange);
    if (action == late_record_action::end)
        return refuse_or_fail(exchange, "stream_not_recorded",
                              "the software version of the stream can't be recorded");
    exchange.record_pending = false;
    const bool has_answer = exchange.phase == exchange_phase::sent &&
                            exchange.has_response_head && !exchange.discards_response;
    if (has_answer && (exchange.held_end || !exchange.reader->body.empty()))
        relay(exchange, exchange.held_end);
}

late_record_action
request_flow::action_for_late_record(const http_exchange& exchange) const
{
    late_record late;
    late.version = *exchange.software;
    // A peer that got the request may have recorded another version for it.
    late.may_be_written =
        records_.may_be_written(exchange.request.id) || !exchange.failed_relays.empty();
    const bool was_sent = exchange.phase == exchange_phase::sent;
    late.may_send_again =
        !was_sent || (may_retry(exchange) &&
                      exchange.possible_runs + 1 < exchange.matched_route->max_attempts);
    return choose_late_record_action(context_.fleet, exchange.service, late,
                                     context_.loop.now());
}

void request_flow::begin_at_base_version(http_exchange& exchange)
{
    log_event(exchange, "record late", "");
    exchange.possible_runs += exchange.phase == exchange_phase::sent ? 1 : 0;
    drop_upstream(exchange);
    records_.withdraw(exchange.request.id);
    exchange.software = context_.fleet.base_versions.at(exchange.service).version;
    exchange.record_pending = false;
    extend_wait(exchange);
    wait_for_endpoint(exchange);
}

void request_flow::relay_stream(http_exchange& exchange, bool is_complete)
{
    if (exchange.record_pending)
    {
        exchange.held_end = is_complete;
        return;
    }
    if (exchange.phase != exchange_phase::responding)
        begin_stream(exchange);
    std::string bytes = std::move(exchange.reader->body);
    exchange.reader->body.clear();
    const bool had_event = exchange.boundary.has_event;
    track_events(exchange.boundary, bytes);
    if (exchange.boundary.has_event && !had_event)
        guard_.prompt_parts().on_answered(exchange);
    const bool ends_well = is_complete && may_end_here(exchange);
    if (is_complete)
        log_stream_end(exchange);
    const instant now = context_.loop.now();
    if (exchange.last_chunk_at != instant{})
        exchange.longest_pause = std::max(exchange.longest_pause,
                                          to_milliseconds(now - exchange.last_chunk_at));
    exchange.last_chunk_at = now;
    if (exchange.matched_route->resumable)
    {
        exchange.partial_event += bytes;
        bytes = ends_well ? std::move(exchange.partial_event)
                          : take_complete_events(exchange.partial_event);
        const std::string last = find_last_event_id(bytes);
        if (!last.empty())
            exchange.last_event_id = last;
        if (exchange.partial_event.size() > max_event_bytes)
            return on_attempt_failed(exchange, "an event of the stream is too long",
                                     true);
    }
    callers_.send_chunk(exchange.caller, bytes);
    if (!is_complete)
    {
        pause_if_caller_is_slow(exchange);
        return schedule_stall_check(exchange);
    }
    if (!ends_well)
        return on_attempt_failed(exchange, "the stream ended inside an event", true);
    callers_.end_response(exchange.caller);
    complete(exchange, true);
}

void request_flow::remember_stream_version(http_exchange& exchange)
{
    exchange.software = exchange.attempt_software;
    records_.remember(stream_id_of(exchange), exchange.service,
                      exchange.attempt_software);
}

void request_flow::begin_stream(http_exchange& exchange)
{
    exchange.phase = exchange_phase::responding;
    if (is_resumable(exchange) && !exchange.is_relayed)
        remember_stream_version(exchange);
    log_event(exchange, "answer began", "");
    context_.metrics.observe_seconds("pollenhaven_first_byte_seconds",
                                     to_seconds(context_.loop.now() - exchange.arrived));
    callers_.begin_response(
        exchange.caller, exchange.reader->head().status,
        context_.dialect.write_response_fields(exchange.reader->head()) +
            (exchange.is_relayed ? "" : extra_interface_fields(exchange)),
        exchange.reader->has_length() ? body_framing::chunked
                                      : body_framing::connection_end);
}

void request_flow::pause_if_caller_is_slow(http_exchange& exchange)
{
    if (exchange.is_paused ||
        context_.loop.pending_output(exchange.caller) <= max_unread_stream_bytes)
        return;
    exchange.is_paused = true;
    context_.loop.pause_reading(exchange.upstream);
    const exchange_id id = exchange.id;
    context_.loop.schedule_after(caller_progress_interval,
                                 [this, id] { resume_if_caller_caught_up(id); });
}

void request_flow::resume_if_caller_caught_up(exchange_id id)
{
    const auto found = exchanges_.find(id.value);
    if (found == exchanges_.end() || !found->second.is_paused)
        return;
    http_exchange& exchange = found->second;
    count_held_response(exchange);
    if (context_.loop.pending_output(exchange.caller) > max_unread_stream_bytes / 2)
    {
        context_.loop.schedule_after(caller_progress_interval,
                                     [this, id] { resume_if_caller_caught_up(id); });
        return;
    }
    exchange.is_paused = false;
    exchange.last_chunk_at = context_.loop.now();
    context_.loop.resume_reading(exchange.upstream);
}

void request_flow::schedule_stall_check(http_exchange& exchange)
{
    if (!exchange.matched_route->resumable || exchange.timer.value != 0)
        return;
    const exchange_id id = exchange.id;
    const instant due = exchange.last_chunk_at + stream_stall_timeout;
    const instant now = context_.loop.now();
    exchange.timer = context_.loop.schedule(due > now ? due : now + stall_check_interval,
                                            [this, id] { check_stall(id); });
}

void request_flow::check_stall(exchange_id id)
{
    http_exchange& exchange = exchanges_.at(id.value);
    exchange.timer = {};
    // While the caller is behind, the endpoint has to wait.
    if (exchange.is_paused)
        exchange.last_chunk_at = context_.loop.now();
    const auto silence = context_.loop.now() - exchange.last_chunk_at;
    // A peer that relays the stream resumes it.
    const bool is_moved = silence >= stream_stall_timeout && !exchange.is_relayed &&
                          can_go_elsewhere(exchange);
    if (!is_moved && silence < max_stream_silence(*exchange.matched_route))
        return schedule_stall_check(exchange);
    pool_.remove_endpoint(exchange.endpoint);
    on_attempt_failed(exchange, "the stream went silent", true);
}

} // namespace pollenhaven
