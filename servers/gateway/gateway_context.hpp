#ifndef POLLENHAVEN_SERVERS_GATEWAY_GATEWAY_CONTEXT_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_GATEWAY_CONTEXT_HPP

#include "core/event_log.hpp"
#include "core/interfaces/caller_interface.hpp"
#include "core/interfaces/platform_dialect.hpp"
#include "core/metrics.hpp"
#include "policy/fleet/endpoint_links.hpp"
#include "policy/fleet/order_permission.hpp"
#include "policy/fleet/watch_call.hpp"
#include "servers/gateway/event_loop.hpp"
#include "servers/gateway/gateway_settings.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace pollenhaven
{

// State that the components of a daemon share. Used only on the event loop's thread.
struct gateway_context
{
    gateway_context(gateway_settings initial_settings, platform_dialect platform,
                    std::optional<caller_interface> extra_interface = std::nullopt)
        : settings(std::move(initial_settings)), dialect(std::move(platform)),
          extra_caller_interface(std::move(extra_interface)), log(settings.id.value)
    {
        fleet.self = settings.id;
        fleet.zone = settings.zone;
        fleet.load_times = settings.load_timing.load_times;
    }

    gateway_settings settings;
    platform_dialect dialect;
    // The additional interface for callers, if the settings name one.
    std::optional<caller_interface> extra_caller_interface;
    event_loop loop;
    event_log log;
    metric_set metrics;
    fleet_view fleet;
    endpoint_links links;
    // The configuration in force; null until one has been received.
    std::shared_ptr<const routing_table> routing;
    incarnation_id incarnation;
    // When the process started.
    instant started = boot_clock::now();
    // Observations of loads that the next heartbeat sends to the peers.
    std::vector<load_observation> load_observations;
    // True after SIGTERM or SIGINT, while the daemon shuts down.
    bool leaving = false;
    // While the daemon shuts down, requests that are read after this time are refused:
    // the process might end before they do. None before the shutdown.
    std::optional<instant> admission_ends;
    store_contact store;
    // When the era of a restored store was first seen, by this daemon or by a peer that
    // is up; none if the store was never restored.
    std::optional<instant> era_seen_at;
    // What was last wrong with a stated era; empty if nothing was.
    std::string era_problem;
};

// Records the era that the head of a store's response states, and logs a change of it.
// One that can't be read changes nothing. Returns false if the response is of an earlier
// era than the one known, so that it must not be used.
bool record_store_era(gateway_context& context, const http_head& head);

// Records for how long a peer has known an era. A daemon that starts long after the store
// was restored learns so that nothing of the time before can matter any more.
void record_peer_era(gateway_context& context, store_era era, milliseconds age);

// Time since the store last responded to this daemon, or since boot if it never has.
inline milliseconds store_silence(const gateway_context& context)
{
    return std::chrono::duration_cast<milliseconds>(context.loop.now() -
                                                    context.store.last_response);
}

// Whether the daemon may be listed for callers: it has a configuration and isn't shutting
// down.
inline bool is_ready(const gateway_context& context)
{
    return context.routing != nullptr && !context.leaving;
}

} // namespace pollenhaven

#endif
