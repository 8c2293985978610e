#ifndef POLLENHAVEN_SERVERS_GATEWAY_BRITTLE_ENDPOINTS_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_BRITTLE_ENDPOINTS_HPP

#include "servers/gateway/fleet_messages.hpp"
#include "servers/gateway/gateway_context.hpp"

#include <functional>

namespace pollenhaven
{

// Keeps the requests that brittle endpoints reject below the number that they bear
// (policy/fleet/brittle_endpoint.hpp), and tells the peers of each rejection.
class brittle_endpoints
{
public:
    using broadcast_function = std::function<void(const fleet_message&)>;

    brittle_endpoints(gateway_context& context, broadcast_function broadcast);

    // Evaluates a response of the endpoint to a request that was sent at the time `sent`.
    void on_response(endpoint_view& endpoint, const endpoint_response& response,
                     instant sent);
    // Records that the endpoint rejected a request for want of room; no effect if it
    // isn't brittle.
    void on_rejected(endpoint_view& endpoint);
    void on_message(const endpoint_room_message& message);

private:
    gateway_context& context_;
    broadcast_function broadcast_;
};

} // namespace pollenhaven

#endif
