#ifndef POLLENHAVEN_CORE_RECORDS_ROUTING_HPP
#define POLLENHAVEN_CORE_RECORDS_ROUTING_HPP

#include "core/boot_clock.hpp"
#include "core/ids.hpp"
#include "core/records/customers.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenhaven
{

// Version number of the operators' configuration; a larger one is newer.
using configuration_version = strong_number<struct configuration_version_tag>;
// Identifies the base model of an engine.
using base_model_id = strong_string<struct base_model_id_tag>;

// Whether the requests of a route may be retried, and how the response arrives.
enum class route_kind
{
    idempotent,
    non_idempotent,
    // A stream of events; retried only if the route allows streams to be resumed.
    streaming
};

// A service of a route. Its share of the route's requests is its weight divided by the
// sum of the weights.
struct weighted_service
{
    service_id service;
    double weight = 1;
};

// Matches the requests to one host whose path begins with the prefix.
struct route
{
    std::string name;
    std::string host;
    std::string path_prefix;
    route_kind kind = route_kind::non_idempotent;
    std::vector<weighted_service> services;
    // The maximum time until a caller gets the whole response or an error.
    milliseconds timeout{0};
    // The target for the time to the first byte of the response.
    milliseconds target_latency{0};
    // The maximum number of endpoints on which one request may run.
    int max_attempts = 1;
    // 0 is the most urgent. Engines distinguish values up to 9.
    int priority = 0;
    // Streams may be resumed on another endpoint.
    bool resumable = false;
    // Requests need no API key.
    bool is_public = false;
};

// A base model, the size of its weights and that of each of its adapters.
struct base_model
{
    base_model_id id;
    double weights_mb = 0;
    double adapter_mb = 0;
};

// The capacity of each engine of a service.
struct engine_capacity
{
    // Number of requests that an engine runs at the same time.
    int batch_slots = 1;
    int adapter_slots = 0;
    // Memory for the weights of base models and adapters.
    double weights_mb = 0;
    std::vector<base_model> models;
};

struct service_record
{
    service_id id;
    // The maximum number of connections that one endpoint accepts, over all clients.
    int max_connections = 1;
    // None if the service is plain.
    std::optional<engine_capacity> engine;
};

// Limits on the requests and connections of callers.
struct caller_limits
{
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 4194304;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15000};
};

// One complete version of the operators' configuration.
struct routing_table
{
    configuration_version version;
    std::vector<route> routes;
    std::map<service_id, service_record> services;
    caller_limits limits;
    // None if callers don't identify themselves.
    std::optional<customer_table> customers;
};

// Returns the route of the host with the longest matching path prefix; null if no route
// matches.
const route* match_route(const routing_table& table, std::string_view host,
                         std::string_view path);

// Selects one of the route's services in proportion to their weights. `request_hash` is a
// hash of the request; the same value always selects the same service.
const service_id& pick_service(const route& selected_route, std::uint64_t request_hash);

} // namespace pollenhaven

#endif
