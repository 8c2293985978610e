#include "policy/customers/caller_identity.hpp"

#include <algorithm>

namespace pollenhaven
{

namespace
{

constexpr int least_urgent_value = 9;
// The engines' ten levels hold the first three priorities of customers with this many
// levels of routes each; less urgent customers share the last level.
constexpr int route_levels = 3;

} // namespace

caller_identity identify_caller(const routing_table& table, const route& matched_route,
                                const std::optional<std::string>& api_key)
{
    caller_identity identity;
    if (!table.customers)
        return identity;
    if (api_key)
        identity.customer = find_customer(*table.customers, *api_key);
    identity.is_admitted = matched_route.is_public || identity.customer != nullptr;
    return identity;
}

double request_cost(const customer_quota& quota, const caller_request& request)
{
    if (quota.unit == quota_unit::requests)
        return 1;
    if (!request.states_tokens)
        return quota.default_cost;
    return static_cast<double>(request.prompt_tokens) + request.output_tokens;
}

request_rank rank_of(const customer_record* customer, const route& matched_route)
{
    return {customer == nullptr ? 0 : customer->priority, matched_route.priority};
}

int urgency_of(const customer_record* customer, const route& matched_route)
{
    if (customer == nullptr)
        return std::min(matched_route.priority, least_urgent_value);
    const int route_level = std::min(matched_route.priority, route_levels - 1);
    return std::min(std::min(customer->priority, least_urgent_value) * route_levels +
                        route_level,
                    least_urgent_value);
}

} // namespace pollenhaven
