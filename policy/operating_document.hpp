#ifndef POLLENHAVEN_POLICY_OPERATING_DOCUMENT_HPP
#define POLLENHAVEN_POLICY_OPERATING_DOCUMENT_HPP

#include "core/boot_clock.hpp"
#include "core/ids.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace pollenhaven
{

// The order in which work is served: people who wait go first.
enum class work_class
{
    interactive,
    overnight
};

struct partner_entry
{
    partner_id id;
    // Share of the served work relative to the other partners' weights.
    double weight = 1.0;
};

struct adapter_entry
{
    model_ref model;
    partner_id partner;
    work_class priority = work_class::interactive;
};

enum class endpoint_kind
{
    engine,
    service
};

struct endpoint_entry
{
    endpoint_id id;
    endpoint_kind kind = endpoint_kind::engine;
    network_address address;
    // For plain services: the service that this endpoint is a worker of.
    service_id service;
    // Partners that the endpoint serves; empty means all.
    std::set<partner_id> partners;
    // True if the endpoint refuses orders and requests that carry an old fencing number.
    bool checks_fencing = false;
    std::string zone;
};

struct service_entry
{
    service_id id;
    partner_id partner;
    // True if calls may be repeated; otherwise each needs an idempotency key.
    bool idempotent = false;
};

struct store_limits
{
    double loads_per_second = 3.0;
    int burst = 3;
    int max_in_flight = 8;
    milliseconds load_time{250};
};

// The operators' document, whole. Each section is a key of its own in the key-value
// service.
struct operating_document
{
    std::map<partner_id, partner_entry> partners;
    std::map<model_ref, adapter_entry> adapters;
    std::map<endpoint_id, endpoint_entry> endpoints;
    std::map<service_id, service_entry> services;
    store_limits store;
};

// One section of the document as it is stored.
struct document_section
{
    std::string name;
    std::string text;
    store_revision revision;
};

// Says whether the endpoint may serve the partner.
bool serves(const endpoint_entry& endpoint, const partner_id& partner);

} // namespace pollenhaven

#endif
