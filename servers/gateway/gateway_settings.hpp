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

// Settings of a daemon that serves a fleet; docs/operators/settings.md describes each.
struct gateway_settings
{
    daemon_id id;
    std::string zone;
    network_address caller_address;
    network_address readiness_address;
    network_address directory_address;
    network_address peer_address;
    // Where metrics are served as text; none if empty.
    network_address metrics_address;
    network_address store_address;
    // The module in which the platform's protocol is implemented.
    std::string dialect = "fleet";
    // The module with an interface for callers beside the platform's; none if empty.
    std::string caller_interface;
    // Where other daemons may listen for datagrams, for a start without the store.
    std::vector<network_address> seeds;

    lease_timing lease{milliseconds(2000), milliseconds(200)};
    milliseconds lease_renewal_interval{450};
    // The longest time that an order of an earlier holder may be under way.
    milliseconds max_order_delay{3000};
    // How long callers keep an answer to the question for addresses.
    seconds directory_lifetime{2};
    // From SIGTERM until the process is killed.
    milliseconds stop_grace{8000};
    retry_budget_limits budget;
    engine_timing engines;
};

// Reads and checks a settings file. Throws settings_error that names file, line and key.
gateway_settings read_gateway_settings(const std::string& path);

} // namespace pollenhaven

#endif
