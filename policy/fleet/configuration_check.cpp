#include "policy/fleet/configuration_check.hpp"

#include <set>

namespace pollenhaven
{

namespace
{

void check_services(const routing_table& table, const route& checked,
                    std::vector<std::string>& faults)
{
    double total = 0;
    for (const weighted_service& part : checked.services)
    {
        total += part.weight;
        if (part.weight < 0)
            faults.push_back("route '" + checked.name + "' gives service '" +
                             part.service.value + "' a negative weight");
        if (!table.services.contains(part.service))
            faults.push_back("route '" + checked.name + "' names the unknown service '" +
                             part.service.value + "'");
    }
    if (total <= 0)
        faults.push_back("route '" + checked.name + "' has no service with a weight");
}

void check_terms(const route& checked, std::vector<std::string>& faults)
{
    if (checked.timeout.count() <= 0)
        faults.push_back("route '" + checked.name + "' has no time for an answer");
    if (checked.target_latency > checked.timeout)
        faults.push_back("route '" + checked.name +
                         "' has a target latency beyond its timeout");
    if (checked.max_attempts < 1)
        faults.push_back("route '" + checked.name + "' allows no attempt");
    if (checked.kind == route_kind::non_idempotent && checked.max_attempts > 1)
        faults.push_back("route '" + checked.name +
                         "' isn't idempotent and allows more than one attempt");
}

} // namespace

std::vector<std::string> configuration_errors(const routing_table& table)
{
    std::vector<std::string> faults;
    std::set<std::pair<std::string, std::string>> places;
    for (const route& checked : table.routes)
    {
        if (!places.insert({checked.host, checked.path_prefix}).second)
            faults.push_back("route '" + checked.name + "' has the host and path of " +
                             "another one, " + checked.host + checked.path_prefix);
        check_services(table, checked, faults);
        check_terms(checked, faults);
    }
    return faults;
}

} // namespace pollenhaven
