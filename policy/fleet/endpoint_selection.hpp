#ifndef POLLENHAVEN_POLICY_FLEET_ENDPOINT_SELECTION_HPP
#define POLLENHAVEN_POLICY_FLEET_ENDPOINT_SELECTION_HPP

#include "policy/fleet/fleet_view.hpp"

#include <optional>
#include <set>

namespace pollenhaven
{

// A request that looks for an endpoint.
struct dispatch_query
{
    service_id service;
    // Empty if any endpoint of the service can run the request.
    adapter_id adapter;
    base_model_id model;
    int prompt_tokens = 0;
    // Endpoints that failed this request already.
    const std::set<endpoint_id>* failed = nullptr;
    // Spreads equal choices of different requests.
    std::uint64_t request_hash = 0;
};

struct dispatch_decision
{
    // The endpoint to send the request to now.
    std::optional<endpoint_id> endpoint;
    // No endpoint holds the adapter or is about to.
    bool needs_load = false;
    // The adapter's endpoints are so busy that another one should load it too.
    bool needs_replica = false;
};

// Chooses where a request goes: an endpoint that holds what it needs and is expected to
// answer soonest, by requests under way, measured time to the first byte, failures seen
// and availability zone.
dispatch_decision choose_endpoint(const fleet_view& fleet, const dispatch_query& question,
                                  instant now);

// Chooses the engine that should load an adapter: one that held it before, else by
// rendezvous hashing, so that all daemons agree without talking; engines with many loads
// before this one come later. None if no engine takes orders.
std::optional<endpoint_id> choose_engine_for_load(const fleet_view& fleet,
                                                  const dispatch_query& question,
                                                  instant now);

// What a further engine with the adapter is worth, in waiting requests: a part of those
// under way at the engine that has most of them, each of which it would relieve.
int replica_benefit(const fleet_view& fleet, const adapter_id& adapter, instant now);

// The time until an engine that was asked for a load now has carried it out, by the loads
// that were asked of it before.
milliseconds expected_load_time(const fleet_view& fleet, const endpoint_id& engine);

} // namespace pollenhaven

#endif
