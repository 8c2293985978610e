#ifndef POLLENHAVEN_SERVERS_GATEWAY_GATEWAY_CONTEXT_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_GATEWAY_CONTEXT_HPP

#include "core/event_log.hpp"
#include "core/interfaces/caller_interface.hpp"
#include "core/interfaces/platform_dialect.hpp"
#include "core/metrics.hpp"
#include "policy/fleet/order_permission.hpp"
#include "servers/gateway/event_loop.hpp"
#include "servers/gateway/gateway_settings.hpp"

#include <memory>
#include <optional>

namespace pollenhaven
{

// What the duties of the event loop's thread share.
struct gateway_context
{
    gateway_context(gateway_settings chosen, platform_dialect spoken,
                    std::optional<caller_interface> callers = std::nullopt)
        : settings(std::move(chosen)), dialect(std::move(spoken)),
          extra_caller_interface(std::move(callers)), log(settings.id.value)
    {
        fleet.self = settings.id;
        fleet.zone = settings.zone;
    }

    gateway_settings settings;
    platform_dialect dialect;
    // The interface for callers beside the platform's, if the settings name one.
    std::optional<caller_interface> extra_caller_interface;
    event_loop loop;
    event_log log;
    metric_set metrics;
    fleet_view fleet;
    // The configuration in force; null until one is known.
    std::shared_ptr<const routing_table> routing;
    incarnation_id incarnation;
    // Set from SIGTERM on.
    bool leaving = false;
    // When the store last answered, and the end of its last outage.
    instant last_store_response{};
    instant store_outage_ended{};
};

// Notes that the store answered this daemon.
inline void record_store_response(gateway_context& context)
{
    const instant now = context.loop.now();
    if (context.last_store_response != instant{} &&
        now - context.last_store_response > store_outage_threshold)
        context.store_outage_ended = now;
    context.last_store_response = now;
}

// How long the store hasn't answered this daemon.
inline milliseconds store_silence(const gateway_context& context)
{
    return std::chrono::duration_cast<milliseconds>(context.loop.now() -
                                                    context.last_store_response);
}

// True if this daemon may be named to callers.
inline bool is_ready(const gateway_context& context)
{
    return context.routing != nullptr && !context.leaving;
}

} // namespace pollenhaven

#endif
