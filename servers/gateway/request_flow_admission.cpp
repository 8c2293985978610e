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
constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_too_many_requests = 429;

} // namespace

request_flow::request_flow(gateway_context& context, http_server& callers,
                           connection_pool& pool, crash_guard& guard,
                           idempotency_claims& claims, request_permits& permits,
                           stream_records& records, brittle_endpoints& brittle,
                           link_monitor& links, endpoint_load_reports& loads,
                           customer_quotas& quotas, load_request_handler request_load)
    : context_(context), callers_(callers), pool_(pool), guard_(guard), claims_(claims),
      permits_(permits), records_(records), brittle_(brittle), links_(links),
      loads_(loads), quotas_(quotas), request_load_(std::move(request_load))
{
}

std::uint64_t request_flow::request_hash(const http_exchange& exchange) const
{
    return rendezvous_weight(exchange.request.id.value, context_.settings.id.value);
}

std::uint64_t request_flow::stream_hash(const http_exchange& exchange) const
{
    return rendezvous_weight(stream_id_of(exchange).value, exchange.matched_route->name);
}

void request_flow::handle_request(stream_id caller, const http_head& head,
                                  std::string body)
{
    const exchange_id id{next_id_++};
    http_exchange& exchange = exchanges_[id.value];
    by_caller_[caller.value] = id;
    exchange.id = id;
    exchange.caller = caller;
    exchange.is_from_peer = callers_.is_from_peer(caller);
    exchange.head = head;
    exchange.body = std::move(body);
    exchange.arrived = context_.loop.now();
    try
    {
        exchange.request = context_.dialect.read_request(head);
        // A request with an id of the platform's interface is one of that interface,
        // whatever its path is.
        if (exchange.request.id.empty() && context_.extra_caller_interface &&
            context_.extra_caller_interface->classify(head))
            exchange.request =
                context_.extra_caller_interface->read_request(head, exchange.body);
    }
    catch (const dialect_error& error)
    {
        return fail(exchange, status_bad_request, "malformed_request", error.what());
    }
    catch (const request_error& error)
    {
        return log_failure_and_end(exchange, error.reason());
    }
    admit(exchange);
}

void request_flow::admit(http_exchange& exchange)
{
    exchange.table = context_.routing;
    if (exchange.table == nullptr)
        return refuse(exchange, "no_configuration", "no configuration is known yet");
    exchange.matched_route = match_route(*exchange.table, exchange.request.host,
                                         path_of(exchange.head.target));
    if (exchange.matched_route == nullptr)
        return fail(exchange, status_not_found, "unknown_route",
                    "no route matches the path");
    if (!identify(exchange))
        return;
    exchange.service = pick_service(*exchange.matched_route, stream_hash(exchange));
    const std::string unknown_model_reason =
        exchange.request.has_platform_fields
            ? std::string()
            : reason_for_unknown_model(context_.fleet, *exchange.table, exchange.service,
                                       exchange.request);
    if (!unknown_model_reason.empty())
        return fail(exchange, status_not_found, "unknown_model", unknown_model_reason);
    const milliseconds time_limit =
        std::min(exchange.request.deadline.value_or(exchange.matched_route->timeout),
                 exchange.matched_route->timeout);
    exchange.deadline = exchange.arrived + time_limit;
    context_.loop.set_output_deadline(exchange.caller, exchange.deadline);
    exchange.wait_deadline =
        exchange.arrived + max_wait_time(*exchange.matched_route, time_limit);
    if (context_.admission_ends && exchange.arrived > *context_.admission_ends)
        return refuse(exchange, "stopping",
                      "the daemon shuts down and might end before the request does");
    // The daemon that relays a request counts it and holds its claim.
    if (!exchange.is_from_peer)
        count_request(attempts_[exchange.service], context_.settings.retry_budget,
                      exchange.arrived);
    const exchange_id id = exchange.id;
    exchange.deadline_timer =
        context_.loop.schedule(exchange.deadline, [this, id] { on_deadline(id); });
    charge_quota(exchange);
}

bool request_flow::identify(http_exchange& exchange)
{
    const caller_identity identity =
        identify_caller(*context_.routing, *exchange.matched_route,
                        context_.dialect.read_api_key(exchange.head));
    exchange.identity_table = context_.routing;
    exchange.customer = identity.customer;
    if (identity.is_admitted)
        return true;
    fail(exchange, status_unauthorized, "unknown_key",
         "the request has no API key that the configuration knows");
    return false;
}

bool request_flow::identify_again(http_exchange& exchange)
{
    const bool may_have_run = exchange.possible_runs > 0 || response_has_begun(exchange);
    if (exchange.identity_table == context_.routing || may_have_run)
        return true;
    return identify(exchange);
}

