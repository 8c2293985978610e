#ifndef POLLENHAVEN_CORE_RECORDS_ENDPOINT_RECORD_HPP
#define POLLENHAVEN_CORE_RECORDS_ENDPOINT_RECORD_HPP

#include "core/boot_clock.hpp"
#include "core/ids.hpp"
#include "core/records/routing.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pollenhaven
{

// Identifies an adapter of a base model, written model/adapter.
using adapter_id = strong_string<struct adapter_id_tag>;
// Version number of an adapter; a larger one is newer.
using adapter_version = strong_number<struct adapter_version_tag>;

// The version of the software that an endpoint runs; versions have no order.
using software_version = strong_string<struct software_version_tag>;

// A number of requests per second; 0 or more.
struct request_rate
{
    double per_second = 0;

    bool operator==(const request_rate&) const = default;
};

struct versioned_adapter
{
    adapter_id adapter;
    adapter_version version;
};

// What an engine reports about itself: its models, adapters, orders and requests.
struct engine_inventory
{
    std::vector<base_model_id> models;
    std::vector<versioned_adapter> adapters;
    // Adapters that are still loading; they occupy adapter slots too.
    std::vector<versioned_adapter> loading;
    // Number of orders that the engine has accepted since it started.
    std::uint64_t accepted_orders = 0;
    // Numbers of requests in the batch and in the queue; 0 if the engine does not report
    // them.
    int running = 0;
    int waiting = 0;
};

// An endpoint, as it registered itself in the store.
struct endpoint_record
{
    endpoint_id id;
    service_id service;
    network_address address;
    std::string zone;
    // Empty if the endpoint doesn't state it.
    software_version software;
    // Number of requests that the endpoint runs at the same time.
    int slots = 1;
    bool draining = false;
    // The time left until the endpoint shuts down, if it announced a shutdown.
    std::optional<milliseconds> remaining;
    // Wall-clock time of the endpoint's start in milliseconds; distinguishes restarts
    // under the same id.
    std::uint64_t started_ms = 0;
    engine_inventory inventory;
};

} // namespace pollenhaven

#endif
