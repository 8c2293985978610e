#ifndef POLLENHAVEN_POLICY_CUSTOMERS_CALLER_IDENTITY_HPP
#define POLLENHAVEN_POLICY_CUSTOMERS_CALLER_IDENTITY_HPP

#include "core/interfaces/platform_dialect.hpp"
#include "core/records/routing.hpp"

#include <optional>
#include <string>

namespace pollenhaven
{

// Who sends a request, by one configuration.
struct caller_identity
{
    // False if the route needs a key and the caller has none that the configuration
    // knows.
    bool is_admitted = true;
    // Null if the caller isn't known. Owned by the configuration.
    const customer_record* customer = nullptr;
};

// Identifies the caller of a request by its API key; none if it has no usable one.
caller_identity identify_caller(const routing_table& table, const route& matched_route,
                                const std::optional<std::string>& api_key);

// Returns what the request costs its customer, in the unit of the quota.
double request_cost(const customer_quota& quota, const caller_request& request);

// The rank of a request among others. A lower value is more urgent.
struct request_rank
{
    int customer_priority = 0;
    int route_priority = 0;

    auto operator<=>(const request_rank&) const = default;
};

request_rank rank_of(const customer_record* customer, const route& matched_route);

// Returns the urgency that engines get for a request, from 0, the most urgent, to 9. It
// is the route's priority if the customer isn't known.
int urgency_of(const customer_record* customer, const route& matched_route);

} // namespace pollenhaven

#endif
