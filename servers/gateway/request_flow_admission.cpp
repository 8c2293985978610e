#include "servers/gateway/request_flow.hpp"

#include "policy/crash_history.hpp"
#include "policy/fleet/model_check.hpp"
#include "policy/fleet/wait_limits.hpp"
#include "policy/rendezvous.hpp"

#include <algorithm>

namespace pollenhaven
{

namespace
{

constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;

} // namespace

request_flow::request_flow(gateway_context& context, http_server& callers,
                           connection_pool& pool, crash_guard& guard,
                           idempotency_claims& claims, load_request_handler request_load)
    : context_(context), callers_(callers), pool_(pool), guard_(guard), claims_(claims),
      request_load_(std::move(request_load))
{
}

std::uint64_t request_flow::request_hash(const http_exchange& item) const
{
    return rendezvous_weight(item.request.id.value, context_.settings.id.value);
}

void request_flow::handle_request(stream_id caller, const http_head& head,
                                  std::string body)
{
    const exchange_id id{next_id_++};
    http_exchange& item = exchanges_[id.value];
    by_caller_[caller.value] = id;
    item.id = id;
    item.caller = caller;
    item.head = head;
    item.body = std::move(body);
    item.arrived = context_.loop.now();
    try
    {
        const std::optional<caller_interface>& own = context_.extra_caller_interface;
        item.request = own && own->classify(head) ? own->read_request(head, item.body)
                                                  : context_.dialect.read_request(head);
    }
    catch (const dialect_error& error)
    {
        return fail(item, status_bad_request, "malformed_request", error.what());
    }
    catch (const request_error& error)
    {
        return log_failure_and_end(item, error.reason());
    }
    admit(item);
}

void request_flow::admit(http_exchange& item)
{
    item.table = context_.routing;
    if (item.table == nullptr)
        return refuse(item, "no_configuration", "no configuration is known yet");
    item.matched_route =
        match_route(*item.table, item.request.host, path_of(item.head.target));
    if (item.matched_route == nullptr)
        return fail(item, status_not_found, "unknown_route", "no route matches the path");
    item.service = pick_service(*item.matched_route, request_hash(item));
    const std::string unknown =
        item.request.has_platform_fields
            ? std::string()
            : reason_for_unknown_model(context_.fleet, *item.table, item.service,
                                       item.request);
    if (!unknown.empty())
        return fail(item, status_not_found, "unknown_model", unknown);
    const milliseconds caller_time =
        std::min(item.request.deadline.value_or(item.matched_route->timeout),
                 item.matched_route->timeout);
    item.deadline = item.arrived + caller_time;
    item.wait_deadline = item.arrived + max_wait_time(*item.matched_route, caller_time);
    count_request(attempts_[item.service], context_.settings.budget, item.arrived);
    const exchange_id id = item.id;
    item.deadline_timer =
        context_.loop.schedule(item.deadline, [this, id] { on_deadline(id); });
    if (!item.request.caller_idempotency_key.empty())
        return claim_idempotency_key(item);
    try_dispatch(id);
}

void request_flow::claim_idempotency_key(http_exchange& item)
{
    item.phase = exchange_phase::claiming;
    item.claim.key =
        claim_key(item.matched_route->name, item.request.caller_idempotency_key);
    item.claim.record.attempt =
        context_.incarnation.value + "-" + std::to_string(item.id.value);
    item.claim.record.fingerprint = content_fingerprint(item.head.target, item.body);
    item.claim.record.claimed_at = wall_clock_milliseconds();
    const exchange_id id = item.id;
    claims_.claim(item.claim,
                  [this, id](const claim_decision& decision) { on_claim(id, decision); });
}

void request_flow::on_claim(exchange_id id, const claim_decision& decision)
{
    http_exchange& item = exchanges_.at(id.value);
    item.phase = exchange_phase::waiting;
    if (decision.outcome == claim_outcome::granted)
    {
        item.claim_revision = decision.revision;
        return try_dispatch(id);
    }
    if (decision.outcome != claim_outcome::answered_before)
        return log_failure_and_end(item, failure_for(decision));
    log_event(item, "answered", "recorded answer");
    count_outcome(item, "answered", std::to_string(decision.existing.status));
    callers_.send_response(item.caller, decision.existing.status,
                           "Content-Type: application/json\r\n" +
                               extra_interface_fields(item),
                           decision.existing.body);
    remove_exchange(item);
}

std::string request_flow::extra_interface_fields(const http_exchange& item) const
{
    if (item.request.has_platform_fields || !context_.extra_caller_interface)
        return "";
    return context_.extra_caller_interface->write_response_fields(item.request);
}

} // namespace pollenhaven