void request_flow::charge_quota(http_exchange& exchange)
{
    // The daemon that relays a request has charged it.
    if (exchange.customer == nullptr || !exchange.customer->quota ||
        exchange.is_from_peer)
        return begin(exchange);
    exchange.phase = exchange_phase::charging;
    const exchange_id id = exchange.id;
    const customer_id customer = exchange.customer->id;
    quotas_.charge(*exchange.customer,
                   request_cost(*exchange.customer->quota, exchange.request),
                   exchange.wait_deadline,
                   [this, id, customer](const charge_decision& decision)
                   { on_charged(id, customer, decision); });
}

void request_flow::on_charged(exchange_id id, const customer_id& customer,
                              const charge_decision& decision)
{
    const auto found = exchanges_.find(id.value);
    if (found == exchanges_.end())
    {
        if (decision.outcome == charge_outcome::granted)
            quotas_.give_back(customer, decision.charge);
        return;
    }
    http_exchange& exchange = found->second;
    exchange.phase = exchange_phase::waiting;
    switch (decision.outcome)
    {
    case charge_outcome::granted:
        exchange.charge = decision.charge;
        exchange.charged_customer = customer;
        return begin(exchange);
    case charge_outcome::no_answer:
        return refuse(exchange, "quota_unknown",
                      "the daemon that keeps the customer's quota doesn't answer");
    case charge_outcome::over_quota:
        break;
    }
    log_refusal(exchange, "over_quota");
    end_with_error_response(
        exchange, {verdict::not_run, status_too_many_requests, "over_quota",
                   "the customer has used its quota up",
                   std::max(to_milliseconds(decision.retry_at - context_.loop.now()),
                            milliseconds(1))});
}

void request_flow::give_back_charge(http_exchange& exchange)
{
    if (exchange.charge)
        quotas_.give_back(exchange.charged_customer, *exchange.charge);
    exchange.charge.reset();
}

void request_flow::begin(http_exchange& exchange)
{
    if (!exchange.request.caller_idempotency_key.empty() && !exchange.is_from_peer)
        return claim_idempotency_key(exchange);
    if (is_resumed_by_caller(exchange))
        return locate_stream_version(exchange);
    try_dispatch(exchange.id);
}

void request_flow::locate_stream_version(http_exchange& exchange)
{
    log_resumption_by_caller(exchange);
    exchange.phase = exchange_phase::locating;
    const exchange_id id = exchange.id;
    records_.find(exchange.request.stream_begun_by, exchange.service,
                  [this, id](const stream_origin& origin)
                  { on_stream_located(id, origin); });
}

void request_flow::on_stream_located(exchange_id id, const stream_origin& origin)
{
    const auto found = exchanges_.find(id.value);
    if (found == exchanges_.end())
        return;
    http_exchange& exchange = found->second;
    exchange.phase = exchange_phase::waiting;
    if (origin.source == origin_source::unknown)
        return refuse(exchange, "stream_version_unknown",
                      "it is not known which software version began the stream");
    exchange.software = origin.version;
    try_dispatch(id);
}

void request_flow::claim_idempotency_key(http_exchange& exchange)
{
    exchange.phase = exchange_phase::claiming;
    exchange.claim.key =
        claim_key(exchange.matched_route->name, exchange.request.caller_idempotency_key);
    exchange.claim.record.attempt =
        context_.incarnation.value + "-" + std::to_string(exchange.id.value);
    exchange.claim.record.fingerprint =
        content_fingerprint(exchange.head.target, exchange.body);
    exchange.claim.record.claimed_at = wall_clock_milliseconds();
    const exchange_id id = exchange.id;
    claims_.claim(exchange.claim,
                  [this, id](const claim_decision& decision) { on_claim(id, decision); });
}

void request_flow::on_claim(exchange_id id, const claim_decision& decision)
{
    http_exchange& exchange = exchanges_.at(id.value);
    exchange.phase = exchange_phase::waiting;
    if (decision.outcome == claim_outcome::granted)
    {
        exchange.claim_revision = decision.revision;
        return try_dispatch(id);
    }
    if (decision.outcome != claim_outcome::answered_before)
        return log_failure_and_end(exchange, failure_for(decision));
    log_event(exchange, "answered", "recorded answer");
    count_outcome(exchange, "answered", std::to_string(decision.existing.status));
    callers_.send_response(exchange.caller, decision.existing.status,
                           "Content-Type: application/json\r\n" +
                               extra_interface_fields(exchange),
                           decision.existing.body,
                           decision.existing.has_length ? body_framing::length
                                                        : body_framing::connection_end);
    remove_exchange(exchange);
}

std::string request_flow::extra_interface_fields(const http_exchange& exchange) const
{
    if (exchange.request.has_platform_fields || !context_.extra_caller_interface)
        return "";
    return context_.extra_caller_interface->write_response_fields(exchange.request);
}

} // namespace pollenhaven
