#include "servers/gateway/request_flow.hpp"

#include "policy/fleet/wait_limits.hpp"

namespace pollenhaven
{

namespace
{

constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

// What is known of a request that ends without an answer of its endpoint.
verdict verdict_on(const http_exchange& item)
{
    const bool is_out = item.phase == exchange_phase::sent || response_has_begun(item);
    return item.possible_runs > 0 || is_out ? verdict::may_have_run : verdict::not_run;
}

} // namespace

void request_flow::on_deadline(exchange_id id)
{
    http_exchange& item = exchanges_.at(id.value);
    if (verdict_on(item) == verdict::not_run)
        return refuse(item, "deadline", "the request's time ran out before it was sent");
    fail(item, status_gateway_timeout, "deadline", "the request's time ran out");
}

void request_flow::refuse(http_exchange& item, const std::string& code,
                          const std::string& message)
{
    log_refusal(item, code);
    const instant now = context_.loop.now();
    const milliseconds left =
        item.deadline > now ? to_milliseconds(item.deadline - now) : milliseconds(1000);
    end_with_error_response(item, {verdict::not_run, status_unavailable, code, message,
                                   retry_delay(left, request_hash(item))});
}

void request_flow::refuse_or_fail(http_exchange& item, const std::string& code,
                                  const std::string& message)
{
    if (verdict_on(item) == verdict::not_run)
        return refuse(item, code, message);
    fail(item, status_bad_gateway, code, message);
}

void request_flow::fail(http_exchange& item, int status, const std::string& code,
                        const std::string& message)
{
    log_failure_and_end(item, {verdict_on(item), status, code, message, std::nullopt});
}

void request_flow::log_failure_and_end(http_exchange& item, const failure& reason)
{
    log_event(item, "failed", reason.code);
    count_outcome(item, "failed", reason.code);
    end_with_error_response(item, reason);
}

void request_flow::end_with_error_response(http_exchange& item, const failure& reason)
{
    release_unused_claim(item, reason.execution);
    drop_upstream(item);
    if (response_has_begun(item))
        callers_.abort_response(item.caller);
    else
        callers_.send_error(item.caller, reason, extra_interface_fields(item));
    remove_exchange(item);
}

// A key whose call surely didn't run is free again; one whose call may have run isn't.
void request_flow::release_unused_claim(http_exchange& item, verdict run)
{
    if (item.phase == exchange_phase::claiming)
        claims_.abandon(item.claim.record.attempt);
    else if (item.claim_revision.value != 0 && run == verdict::not_run)
        claims_.release(item.claim, item.claim_revision);
    item.claim_revision = {};
}

void request_flow::remove_exchange(http_exchange& item)
{
    context_.loop.cancel(item.timer);
    context_.loop.cancel(item.deadline_timer);
    by_caller_.erase(item.caller.value);
    exchanges_.erase(item.id.value);
}

void request_flow::on_caller_disconnected(stream_id caller)
{
    const auto found = by_caller_.find(caller.value);
    if (found == by_caller_.end())
        return;
    http_exchange& item = exchanges_.at(found->second.value);
    log_event(item, "caller gone", "");
    count_outcome(item, "caller_gone", "");
    release_unused_claim(item, verdict_on(item));
    drop_upstream(item);
    remove_exchange(item);
}

} // namespace pollenhaven
