#include "policy/fleet/configuration_check.hpp"

#include <set>

namespace pollenhaven
{

namespace
{

void check_services(const routing_table& table, const route& checked_route,
                    std::vector<std::string>& errors)
{
    double total = 0;
    for (const weighted_service& weighted : checked_route.services)
    {
        total += weighted.weight;
        if (weighted.weight < 0)
            errors.push_back("route '" + checked_route.name + "' gives service '" +
                             weighted.service.value + "' a negative weight");
        if (!table.services.contains(weighted.service))
            errors.push_back("route '" + checked_route.name +
                             "' names the unknown service '" + weighted.service.value +
                             "'");
    }
    if (total <= 0)
        errors.push_back("route '" + checked_route.name +
                         "' has no service with a weight above 0");
}

void check_limits(const route& checked_route, std::vector<std::string>& errors)
{
    if (checked_route.timeout.count() <= 0)
        errors.push_back("route '" + checked_route.name + "' has no timeout above 0 ms");
    if (checked_route.target_latency > checked_route.timeout)
        errors.push_back("route '" + checked_route.name +
                         "' has a target latency beyond its timeout");
    if (checked_route.max_attempts < 1)
        errors.push_back("route '" + checked_route.name + "' allows no attempt");
    if (checked_route.kind == route_kind::non_idempotent &&
        checked_route.max_attempts > 1)
        errors.push_back("route '" + checked_route.name +
                         "' isn't idempotent and allows more than one attempt");
}

} // namespace

std::vector<std::string> configuration_errors(const routing_table& table)
{
    std::vector<std::string> errors;
    std::set<std::pair<std::string, std::string>> used_paths;
    for (const route& checked_route : table.routes)
    {
        if (!used_paths.insert({checked_route.host, checked_route.path_prefix}).second)
            errors.push_back("route '" + checked_route.name +
                             "' has the host and path of " + "another route, " +
                             checked_route.host + checked_route.path_prefix);
        check_services(table, checked_route, errors);
        check_limits(checked_route, errors);
    }
    return errors;
}

} // namespace pollenhaven
