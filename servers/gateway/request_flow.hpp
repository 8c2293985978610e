#ifndef POLLENHAVEN_SERVERS_GATEWAY_REQUEST_FLOW_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_REQUEST_FLOW_HPP

#include "policy/fleet/endpoint_selection.hpp"
#include "policy/fleet/retry_budget.hpp"
#include "servers/gateway/brittle_endpoints.hpp"
#include "servers/gateway/connection_pool.hpp"
#include "servers/gateway/crash_guard.hpp"
#include "servers/gateway/customers/customer_quotas.hpp"
#include "servers/gateway/fleet_messages.hpp"
#include "servers/gateway/gateway_context.hpp"
#include "servers/gateway/http_exchange.hpp"
#include "servers/gateway/http_server.hpp"
#include "servers/gateway/idempotency_claims.hpp"
#include "servers/gateway/link_monitor.hpp"
#include "servers/gateway/loads/endpoint_load_reports.hpp"
#include "servers/gateway/request_permits.hpp"
#include "servers/gateway/streams/stream_records.hpp"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace pollenhaven
{

// An attempt fails if no byte of it could be sent within this time.
constexpr milliseconds connect_timeout{250};

// Forwards requests from callers to endpoints (request_flow_admission.cpp,
// request_flow.cpp) and the responses back (request_flow_responses.cpp,
// request_flow_streams.cpp, request_flow_completion.cpp). The rules are in policy/: which
// endpoint a request is sent to, how long it may wait, and how many retries the budget
// allows.
class request_flow
{
public:
    using load_request_handler = std::function<void(const load_request_message&)>;

    request_flow(gateway_context& context, http_server& callers, connection_pool& pool,
                 crash_guard& guard, idempotency_claims& claims, request_permits& permits,
                 stream_records& records, brittle_endpoints& brittle, link_monitor& links,
                 endpoint_load_reports& loads, customer_quotas& quotas,
                 load_request_handler request_load);

    // Handles a request up to its response, which is sent on the caller's stream. While
    // this daemon is cut off from the endpoints, it relays the requests of its callers to
    // its peers (request_flow_relay.cpp).
    void handle_request(stream_id caller, const http_head& head, std::string body);
    // Ends the caller's request, if one is in progress. Its connection to an endpoint is
    // reset.
    void on_caller_disconnected(stream_id caller);
    // Looks for an endpoint for each waiting request, the most urgent first.
    void dispatch_waiting();
    // Does so for the requests that wait for one of these adapters.
    void dispatch_waiting_for(const std::set<adapter_id>& adapters);
    // Ends the requests that are with no endpoint, since the process is about to exit.
    // Streams that have begun and attempts in progress go on.
    void refuse_waiting();
    // Reacts to a change of the links to the endpoints: dispatches what waits, and ends
    // the attempts of a daemon that is cut off for which it can try something else.
    void on_links_changed();
    // Returns true if a request waits for bytes of an endpoint.
    bool waits_for_endpoints() const;
    std::size_t requests_in_flight() const { return exchanges_.size(); }
    // The bytes of responses that endpoints and peers have sent and that callers haven't
    // been passed yet, over all requests.
    std::size_t held_response_bytes() const { return held_response_bytes_; }
    // Dispatches the waiting requests that the endpoint may serve. Must be called when
    // more is known of the load there.
    void dispatch_waiting_at(const endpoint_id& endpoint);

private:
    // Matches the request to a route, sets its time limits and starts its dispatch.
    void admit(http_exchange& exchange);
    // Identifies the caller by the configuration in force. Returns false if the request
    // ended, because its API key isn't known.
    bool identify(http_exchange& exchange);
    // The same again if the configuration has changed since, for a request that hasn't
    // been sent.
    bool identify_again(http_exchange& exchange);
    // Charges the request to its customer's quota, if it has one.
    void charge_quota(http_exchange& exchange);
    void on_charged(exchange_id id, const customer_id& customer,
                    const charge_decision& decision);
    // Gives back the charge of a request that ends without having run.
    void give_back_charge(http_exchange& exchange);
    // Handles a request that may be sent: claims its idempotency key, or looks for an
    // endpoint.
    void begin(http_exchange& exchange);
    // Finds the software version that began the stream which the caller resumes.
    void locate_stream_version(http_exchange& exchange);
    void on_stream_located(exchange_id id, const stream_origin& origin);
    // Has the version of a new stream recorded, if it needs a record.
    void record_stream_version(http_exchange& exchange, const endpoint_record& endpoint);
    void on_stream_recorded(exchange_id id, bool is_recorded);
    late_record_action action_for_late_record(const http_exchange& exchange) const;
    // Ends the attempt and sends the request to an endpoint of the base version.
    void begin_at_base_version(http_exchange& exchange);
    // Gives the request the time for another attempt. Another engine may have to load the
    // adapter first.
    void extend_wait(http_exchange& exchange) const;
    // Keeps to the version of the present attempt, whose response begins the stream.
    void remember_stream_version(http_exchange& exchange);
    void claim_idempotency_key(http_exchange& exchange);
    void on_claim(exchange_id id, const claim_decision& decision);
    // Releases the claim of a request that certainly didn't run, or abandons it while it
    // is pending. The claim of a request that may have run is kept.
    void release_unused_claim(http_exchange& exchange, verdict execution);
    // Header lines that the extra caller interface adds to a response; empty for requests
    // of the platform's interface.
    std::string extra_interface_fields(const http_exchange& exchange) const;
    // Sends a waiting request to an endpoint if one can run it now. Requests a load of
    // its adapter if one is needed, and ends the request if it can't be run in time.
    void try_dispatch(exchange_id id);
    // Dispatches the waiting requests that `is_selected` selects, the most urgent first.
    void dispatch_selected(const std::function<bool(const http_exchange&)>& is_selected);
    dispatch_query dispatch_query_for(http_exchange& exchange);
    // True while the keeper's answer to the request's question may still arrive.
    bool awaits_answer(const http_exchange& exchange) const;
    // True if the endpoint's keeper must be asked before the request is sent there.
    bool needs_question(const http_exchange& exchange, const endpoint_id& endpoint) const;
    // Reserves a place at the endpoint and asks its keeper for the load of the others.
    void ask_keeper(http_exchange& exchange, const endpoint_id& endpoint);
    // Ends the request's reservation. The keeper must be informed unless the request is
    // sent to the endpoint or reserves it again.
    void release_reservation(http_exchange& exchange);
    // Ends the request's reservation and informs the keeper.
    void withdraw_reservation(http_exchange& exchange);
    // Asks an engine's holder to load the request's adapter. `replica` is true if other
    // engines hold it already and this load only offloads them.
    void request_adapter_load(http_exchange& exchange, const dispatch_query& query,
                              bool replica);
    int requests_waiting_for(const adapter_id& adapter) const;
    // `is_counted` is true if the endpoint's keeper counts the request already.
    void send_to_endpoint(http_exchange& exchange, const endpoint_id& endpoint,
                          bool is_counted);
    // Resets what belongs to one attempt, before the next one is sent to `endpoint`.
    void begin_attempt(http_exchange& exchange, const endpoint_id& endpoint);
    // The handlers of the connection of an attempt.
    stream_handlers upstream_handlers(exchange_id id);
    // Relays a waiting request to a peer if this daemon is cut off from the endpoints and
    // a peer isn't. Returns false if it doesn't.
    bool relay_to_peer(http_exchange& exchange);
    void send_to_peer(http_exchange& exchange, const member_view& peer);
    // Ends an attempt at a peer that failed.
    void on_relay_failed(http_exchange& exchange, const std::string& reason,
                         bool may_have_run);
    // Evaluates the head of the response of a peer. Returns false if the attempt ended.
    bool accept_peer_response(http_exchange& exchange);
    // Relays the request to one more peer if the first one has refused it. Returns false
    // if it doesn't.
    bool try_another_peer(http_exchange& exchange);
    // Keeps or releases the request's claim according to the error response of a peer.
    void settle_relayed_claim(http_exchange& exchange);
    // Updates the state of the links from an attempt on a new connection.
    void record_connection_made(http_exchange& exchange);
    // Removes the request's prompt from the endpoint's pending prefill tokens.
    void record_prefill_done(http_exchange& exchange, endpoint_view& view);
    // Removes the attempt from the endpoint's load and from the running suspects.
    void release_endpoint(http_exchange& exchange);
    // Ends the attempt and resets its connection.
    void drop_upstream(http_exchange& exchange);

    void on_upstream_readable(exchange_id id);
    void read_upstream(http_exchange& exchange);
    void count_held_response(http_exchange& exchange);
    // Ends the attempts with the largest unfinished responses while all responses
    // together take more memory than they may.
    void limit_held_responses();
    void on_upstream_ended(exchange_id id, stream_end end);
    // Evaluates the head of an endpoint's response. Returns false if the attempt ended.
    bool process_response_head(http_exchange& exchange);
    // Evaluates the head of the response of an endpoint to this request. Returns false if
    // the attempt ended.
    bool accept_endpoint_response(http_exchange& exchange);
    // Records what a response that isn't a refusal tells about its endpoint.
    void record_response(http_exchange& exchange, endpoint_view& endpoint);
    // Sends no more requests to an endpoint whose response states that it shuts down.
    void record_leaving(endpoint_view& endpoint);
    // Passes the response on to the caller: streams as their bytes arrive, any other
    // response once it is complete.
    void relay(http_exchange& exchange, bool is_complete);
    void relay_stream(http_exchange& exchange, bool is_complete);
    // Sends the head of a streamed response, in the framing that the endpoint uses.
    void begin_stream(http_exchange& exchange);
    void relay_complete_response(http_exchange& exchange);
    // Reads no more of a stream while its caller has not read what was sent before.
    void pause_if_caller_is_slow(http_exchange& exchange);
    void resume_if_caller_caught_up(exchange_id id);
    // Schedules check_stall() for a resumable stream, if it isn't scheduled yet.
    void schedule_stall_check(http_exchange& exchange);
    // Fails the attempt if the stream has stalled, so that another endpoint resumes it.
    void check_stall(exchange_id id);
    // Ends a request whose response is complete. `reuse` allows its connection to be
    // returned to the pool.
    void complete(http_exchange& exchange, bool reuse);

    // Learns from the endpoint's response how long the load of the adapter took.
    void observe_adapter_load(const http_exchange& exchange,
                              const resident_adapter& resident, bool complete);
    // Handles a response that states that the endpoint didn't run the request.
    void on_endpoint_refused(http_exchange& exchange);
    // Ends a failed attempt, and retries the request where that is allowed.
    // `may_have_run` is false if no byte of it was sent.
    void on_attempt_failed(http_exchange& exchange, const std::string& reason,
                           bool may_have_run);
    // Fails the attempt if it has no connection yet, or if its response hasn't begun by
    // the time at which the request may be retried at another endpoint.
    void check_response_started(exchange_id id);
    void on_deadline(exchange_id id);
    // True if the route, the attempts so far and the deadline allow a retry of a request
    // that may have run.
    bool may_retry(const http_exchange& exchange) const;
    // True if the request may be retried, and another endpoint or a peer can take it now
    // or once its adapter is loaded. An attempt that is only silent isn't given up
    // otherwise.
    bool can_go_elsewhere(http_exchange& exchange);
    // Looks for another endpoint after an attempt that failed or was refused.
    void wait_for_endpoint(http_exchange& exchange);
    // Ends a request that certainly didn't run. The error response tells the caller when
    // to retry, not before `retry_at`.
    void refuse(http_exchange& exchange, const std::string& code,
                const std::string& message, instant retry_at = {});
    // Refuses a request that certainly didn't run, and fails any other.
    void refuse_or_fail(http_exchange& exchange, const std::string& code,
                        const std::string& message, instant retry_at = {});
    // Ends a request that finds no endpoint at present. A stream that has begun can't be
    // refused any more, so it waits on as long as its caller does.
    void end_wait(http_exchange& exchange, const std::string& code,
                  const std::string& message, instant retry_at = {});
    // Ends a request with an error. The verdict follows from its attempts so far.
    void fail(http_exchange& exchange, int status, const std::string& code,
              const std::string& message);
    // Logs and counts the failure, and ends the request with it.
    void log_failure_and_end(http_exchange& exchange, const failure& reason);
    // Sends the error, or aborts a response that has begun, and removes the request.
    void end_with_error_response(http_exchange& exchange, const failure& reason);
    void remove_exchange(http_exchange& exchange);
    void log_resumption_by_caller(const http_exchange& exchange);
    void log_refusal(const http_exchange& exchange, const std::string& code);
    // Logs how a stream ended, unless its length was stated and its last event is
    // complete.
    void log_stream_end(const http_exchange& exchange);
    // Counts the request's outcome and its duration in the metrics.
    void count_outcome(const http_exchange& exchange, const std::string& outcome,
                       const std::string& reason);
    void log_event(const http_exchange& exchange, std::string_view event,
                   std::string_view reason);
    // A hash of the stream's id, the same at all daemons and when the stream is resumed.
    std::uint64_t stream_hash(const http_exchange& exchange) const;
    // A hash of the request's id and this daemon's id, which spreads choices between
    // equal alternatives.
    std::uint64_t request_hash(const http_exchange& exchange) const;

    gateway_context& context_;
    http_server& callers_;
    connection_pool& pool_;
    crash_guard& guard_;
    idempotency_claims& claims_;
    request_permits& permits_;
    stream_records& records_;
    brittle_endpoints& brittle_;
    link_monitor& links_;
    endpoint_load_reports& loads_;
    customer_quotas& quotas_;
    load_request_handler request_load_;
    std::uint64_t next_id_ = 1;
    std::size_t held_response_bytes_ = 0;
    std::unordered_map<std::uint64_t, http_exchange> exchanges_;
    std::unordered_map<std::uint64_t, exchange_id> by_caller_;
    std::map<service_id, retry_window> attempts_;
};

} // namespace pollenhaven

#endif
