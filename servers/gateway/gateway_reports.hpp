#ifndef POLLENHAVEN_SERVERS_GATEWAY_GATEWAY_REPORTS_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_GATEWAY_REPORTS_HPP

#include "servers/gateway/customers/customer_quotas.hpp"
#include "servers/gateway/gateway_context.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace pollenhaven
{

// What a daemon has in progress.
struct gateway_activity
{
    std::size_t requests = 0;
    std::size_t caller_connections = 0;
    // Bytes of unfinished responses.
    std::size_t held_response_bytes = 0;
    // The customers of the configuration.
    std::vector<customer_usage> customers;
};

// Updates the gauges that are computed only when the metrics are read.
void update_gauges(gateway_context& context, const gateway_activity& activity);

// Returns the named report for operators as JSON: status, endpoints, adapters, members or
// customers. Returns none for any other name.
std::optional<std::string> operator_report(const gateway_context& context,
                                           const std::string& name,
                                           const gateway_activity& activity);

} // namespace pollenhaven

#endif
