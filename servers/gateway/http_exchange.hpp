#ifndef POLLENHAVEN_SERVERS_GATEWAY_HTTP_EXCHANGE_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_HTTP_EXCHANGE_HPP

#include "core/interfaces/platform_dialect.hpp"
#include "policy/call_claim.hpp"
#include "servers/gateway/event_loop.hpp"
#include "servers/gateway/http_reader.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace pollenhaven
{

// Names one request under way at this daemon; never used twice.
using exchange_id = strong_number<struct exchange_id_tag>;

enum class exchange_phase
{
    // Waits for the claim of its idempotency key.
    claiming,
    // Waits for an endpoint; nothing of it is under way.
    waiting,
    // Sent to an endpoint, of whose answer nothing went to the caller.
    sent,
    // Part of the answer went to the caller.
    answering,
    // The same, and the endpoint is gone; waits for another one to go on.
    resuming
};

// One request from its arrival to its answer.
struct http_exchange
{
    exchange_id id;
    stream_id caller;
    http_head head;
    std::string body;
    caller_request request;
    // Keeps the route alive when a newer configuration comes into force.
    std::shared_ptr<const routing_table> table;
    const route* matched_route = nullptr;
    service_id service;

    instant arrived;
    // The final answer is due.
    instant deadline;
    // Waiting for an endpoint isn't worth while after this moment.
    instant wait_deadline;

    exchange_phase phase = exchange_phase::waiting;
    // Endpoints that may have run it, and all that it was sent to.
    int possible_runs = 0;
    int sends = 0;
    std::set<endpoint_id> failed_endpoints;
    // How often each engine turned it away although it should hold the adapter.
    std::map<endpoint_id, int> adapter_refusals;
    // Those, and others to which it may not go now.
    std::set<endpoint_id> excluded_endpoints;
    // The engine that was asked last to load the adapter, and when.
    std::optional<endpoint_id> load_engine;
    instant load_requested_at{};

    endpoint_id endpoint;
    stream_id upstream;
    std::optional<http_reader> reader;
    instant sent_at{};
    bool has_response_head = false;
    // Its prompt counts among the endpoint's unread ones.
    bool prefill_pending = false;
    endpoint_response response;
    // An answer of another request is being passed over.
    bool discards_response = false;
    timer_id timer;
    timer_id deadline_timer;

    // Fingerprint of the content; empty until it is needed.
    std::string fingerprint;
    // It ran, or may have run, at a crash.
    bool is_suspect = false;
    // The claim of its idempotency key; a revision of 0 is none.
    claim_request claim;
    store_revision claim_revision;

    // When the last piece of the answer came, and the longest pause before one.
    instant last_chunk_at{};
    milliseconds longest_pause{0};
    // Streams that can be resumed go out in whole events only.
    std::string partial_event;
    std::string last_event;
};

// Says whether an endpoint is looked for.
inline bool is_waiting(const http_exchange& item)
{
    return item.phase == exchange_phase::waiting ||
           item.phase == exchange_phase::resuming;
}

// Says whether part of an answer went to the caller.
inline bool response_has_begun(const http_exchange& item)
{
    return item.phase == exchange_phase::answering ||
           item.phase == exchange_phase::resuming;
}

} // namespace pollenhaven

#endif
