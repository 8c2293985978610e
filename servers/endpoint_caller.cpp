#include "servers/endpoint_caller.hpp"

#include "core/random_id.hpp"

#include <algorithm>

namespace pollenhaven
{

namespace
{

constexpr milliseconds claim_patience{4000};
// How long an answer waits to be recorded, so that a resend that follows it finds it.
constexpr milliseconds record_patience{500};
constexpr std::size_t recorded_body_limit = 64UL * 1024;
constexpr std::size_t attempt_id_bytes = 8;
constexpr milliseconds shortest_timeout{1000};

} // namespace

execute_event final_event(const failure& reason)
{
    execute_event event;
    event.final = true;
    event.run = reason.run;
    event.error = reason;
    return event;
}

failure not_run_failure(const std::string& code, const std::string& message)
{
    constexpr milliseconds retry_after{500};
    return {verdict::not_run, 503, code, message, retry_after};
}

endpoint_caller::endpoint_caller(daemon_context& context, claim_duty& claims)
    : context_(context), claims_(claims)
{
}

execute_event
endpoint_caller::generate(const engine_client& engine, const endpoint_id& endpoint,
                          ownership_epoch epoch, const execute_request& request,
                          const event_sink& sink, const std::atomic<bool>& cancelled,
                          const std::atomic<bool>& superseded)
{
    // The last moment before the request reaches the endpoint's socket.
    if (!context_.guard.may_act_on(endpoint, epoch))
        return final_event(
            not_run_failure("ownership_lapsed", "the owner's lease has lapsed"));
    generate_request order;
    order.id = request.id;
    order.adapter = request.model;
    order.fencing = epoch;
    order.body = request.body;
    order.resume = request.resume;
    order.from_token = request.from_token;
    order.trace_parent = request.trace_parent;
    const generate_result made =
        engine.generate(order,
                        [&](const generated_token& token)
                        {
                            execute_event made_token;
                            made_token.position = token.position;
                            made_token.text = token.text;
                            return !cancelled && sink(made_token);
                        });
    if (made.run == verdict::may_have_run && !superseded)
        engine.cancel(request.id);
    execute_event result = final_event(made.error);
    result.run = made.run;
    result.adapter = made.adapter;
    result.finish_reason = made.finish_reason;
    result.tokens = made.tokens;
    return result;
}

execute_event endpoint_caller::call_service(const service_client& service,
                                            const endpoint_id& endpoint,
                                            ownership_epoch epoch,
                                            const execute_request& request)
{
    claim_wish wish;
    claim_decision claimed;
    if (!request.idempotent)
    {
        wish.key = call_key(context_.settings.region, request.service, request.key);
        wish.record.attempt = random_hex(attempt_id_bytes);
        wish.record.fingerprint = request.fingerprint;
        claimed = claims_.claim(wish, claim_patience);
        if (claimed.outcome == claim_outcome::answered_before)
        {
            execute_event recorded = final_event({verdict::completed, 200, "", "", {}});
            recorded.status = claimed.existing.status;
            recorded.body = claimed.existing.body;
            return recorded;
        }
        if (claimed.outcome != claim_outcome::granted)
            return final_event(refusal_for(claimed));
    }
    if (!context_.guard.may_act_on(endpoint, epoch))
    {
        if (!request.idempotent)
            claims_.release(wish.key, claimed.revision, record_patience);
        return final_event(
            not_run_failure("ownership_lapsed", "the owner's lease has lapsed"));
    }
    service_call call;
    call.id = request.id;
    call.key = request.key;
    call.path = request.path;
    call.body = request.body;
    call.fencing = epoch;
    call.trace_parent = request.trace_parent;
    call.timeout = std::max(shortest_timeout, request.time_left);
    const service_answer answer = service.call(call);
    if (!request.idempotent && answer.run == verdict::not_run)
        claims_.release(wish.key, claimed.revision, record_patience);
    if (!request.idempotent && answer.run == verdict::completed)
    {
        claim_record record = wish.record;
        record.state = claim_state::done;
        record.status = answer.status;
        record.body = answer.body.substr(0, recorded_body_limit);
        claims_.record_answer(wish.key, claimed.revision, record, record_patience);
    }
    execute_event result = final_event(answer.error);
    result.run = answer.run;
    result.status = answer.status;
    result.body = answer.body;
    return result;
}

} // namespace pollenhaven
