#ifndef POLLENHAVEN_SERVERS_GATEWAY_REQUEST_TARGET_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_REQUEST_TARGET_HPP

#include "servers/gateway/gateway_context.hpp"
#include "servers/gateway/http_server.hpp"

#include <map>

namespace pollenhaven
{

// Who responds to a request.
enum class request_target
{
    // A route of the configuration decides, or the request has none.
    route,
    // The daemon itself.
    readiness,
    directory,
    // The directory of the additional interface for callers.
    extra_directory,
    // The address doesn't serve the request.
    nothing
};

// Returns what each address of the settings serves.
std::map<network_address, address_roles>
roles_by_address(const gateway_settings& settings);

// Returns who responds to a request at an address with these roles. The daemon's own
// calls are served only at the addresses that have them as a role: elsewhere their paths
// may belong to a customer's route. Where callers share an address with them, a route of
// the host and path goes before the daemon's calls.
request_target target_of_request(const gateway_context& context, const http_head& head,
                                 const address_roles& roles);

} // namespace pollenhaven

#endif
