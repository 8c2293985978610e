#include "servers/gateway/request_flow.hpp"

#include <algorithm>
#include <vector>

namespace pollenhaven
{

namespace
{

constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;

// The name under which connections to a peer are pooled; endpoints have no such ids.
endpoint_id relay_name(const daemon_id& peer)
{
    return {"daemon " + peer.value};
}

} // namespace

bool request_flow::relay_to_peer(http_exchange& exchange)
{
    if (!is_cut_off(context_.links) || exchange.is_from_peer)
        return false;
    const std::optional<daemon_id> peer =
        choose_relay(context_.fleet, request_hash(exchange), exchange.failed_relays,
                     context_.loop.now());
    if (!peer)
        return false;
    send_to_peer(exchange, context_.fleet.members.at(*peer));
    return true;
}

void request_flow::send_to_peer(http_exchange& exchange, const member_view& peer)
{
    const instant now = context_.loop.now();
    withdraw_reservation(exchange);
    begin_attempt(exchange, relay_name(peer.id));
    exchange.is_relayed = true;
    exchange.is_new_connection = false;
    // A peer that fails isn't asked again for this request.
    exchange.failed_relays.insert(peer.id);
    endpoint_record target;
    target.id = exchange.endpoint;
    target.address = peer.peer_address;
    const exchange_id id = exchange.id;
    exchange.upstream = pool_.acquire_connection(target, upstream_handlers(id));
    context_.loop.set_output_deadline(exchange.upstream, exchange.deadline);
    relay_fields fields;
    fields.deadline = to_milliseconds(exchange.deadline - now);
    fields.last_event_id = exchange.last_event_id.empty() ? exchange.request.last_event_id
                                                          : exchange.last_event_id;
    fields.stream_begun_by = stream_id_of(exchange);
    context_.loop.send(exchange.upstream,
                       context_.dialect.write_relayed_request(
                           exchange.head, exchange.body.size(), fields) +
                           exchange.body);
    exchange.timer = context_.loop.schedule_after(connect_timeout, [this, id]
                                                  { check_response_started(id); });
    log_event(exchange, "relayed", "cut off from endpoints");
    context_.metrics.add("pollenhaven_relays_total");
}

void request_flow::on_relay_failed(http_exchange& exchange, const std::string& reason,
                                   bool may_have_run)
{
    log_event(exchange, "attempt failed", reason);
    drop_upstream(exchange);
    exchange.partial_event.clear();
    exchange.is_relayed = false;
    if (may_have_run)
    {
        // The peer may have used all attempts that the route allows.
        exchange.possible_runs = exchange.matched_route->max_attempts;
        return fail(exchange, status_bad_gateway, "endpoint_failed", reason);
    }
    exchange.sends -= 1;
    wait_for_endpoint(exchange);
}

bool request_flow::waits_for_endpoints() const
{
    return std::any_of(exchanges_.begin(), exchanges_.end(),
                       [](const auto& entry)
                       {
                           const http_exchange& exchange = entry.second;
                           return exchange.upstream.value != 0 && !exchange.is_relayed &&
                                  !exchange.is_paused;
                       });
}

void request_flow::on_links_changed()
{
    std::vector<exchange_id> silent;
    if (is_cut_off_confirmed(context_.links, context_.loop.now()))
        for (auto& [id, exchange] : exchanges_)
            if (exchange.upstream.value != 0 && !exchange.is_relayed &&
                can_go_elsewhere(exchange) &&
                std::max(exchange.last_chunk_at, exchange.sent_at) <
                    *context_.links.cut_off_since)
                silent.push_back(exchange.id);
    for (const exchange_id id : silent)
        if (exchanges_.contains(id.value))
            on_attempt_failed(exchanges_.at(id.value), "cut off from endpoints", true);
    dispatch_waiting();
}

bool request_flow::accept_peer_response(http_exchange& exchange)
{
    const http_head& head = exchange.reader->head();
    const bool states_not_run =
        !exchange.response.has_signature &&
        field_value(head, verdict_field) == to_string(verdict::not_run);
    // A peer of an earlier release passes such a status of an endpoint on.
    if (promises_not_run(head.status) && !states_not_run)
    {
        on_relay_failed(exchange,
                        "the peer's status " + std::to_string(head.status) +
                            " promises what its answer does not state",
                        true);
        return false;
    }
    return !try_another_peer(exchange);
}

bool request_flow::try_another_peer(http_exchange& exchange)
{
    constexpr std::size_t max_relays = 2;
    if (exchange.reader->head().status != status_unavailable ||
        exchange.failed_relays.size() >= max_relays ||
        !choose_relay(context_.fleet, request_hash(exchange), exchange.failed_relays,
                      context_.loop.now()))
        return false;
    on_relay_failed(exchange, "refused by a peer", false);
    return true;
}

void request_flow::settle_relayed_claim(http_exchange& exchange)
{
    const bool has_not_run = field_value(exchange.reader->head(), verdict_field) ==
                             to_string(verdict::not_run);
    if (has_not_run)
        claims_.release(exchange.claim, exchange.claim_revision);
    exchange.claim_revision = {};
}

void request_flow::record_connection_made(http_exchange& exchange)
{
    if (std::exchange(exchange.is_new_connection, false))
        links_.on_connected();
}

} // namespace pollenhaven
