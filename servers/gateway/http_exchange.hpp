#ifndef POLLENHAVEN_SERVERS_GATEWAY_HTTP_EXCHANGE_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_HTTP_EXCHANGE_HPP

#include "core/interfaces/platform_dialect.hpp"
#include "policy/call_claim.hpp"
#include "policy/customers/caller_identity.hpp"
#include "policy/customers/quota_allowance.hpp"
#include "policy/fleet/event_stream.hpp"
#include "policy/fleet/keeper_questions.hpp"
#include "servers/gateway/counted_bytes.hpp"
#include "servers/gateway/event_loop.hpp"
#include "servers/gateway/http_reader.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pollenhaven
{

// Identifies one request in progress at this daemon; never reused.
using exchange_id = strong_number<struct exchange_id_tag>;

enum class exchange_phase
{
    // Waits for credit from its customer's quota.
    charging,
    // Waits for the result of the claim on its idempotency key.
    claiming,
    // Waits for the software version of the stream that it resumes.
    locating,
    // Waits for an endpoint; no attempt is in progress.
    waiting,
    // Sent to an endpoint or to another daemon; no part of the response has been sent to
    // the caller.
    sent,
    // Part of the response has been sent to the caller.
    responding,
    // As `responding`, but the attempt failed; waits for an endpoint to resume the
    // stream.
    resuming
};

// One request from its arrival to the end of its response.
struct http_exchange
{
    exchange_id id;
    // The connection to the caller.
    stream_id caller;
    // Another daemon, which is cut off from the endpoints, has passed the request on.
    bool is_from_peer = false;
    http_head head;
    std::string body;
    caller_request request;
    // The configuration at the arrival of the request. Held so that the route stays valid
    // when a newer configuration replaces it.
    std::shared_ptr<const routing_table> table;
    const route* matched_route = nullptr;
    service_id service;
    // The customer that sends the request, by the configuration below; null if it isn't
    // known. That configuration may be newer than `table`.
    const customer_record* customer = nullptr;
    std::shared_ptr<const routing_table> identity_table;
    // What the request has used of a customer's quota; none if it has used nothing.
    std::optional<quota_charge> charge;
    customer_id charged_customer;

    instant arrived;
    // The time by which the caller must have its final response.
    instant deadline;
    // After this time the request is no longer kept waiting for an endpoint.
    instant wait_deadline;

    exchange_phase phase = exchange_phase::waiting;
    // Failed attempts that an endpoint may have run.
    int possible_runs = 0;
    // Attempts, except those that can't have reached an endpoint.
    int sends = 0;
    // Endpoints that aren't tried again for this request.
    std::set<endpoint_id> failed_endpoints;
    // How often each engine refused the request although it should hold the adapter.
    std::map<endpoint_id, int> adapter_refusals;
    // `failed_endpoints`, and for a suspect the endpoints at which another suspect runs.
    std::set<endpoint_id> excluded_endpoints;
    // The engine that was last asked to load the adapter, and when.
    std::optional<endpoint_id> load_engine;
    instant load_requested_at{};

    // The endpoint whose keeper counts the request before it is sent; empty if none does.
    endpoint_id reserved_endpoint;
    // The question that made the reservation, when it was sent, and the number of
    // questions for the request so far.
    question_number question;
    instant asked_at{};
    int questions = 0;
    // The endpoints that could serve the request if they weren't busy.
    std::vector<endpoint_id> busy_endpoints;

    // The only software version that may run the request: the one that began the stream,
    // or for which a record has been written.
    std::optional<software_version> software;
    // The record of the stream's version is being written; no event is passed on until
    // then.
    bool record_pending = false;
    // The response has ended while the record was being written.
    bool held_end = false;

    // The endpoint of the last attempt; empty if there was none.
    endpoint_id endpoint;
    // The last attempt was a relay to another daemon, which `endpoint` names then.
    bool is_relayed = false;
    // The connection of the last attempt was opened for it.
    bool is_new_connection = false;
    // The connection of the last attempt had served other requests before.
    bool is_kept_connection = false;
    // Daemons to which the request is not relayed again.
    std::set<daemon_id> failed_relays;
    // The software version of that endpoint.
    software_version attempt_software;
    // The permit of the last attempt, if the endpoint had a request limit.
    std::optional<held_permit> permit;
    // The connection to the endpoint; 0 if no attempt is in progress.
    stream_id upstream;
    std::optional<http_reader> reader;
    // What the daemon holds of the response of the present attempt; none if there is no
    // attempt.
    std::optional<counted_bytes> held_response;
    instant sent_at{};
    bool has_response_head = false;
    // True while the prompt is counted in the endpoint's pending prefill tokens.
    bool prefill_pending = false;
    endpoint_response response;
    // True if the response being read belongs to an earlier request or is an interim
    // (1xx) one, and isn't passed on.
    bool discards_response = false;
    // Responses of the current attempt that were not passed on for that reason.
    int discarded_responses = 0;
    // The endpoint's connection isn't read, because the caller reads too slowly.
    bool is_paused = false;
    // Checks that the response begins in time, and later that the stream hasn't stalled.
    timer_id timer;
    timer_id deadline_timer;

    // Fingerprint of the request's content; empty until it is needed.
    std::string fingerprint;
    // True while an attempt runs that was sent as a suspect: the same content was running
    // when an endpoint crashed.
    bool is_suspect = false;
    // True if the request was let through to find out whether a blocked part of its
    // prompt still crashes engines.
    bool is_part_trial = false;
    // The claim on the idempotency key.
    claim_request claim;
    // The store revision of the claim; 0 if the request holds no claim.
    store_revision claim_revision;

    // When the last bytes of a streamed response arrived.
    instant last_chunk_at{};
    // The longest time between two such arrivals.
    milliseconds longest_pause{0};
    // Where the stream of the current attempt stands between two events.
    event_boundary boundary;
    // The incomplete event at the end of a resumable stream. Only complete events are
    // passed on.
    std::string partial_event;
    // The id of the last event that was passed on; empty if there was none.
    std::string last_event_id;
};

// True if the request is waiting for an endpoint.
inline bool is_waiting(const http_exchange& exchange)
{
    return exchange.phase == exchange_phase::waiting ||
           exchange.phase == exchange_phase::resuming;
}

// True if the request's stream may be resumed, by this daemon or by its caller.
inline bool is_resumable(const http_exchange& exchange)
{
    return exchange.matched_route->kind == route_kind::streaming &&
           exchange.matched_route->resumable;
}

// True if the caller has received a part of the stream before.
inline bool is_resumed_by_caller(const http_exchange& exchange)
{
    return is_resumable(exchange) && !exchange.request.last_event_id.empty();
}

// The request that began the stream: this one, or an earlier one of its caller.
inline const request_id& stream_id_of(const http_exchange& exchange)
{
    return exchange.request.stream_begun_by.empty() ? exchange.request.id
                                                    : exchange.request.stream_begun_by;
}

// True if part of a response has been sent to the caller.
inline bool response_has_begun(const http_exchange& exchange)
{
    return exchange.phase == exchange_phase::responding ||
           exchange.phase == exchange_phase::resuming;
}

} // namespace pollenhaven

#endif
