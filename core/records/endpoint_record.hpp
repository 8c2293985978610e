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

struct versioned_adapter
{
    adapter_id adapter;
    adapter_version version;
};

// The models and adapters that an engine reports as loaded.
struct engine_inventory
{
    std::vector<base_model_id> models;
    std::vector<versioned_adapter> adapters;
    // Adapters that are still loading; they occupy slots too.
    std::vector<versioned_adapter> loading;
    // Number of orders that the engine has accepted since it started.
    std::uint64_t accepted_orders = 0;
    // Requests in the batch and in the queue, if the engine reports them.
    int running = 0;
    int waiting = 0;
};

// An endpoint as registered by itself in the store.
struct endpoint_record
{
    endpoint_id id;
    service_id service;
    network_address address;
    std::string zone;
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
