#ifndef POLLENHAVEN_SERVERS_ENDPOINT_CALLER_HPP
#define POLLENHAVEN_SERVERS_ENDPOINT_CALLER_HPP

#include "core/interfaces/engine_client.hpp"
#include "core/interfaces/service_client.hpp"
#include "servers/claim_duty.hpp"
#include "servers/daemon_context.hpp"
#include "servers/peer_messages.hpp"

#include <atomic>
#include <functional>

namespace pollenhaven
{

// Receives a request's events. Returns false if the receiver is gone.
using event_sink = std::function<bool(const execute_event&)>;

// The final event of a request that failed.
execute_event final_event(const failure& reason);

// A failure of which it is certain that nothing was run.
failure not_run_failure(const std::string& code, const std::string& message);

// Runs one request at one endpoint. Ownership is checked as the last step before the
// request reaches the endpoint's socket. The calls block and may be made from any thread.
class endpoint_caller
{
public:
    endpoint_caller(daemon_context& context, claim_duty& claims);

    // Passes each token on until the generation ends or cancelled is set. The engine is
    // told to stop unless a later reader has taken the generation over.
    execute_event generate(const engine_client& engine, const endpoint_id& endpoint,
                           ownership_epoch epoch, const execute_request& request,
                           const event_sink& sink, const std::atomic<bool>& cancelled,
                           const std::atomic<bool>& superseded);
    // Carries a call out, under a claim of its key if it is not idempotent.
    execute_event call_service(const service_client& service, const endpoint_id& endpoint,
                               ownership_epoch epoch, const execute_request& request);

private:
    daemon_context& context_;
    claim_duty& claims_;
};

} // namespace pollenhaven

#endif
