#ifndef POLLENHAVEN_POLICY_FLEET_ENDPOINT_SELECTION_HPP
#define POLLENHAVEN_POLICY_FLEET_ENDPOINT_SELECTION_HPP

#include "policy/fleet/fleet_view.hpp"

#include <optional>
#include <set>

namespace pollenhaven
{

// The properties of a request that determine which endpoint it is sent to.
struct dispatch_query
{
    service_id service;
    // Empty if the request needs no adapter.
    adapter_id adapter;
    // Empty for requests to plain services.
    base_model_id model;
    int prompt_tokens = 0;
    // The only software version on which the request may run; any if none is given.
    std::optional<software_version> software;
    // Endpoints to which the request must not be sent, because it failed there or for
    // other reasons. Null if there are none.
    const std::set<endpoint_id>* failed = nullptr;
    // A hash of the request; spreads requests over equally good endpoints.
    std::uint64_t request_hash = 0;
};

struct dispatch_decision
{
    // The endpoint to send the request to now; none if the request has to wait.
    std::optional<endpoint_id> endpoint;
    // No endpoint has the adapter or is loading it.
    bool needs_load = false;
    // All endpoints with the adapter are so busy that another one should load it too.
    bool needs_replica = false;
    // Only this endpoint can serve the request now; it has a request limit, and its
    // permit giver must be asked first.
    std::optional<endpoint_id> needs_permit;
    // The endpoints that could serve the request if they weren't busy.
    std::vector<endpoint_id> busy;
    // Set if no endpoint of the service can take a request before this time, because all
    // have request limits and no permits are left, or have asked this daemon to wait.
    std::optional<instant> denied_until;
};

// Selects the endpoint for a request: of those that have the required model or adapter,
// the one with the lowest expected cost. The cost is an estimate of the response time
// from the requests in flight, the pending prefill tokens and the measured time to the
// first byte, plus a penalty for failures, for other availability zones and for request
// limits. An endpoint with a request limit needs a permit; one without permits left
// counts as one that doesn't have the adapter.
dispatch_decision choose_endpoint(const fleet_view& fleet, const dispatch_query& query,
                                  instant now);

// Returns true if the service has an endpoint, other than the failed ones of the query,
// that could take the request later. One that drains or runs another software version
// counts, because endpoints are replaced by others.
bool may_find_endpoint(const fleet_view& fleet, const dispatch_query& query, instant now);

// Selects the engine that should load an adapter. Engines are ranked by rendezvous
// hashing, so that all daemons tend to agree without communicating. The rank is weighed
// against queued loads, requests in flight and recent failures; an engine that had the
// adapter loaded before is preferred. Only engines are considered that have a holder
// which reaches endpoints and the base model, lack the adapter and accept requests; none
// if there are no such engines.
std::optional<endpoint_id>
choose_engine_for_load(const fleet_view& fleet, const dispatch_query& query, instant now);

// Returns the benefit of loading the adapter on one more engine, as an equivalent number
// of waiting requests: a fraction of the adapter's requests in flight at the engine that
// has most of them. At least 1.
int replica_benefit(const fleet_view& fleet, const adapter_id& adapter, instant now);

// Returns the expected time until an engine completes a load that is requested now,
// given the loads queued before it.
milliseconds expected_load_time(const fleet_view& fleet, const endpoint_id& engine);

} // namespace pollenhaven

#endif
