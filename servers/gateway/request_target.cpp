#include "servers/gateway/request_target.hpp"

#include "core/interfaces/caller_interface.hpp"

namespace pollenhaven
{

namespace
{

bool has_route(const gateway_context& context, const http_head& head)
{
    try
    {
        return context.routing != nullptr &&
               match_route(*context.routing, context.dialect.read_request(head).host,
                           path_of(head.target)) != nullptr;
    }
    catch (const dialect_error&)
    {
        // The request is refused, with the reason, as one on a route.
        return true;
    }
}

// Returns which of the daemon's own calls the request is, if the address serves it.
std::optional<request_target> own_call(const gateway_context& context,
                                       const http_head& head, const address_roles& roles)
{
    const request_type type = context.dialect.classify(head);
    if (type == request_type::readiness && roles.readiness)
        return request_target::readiness;
    if (type == request_type::directory && roles.directory)
        return request_target::directory;
    const bool serves_extra_interface = roles.callers || roles.directory;
    if (context.extra_caller_interface && serves_extra_interface &&
        context.extra_caller_interface->classify(head) == request_type::directory)
        return request_target::extra_directory;
    return std::nullopt;
}

} // namespace

std::map<network_address, address_roles>
roles_by_address(const gateway_settings& settings)
{
    std::map<network_address, address_roles> roles;
    roles[settings.caller_address].callers = true;
    roles[settings.readiness_address].readiness = true;
    roles[settings.directory_address].directory = true;
    roles[settings.peer_address].peers = true;
    return roles;
}

request_target target_of_request(const gateway_context& context, const http_head& head,
                                 const address_roles& roles)
{
    const std::optional<request_target> own = own_call(context, head, roles);
    if (!roles.callers && !roles.peers)
        return own.value_or(request_target::nothing);
    if (!own || has_route(context, head))
        return request_target::route;
    return *own;
}

} // namespace pollenhaven
