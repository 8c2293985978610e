#ifndef POLLENHAVEN_SERVERS_GATEWAY_GATEWAY_SETTINGS_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_GATEWAY_SETTINGS_HPP

#include "core/boot_clock.hpp"
#include "core/ids.hpp"
#include "policy/fleet/engine_orders.hpp"
#include "policy/fleet/retry_budget.hpp"
#include "policy/lease_validity.hpp"
#include "servers/settings_error.hpp"

#include <string>
#include <vector>

namespace pollenhaven
{

// Settings of a daemon; docs/operators/settings.md describes each.
struct gateway_settings
{
    daemon_id id;
    std::string zone;
    // The memory that this process may use, in MB.
    double memory_mb = 160;
    // The part of a processor core, or the number of cores, that this process may use.
    double cores = 1;
    network_address caller_address;
    network_address readiness_address;
    // Address at which callers fetch the list of daemon addresses.
    network_address directory_address;
    // Address for datagrams between daemons.
    network_address peer_address;
    // Address at which reports for operators and metrics are served; not served if empty.
    network_address metrics_address;
    network_address store_address;
    // The writes per second that the store takes from all daemons together.
    int store_writes_per_second = 400;
    // Name of the module that implements the platform's wire protocol.
    std::string dialect = "fleet";
    // Name of the module with an additional interface for callers; none if empty.
    std::string caller_interface;
    // Peer addresses of other daemons, which a daemon asks if it starts while the store
    // is down.
    std::vector<network_address> seeds;

    lease_timing lease{milliseconds(2000), milliseconds(200)};
    // Interval between renewals of the lease.
    milliseconds lease_renewal_interval{450};
    // The longest time that an order of an earlier holder may be in transit.
    milliseconds max_order_delay{3000};
    // How long callers may cache the list of daemon addresses.
    seconds directory_lifetime{2};
    // Time from SIGTERM until the process is killed.
    milliseconds stop_grace{8000};
    retry_budget_limits retry_budget;
    // What all daemons together may exceed a customer's quota by, in the quota's unit.
    double quota_slack = 0;
    engine_timing load_timing;
};

// Reads and validates a settings file. Throws settings_error with the file, line and key.
gateway_settings read_gateway_settings(const std::string& path);

} // namespace pollenhaven

#endif
