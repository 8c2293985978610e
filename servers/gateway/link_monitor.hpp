#ifndef POLLENHAVEN_SERVERS_GATEWAY_LINK_MONITOR_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_LINK_MONITOR_HPP

#include "servers/gateway/connection_pool.hpp"
#include "servers/gateway/gateway_context.hpp"

#include <functional>
#include <map>

namespace pollenhaven
{

// How a connection to an endpoint failed.
enum class connect_failure
{
    refused,
    timed_out
};

// Keeps gateway_context::links up to date: records which connections to endpoints were
// established, and probes endpoints while this daemon is cut off from them.
class link_monitor
{
public:
    // `changed` is called when this daemon becomes cut off, when that is confirmed and
    // when it ends; never during a call of one of the functions below.
    link_monitor(gateway_context& context, connection_pool& pool,
                 std::function<void()> changed);

    void on_connected();
    void on_connect_failed(const endpoint_id& endpoint, connect_failure kind);
    // Probes endpoints if none has sent anything for some time. Must be called
    // periodically; `waits_for_endpoints` is true while requests wait for responses.
    void check_silence(bool waits_for_endpoints);

private:
    // Probes a few endpoints, and goes on until one is reached.
    void probe_endpoints();
    void probe(const endpoint_id& endpoint);
    // Evaluates a probe that has been connected or has timed out, and looks again later
    // otherwise.
    void check_probe(const endpoint_id& endpoint, stream_id stream, instant deadline);
    void schedule_change();

    gateway_context& context_;
    connection_pool& pool_;
    std::function<void()> changed_;
    std::uint64_t rounds_ = 0;
    // A round of probes is under way.
    bool is_probing_ = false;
};

} // namespace pollenhaven

#endif
