#ifndef POLLENHAVEN_SERVERS_GATEWAY_REQUEST_FLOW_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_REQUEST_FLOW_HPP

#include "policy/fleet/endpoint_selection.hpp"
#include "policy/fleet/retry_budget.hpp"
#include "servers/gateway/connection_pool.hpp"
#include "servers/gateway/crash_guard.hpp"
#include "servers/gateway/fleet_messages.hpp"
#include "servers/gateway/gateway_context.hpp"
#include "servers/gateway/http_exchange.hpp"
#include "servers/gateway/http_server.hpp"
#include "servers/gateway/idempotency_claims.hpp"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace pollenhaven
{

// Carries requests from callers to endpoints (request_flow_admission.cpp,
// request_flow.cpp) and answers back (request_flow_answers.cpp, request_flow_ends.cpp).
// Decides nothing itself: where a request goes, how long it waits and whether it is sent
// again is asked of policy.
class request_flow
{
public:
    using load_request_handler = std::function<void(const load_request_message&)>;

    request_flow(gateway_context& context, http_server& callers, connection_pool& pool,
                 crash_guard& guard, idempotency_claims& claims,
                 load_request_handler request_load);

    void handle_request(stream_id caller, const http_head& head, std::string body);
    void on_caller_disconnected(stream_id caller);
    // Tries all waiting requests again, the most urgent first.
    void dispatch_waiting();
    std::size_t requests_in_flight() const { return exchanges_.size(); }
    // Called when something began, was read or ended at an endpoint, once until the
    // endpoints are taken.
    void on_endpoint_load_changed(std::function<void()> call)
    {
        endpoint_load_changed_ = std::move(call);
    }
    // Endpoints at which that happened since the last call.
    std::set<endpoint_id> take_changed_endpoints();
    // Requests begun at each endpoint since the last call, by adapter.
    std::map<endpoint_id, std::map<adapter_id, int>> take_started_requests();

private:
    void admit(http_exchange& item);
    void claim_idempotency_key(http_exchange& item);
    void on_claim(exchange_id id, const claim_decision& decision);
    void release_unused_claim(http_exchange& item, verdict run);
    // Header lines for a caller of our own interface.
    std::string extra_interface_fields(const http_exchange& item) const;
    void try_dispatch(exchange_id id);
    dispatch_query dispatch_query_for(http_exchange& item);
    void request_adapter_load(http_exchange& item, const dispatch_query& question,
                              bool replica);
    int requests_waiting_for(const adapter_id& adapter) const;
    void send_to_endpoint(http_exchange& item, const endpoint_id& endpoint);
    void record_prefill_done(http_exchange& item, endpoint_view& view);
    void record_endpoint_change(const endpoint_id& endpoint);
    void release_endpoint(http_exchange& item);
    void drop_upstream(http_exchange& item);

    void on_upstream_readable(exchange_id id);
    void on_upstream_ended(exchange_id id, stream_end end);
    bool process_response_head(http_exchange& item);
    void relay(http_exchange& item, bool complete);
    void relay_stream(http_exchange& item, bool complete);
    void relay_complete_response(http_exchange& item);
    // Has a stream go on elsewhere if its connection stays silent.
    void schedule_stall_check(http_exchange& item);
    void check_stall(exchange_id id);
    void complete(http_exchange& item, bool reuse);

    void on_endpoint_refused(http_exchange& item);
    void on_attempt_failed(http_exchange& item, const std::string& reason,
                           bool may_have_run);
    void check_response_started(exchange_id id);
    void on_deadline(exchange_id id);
    bool may_retry(const http_exchange& item) const;
    // Looks for another endpoint.
    void wait_for_endpoint(http_exchange& item);
    void refuse(http_exchange& item, const std::string& code, const std::string& message);
    // Refuses a request that surely didn't run, and fails any other.
    void refuse_or_fail(http_exchange& item, const std::string& code,
                        const std::string& message);
    void fail(http_exchange& item, int status, const std::string& code,
              const std::string& message);
    // Ends the request with an error, with and without a log line about it.
    void log_failure_and_end(http_exchange& item, const failure& reason);
    void end_with_error_response(http_exchange& item, const failure& reason);
    void remove_exchange(http_exchange& item);
    void log_refusal(const http_exchange& item, const std::string& code);
    // Counts a request's outcome in the metrics.
    void count_outcome(const http_exchange& item, const std::string& outcome,
                       const std::string& reason);
    void log_event(const http_exchange& item, std::string_view event,
                   std::string_view reason);
    std::uint64_t request_hash(const http_exchange& item) const;

    gateway_context& context_;
    http_server& callers_;
    connection_pool& pool_;
    crash_guard& guard_;
    idempotency_claims& claims_;
    load_request_handler request_load_;
    std::uint64_t next_id_ = 1;
    std::unordered_map<std::uint64_t, http_exchange> exchanges_;
    std::unordered_map<std::uint64_t, exchange_id> by_caller_;
    std::map<service_id, retry_window> attempts_;
    std::map<endpoint_id, std::map<adapter_id, int>> started_requests_;
    std::set<endpoint_id> changed_endpoints_;
    std::function<void()> endpoint_load_changed_ = [] {};
};

} // namespace pollenhaven

#endif
