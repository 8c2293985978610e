#include "servers/gateway/request_flow.hpp"

#include "policy/fleet/wait_limits.hpp"

#include <algorithm>
#include <vector>

namespace pollenhaven
{

namespace
{

constexpr int status_unauthorized = 401;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

// Returns what is known about the execution of a request that ends without a response
// from an endpoint.
verdict verdict_for(const http_exchange& exchange)
{
    const bool was_sent =
        exchange.phase == exchange_phase::sent || response_has_begun(exchange);
    return exchange.possible_runs > 0 || was_sent ? verdict::may_have_run
                                                  : verdict::not_run;
}

} // namespace

void request_flow::on_deadline(exchange_id id)
{
    http_exchange& exchange = exchanges_.at(id.value);
    if (verdict_for(exchange) == verdict::not_run)
        return refuse(exchange, "deadline",
                      "the request's time ran out before it was sent");
    fail(exchange, status_gateway_timeout, "deadline", "the request's time ran out");
}

void request_flow::refuse(http_exchange& exchange, const std::string& code,
                          const std::string& message, instant retry_at)
{
    log_refusal(exchange, code);
    const instant now = context_.loop.now();
    const milliseconds time_left = exchange.deadline > now
                                       ? to_milliseconds(exchange.deadline - now)
                                       : milliseconds(1000);
    milliseconds delay = retry_delay(time_left, request_hash(exchange));
    if (retry_at > now)
        delay = std::max(delay, to_milliseconds(retry_at - now));
    end_with_error_response(exchange,
                            {verdict::not_run, status_unavailable, code, message, delay});
}

void request_flow::refuse_or_fail(http_exchange& exchange, const std::string& code,
                                  const std::string& message, instant retry_at)
{
    if (verdict_for(exchange) == verdict::not_run)
        return refuse(exchange, code, message, retry_at);
    fail(exchange, status_bad_gateway, code, message);
}

void request_flow::fail(http_exchange& exchange, int status, const std::string& code,
                        const std::string& message)
{
    log_failure_and_end(exchange,
                        {verdict_for(exchange), status, code, message, std::nullopt});
}

void request_flow::log_failure_and_end(http_exchange& exchange, const failure& reason)
{
    log_event(exchange, "failed", reason.code);
    count_outcome(exchange, "failed", reason.code);
    end_with_error_response(exchange, reason);
}

void request_flow::end_with_error_response(http_exchange& exchange, const failure& reason)
{
    release_unused_claim(exchange, reason.execution);
    if (reason.execution == verdict::not_run)
        give_back_charge(exchange);
    drop_upstream(exchange);
    if (response_has_begun(exchange))
        callers_.abort_response(exchange.caller);
    else
        callers_.send_error(exchange.caller, reason,
                            extra_interface_fields(exchange) +
                                (reason.http_status == status_unauthorized
                                     ? context_.dialect.unknown_key_fields
                                     : std::string()));
    remove_exchange(exchange);
}

void request_flow::refuse_waiting()
{
    std::vector<exchange_id> waiting;
    for (const auto& [id, exchange] : exchanges_)
        if (exchange.upstream.value == 0 && !response_has_begun(exchange))
            waiting.push_back(exchange.id);
    for (const exchange_id id : waiting)
    {
        const auto found = exchanges_.find(id.value);
        if (found != exchanges_.end())
            refuse_or_fail(found->second, "stopping",
                           "the daemon exits before the request can be sent");
    }
}

void request_flow::release_unused_claim(http_exchange& exchange, verdict execution)
{
    if (exchange.phase == exchange_phase::claiming)
        claims_.abandon(exchange.claim.record.attempt);
    else if (exchange.claim_revision.value != 0 && execution == verdict::not_run)
        claims_.release(exchange.claim, exchange.claim_revision);
    exchange.claim_revision = {};
}

void request_flow::remove_exchange(http_exchange& exchange)
{
    withdraw_reservation(exchange);
    context_.loop.cancel(exchange.timer);
    context_.loop.cancel(exchange.deadline_timer);
    by_caller_.erase(exchange.caller.value);
    exchanges_.erase(exchange.id.value);
}

void request_flow::on_caller_disconnected(stream_id caller)
{
    const auto found = by_caller_.find(caller.value);
    if (found == by_caller_.end())
        return;
    http_exchange& exchange = exchanges_.at(found->second.value);
    log_event(exchange, "caller gone", "");
    count_outcome(exchange, "caller_gone", "");
    failure reason{verdict_for(exchange), status_bad_gateway, "caller_left",
                   "the caller closed its sending side before the response",
                   std::nullopt};
    if (reason.execution == verdict::not_run)
    {
        reason.http_status = status_unavailable;
        reason.retry_after = departed_retry_delay;
    }
    // Reaches only a caller that reads on.
    end_with_error_response(exchange, reason);
}

} // namespace pollenhaven
