#ifndef POLLENHAVEN_SERVERS_GATEWAY_REQUEST_PERMITS_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_REQUEST_PERMITS_HPP

#include "servers/gateway/fleet_messages.hpp"
#include "servers/gateway/gateway_context.hpp"

#include <functional>
#include <map>
#include <optional>

namespace pollenhaven
{

// Keeps the requests of all daemons to the limits that endpoints state. One daemon gives
// the permits for each endpoint with a limit (policy/fleet/request_limit.hpp); this class
// asks it for them, and gives them for the endpoints that fall to this daemon.
class request_permits
{
public:
    using send_function = std::function<void(const daemon_id&, const fleet_message&)>;
    using broadcast_function = std::function<void(const fleet_message&)>;

    request_permits(gateway_context& context, send_function send,
                    broadcast_function broadcast);

    // Sets the function that is called when waiting requests may be able to be sent: a
    // permit has arrived or a limit has ended. It isn't called during request().
    void on_available(std::function<void()> call) { available_ = std::move(call); }

    // Asks for a permit for one request to the endpoint, unless that is pending.
    void request(const endpoint_id& endpoint);
    // Evaluates the limit that an endpoint's response states, or that it states none.
    // `permit` is that of the request, which was sent at the time `sent`.
    void on_response(const endpoint_id& endpoint, const endpoint_response& response,
                     instant sent, const std::optional<held_permit>& permit);

    void on_limit(const endpoint_limit_message& message);
    void on_request(const permit_request_message& message);
    void on_permit(const permit_message& message);
    // Learns the limits of the endpoints for which the sender gives permits, and counts
    // the requests that it reports.
    void on_heartbeat(const heartbeat_message& message);
    // Counts the requests that a daemon, or this one, has reported.
    void record_started(const daemon_id& sender, const endpoint_id& endpoint,
                        const endpoint_load& load);
    // The limits of the endpoints for which this daemon gives permits.
    std::map<endpoint_id, request_rate> limits_to_report() const;

private:
    // The view of an endpoint at its current start; null if this daemon knows another
    // start of it, or none.
    endpoint_view* find_endpoint(const endpoint_id& endpoint, std::uint64_t started_ms);
    bool is_giver(const endpoint_id& endpoint) const;
    permit_message answer(const permit_request_message& message);
    void tell_limit(const endpoint_view& view);
    void end_limit(endpoint_view& view, const std::string& source);
    void log_limit(const endpoint_view& view, const std::string& source);
    void schedule_dispatch();

    gateway_context& context_;
    send_function send_;
    broadcast_function broadcast_;
    std::function<void()> available_ = [] {};
    bool dispatch_scheduled_ = false;
    std::map<endpoint_id, permit_ledger> ledgers_;
};

} // namespace pollenhaven

#endif
