#ifndef POLLENHAVEN_SERVERS_GATEWAY_REQUEST_FLOW_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_REQUEST_FLOW_HPP

#include "policy/fleet/endpoint_selection.hpp"
#include "policy/fleet/retry_budget.hpp"
#include "servers/gateway/call_claims.hpp"
#include "servers/gateway/caller_port.hpp"
#include "servers/gateway/crash_guard.hpp"
#include "servers/gateway/endpoint_pool.hpp"
#include "servers/gateway/exchange.hpp"
#include "servers/gateway/fleet_messages.hpp"
#include "servers/gateway/gateway_context.hpp"

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
    using load_function = std::function<void(const load_request_message&)>;

    request_flow(gateway_context& context, caller_port& callers, endpoint_pool& pool,
                 crash_guard& guard, call_claims& claims, load_function request_load);

    void begin(stream_id caller, const http_head& head, std::string body);
    void caller_gone(stream_id caller);
    // Tries all waiting requests again, the most urgent first.
    void dispatch_waiting();
    std::size_t under_way() const { return exchanges_.size(); }
    // Called when something began, was read or ended at an endpoint, once until the
    // endpoints are taken.
    void on_use_changed(std::function<void()> call) { use_changed_ = std::move(call); }
    // Endpoints at which that happened since the last call.
    std::set<endpoint_id> take_changed();
    // Requests begun at each endpoint since the last call, by adapter.
    std::map<endpoint_id, std::map<adapter_id, int>> take_begun();

private:
    void admit(exchange& item);
    void claim_key_of(exchange& item);
    void on_claim(exchange_id id, const claim_decision& decision);
    void settle_claim(exchange& item, verdict run);
    // Header lines for a caller of our own interface.
    std::string own_answer_fields(const exchange& item) const;
    void try_dispatch(exchange_id id);
    dispatch_query question_of(exchange& item);
    void ask_for_load(exchange& item, const dispatch_query& question, bool replica);
    int requests_waiting_for(const adapter_id& adapter) const;
    void send_to(exchange& item, const endpoint_id& endpoint);
    void note_read(exchange& item, endpoint_view& view);
    void note_changed(const endpoint_id& endpoint);
    void release_endpoint(exchange& item);
    void drop_upstream(exchange& item);

    void on_upstream_readable(exchange_id id);
    void on_upstream_ended(exchange_id id, stream_end end);
    bool accept_head(exchange& item);
    void relay(exchange& item, bool complete);
    void relay_stream(exchange& item, bool complete);
    void relay_whole(exchange& item);
    // Has a stream go on elsewhere if its connection stays silent.
    void watch_for_silence(exchange& item);
    void on_silence(exchange_id id);
    void complete(exchange& item, bool reuse);

    void on_refused(exchange& item);
    void on_failed(exchange& item, const std::string& reason, bool may_have_run);
    void on_slow_start(exchange_id id);
    void on_due(exchange_id id);
    bool may_repeat(const exchange& item) const;
    // Looks for another endpoint.
    void wait_again(exchange& item);
    void refuse(exchange& item, const std::string& code, const std::string& message);
    // Refuses a request that surely didn't run, and fails any other.
    void give_up(exchange& item, const std::string& code, const std::string& message);
    void fail(exchange& item, int status, const std::string& code,
              const std::string& message);
    // Ends the request with an error, with and without a log line about it.
    void end_with_failure(exchange& item, const failure& reason);
    void end_with_error(exchange& item, const failure& reason);
    void finish(exchange& item);
    void log_refusal(const exchange& item, const std::string& code);
    // Counts a request's outcome in the metrics.
    void count(const exchange& item, const std::string& outcome,
               const std::string& reason);
    void log(const exchange& item, std::string_view event, std::string_view reason);
    std::uint64_t draw_of(const exchange& item) const;

    gateway_context& context_;
    caller_port& callers_;
    endpoint_pool& pool_;
    crash_guard& guard_;
    call_claims& claims_;
    load_function request_load_;
    std::uint64_t next_id_ = 1;
    std::unordered_map<std::uint64_t, exchange> exchanges_;
    std::unordered_map<std::uint64_t, exchange_id> by_caller_;
    std::map<service_id, retry_window> attempts_;
    std::map<endpoint_id, std::map<adapter_id, int>> begun_;
    std::set<endpoint_id> changed_;
    std::function<void()> use_changed_ = [] {};
};

} // namespace pollenhaven

#endif
