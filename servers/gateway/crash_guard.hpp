#ifndef POLLENHAVEN_SERVERS_GATEWAY_CRASH_GUARD_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_CRASH_GUARD_HPP

#include "policy/fleet/crash_detector.hpp"
#include "servers/gateway/fleet_messages.hpp"
#include "servers/gateway/gateway_context.hpp"
#include "servers/gateway/http_exchange.hpp"

#include <functional>
#include <set>

namespace pollenhaven
{

// Keeps requests that crash endpoints from running again, and tells the peers which they
// are. Costs nothing while no endpoint has crashed.
class crash_guard
{
public:
    using announce_function = std::function<void(const fleet_message&)>;

    crash_guard(gateway_context& context, announce_function announce);

    // What is to become of a request before it is sent.
    suspect_status request_suspect_status(http_exchange& item);
    // Endpoints to which a suspect must not go, because another one runs there.
    std::set<endpoint_id> endpoints_with_running_suspects() const;

    void on_sent(http_exchange& item);
    void on_ended(http_exchange& item);
    void on_completed(http_exchange& item);
    void on_cut_off(http_exchange& item);
    // The endpoint was seen to be gone, or to have started anew.
    void on_endpoint_lost(const endpoint_id& endpoint);
    void merge_suspects(const suspects_message& message);
    // Called regularly.
    void remove_expired_crashes();

private:
    const std::string& fingerprint_of(http_exchange& item) const;
    void probe(const endpoint_id& endpoint);
    void announce(const suspects_message& message, int times);

    gateway_context& context_;
    announce_function announce_;
    crash_detector watch_;
    // Endpoints whose probe is under way.
    std::set<endpoint_id> probed_;
};

} // namespace pollenhaven

#endif
