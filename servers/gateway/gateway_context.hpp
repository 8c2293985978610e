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
          own_callers(std::move(callers)), log(settings.id.value)
    {
        fleet.self = settings.id;
        fleet.zone = settings.zone;
    }

    gateway_settings settings;
    platform_dialect dialect;
    // The interface for callers beside the platform's, if the settings name one.
    std::optional<caller_interface> own_callers;
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
    instant store_answered{};
    instant store_returned{};
};

// Notes that the store answered this daemon.
inline void note_store_answer(gateway_context& context)
{
    const instant now = context.loop.now();
    if (context.store_answered != instant{} &&
        now - context.store_answered > store_outage_threshold)
        context.store_returned = now;
    context.store_answered = now;
}

// How long the store hasn't answered this daemon.
inline milliseconds store_silence(const gateway_context& context)
{
    return std::chrono::duration_cast<milliseconds>(context.loop.now() -
                                                    context.store_answered);
}

// True if this daemon may be named to callers.
inline bool is_ready(const gateway_context& context)
{
    return context.routing != nullptr && !context.leaving;
}

} // namespace pollenhaven

#endif
