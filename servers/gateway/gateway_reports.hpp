#ifndef POLLENHAVEN_SERVERS_GATEWAY_GATEWAY_REPORTS_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_GATEWAY_REPORTS_HPP

#include "servers/gateway/gateway_context.hpp"

#include <cstddef>
#include <optional>
#include <string>

namespace pollenhaven
{

// What a daemon has under way.
struct gateway_activity
{
    std::size_t requests = 0;
    std::size_t caller_connections = 0;
};

// Sets the figures that are only known when they are asked for.
void update_gauges(gateway_context& context, const gateway_activity& load);

// A report for operators as JSON: status, endpoints, adapters or members. None for
// another name.
std::optional<std::string> operator_report(const gateway_context& context,
                                           const std::string& name,
                                           const gateway_activity& load);

} // namespace pollenhaven

#endif
