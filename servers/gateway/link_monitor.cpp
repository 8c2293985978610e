#include "servers/gateway/link_monitor.hpp"

namespace pollenhaven
{

namespace
{

constexpr milliseconds probe_check_interval{20};
constexpr std::size_t probes_per_round = 3;

} // namespace

link_monitor::link_monitor(gateway_context& context, connection_pool& pool,
                           std::function<void()> changed)
    : context_(context), pool_(pool), changed_(std::move(changed))
{
}

void link_monitor::on_connected()
{
    if (!record_connection(context_.links))
        return;
    // The failures were those of this daemon's links and not of the endpoints.
    const instant now = context_.loop.now();
    for (auto& [id, endpoint] : context_.fleet.endpoints)
    {
        if (endpoint.connect_failures > 0)
            endpoint.backoff_until = now;
        endpoint.connect_failures = 0;
    }
    context_.log.write("links to endpoints restored", {});
    schedule_change();
}

void link_monitor::on_connect_failed(const endpoint_id& endpoint, connect_failure kind)
{
    const bool begins = record_connection_failure(context_.links, context_.fleet,
                                                  endpoint, context_.loop.now());
    // Where new connections hang, those that are open hang too.
    if (kind == connect_failure::timed_out && is_cut_off(context_.links))
        pool_.remove_all();
    probe_endpoints();
    if (!begins)
        return;
    context_.log.write(
        "cut off from endpoints",
        {{"failed", static_cast<std::int64_t>(context_.links.failed.size())},
         {"failure", kind == connect_failure::timed_out ? "timed out" : "refused"}});
    context_.metrics.add("pollenhaven_cuts_from_endpoints_total");
    schedule_change();
    context_.loop.schedule_after(cut_confirmation_time, changed_);
}

void link_monitor::check_silence(bool waits_for_endpoints)
{
    if (is_silence_suspicious(context_.links, waits_for_endpoints, context_.loop.now()))
        probe_endpoints();
}

void link_monitor::schedule_change()
{
    context_.loop.schedule_after(milliseconds(0), changed_);
}

void link_monitor::probe_endpoints()
{
    if (std::exchange(is_probing_, true))
        return;
    for (const endpoint_id& endpoint :
         endpoints_to_probe(context_.links, context_.fleet, probes_per_round, ++rounds_,
                            context_.loop.now()))
        probe(endpoint);
    context_.loop.schedule_after(link_probe_interval,
                                 [this]
                                 {
                                     is_probing_ = false;
                                     if (!context_.links.failed.empty())
                                         probe_endpoints();
                                 });
}

void link_monitor::probe(const endpoint_id& endpoint)
{
    const network_address& address = context_.fleet.endpoints.at(endpoint).record.address;
    stream_handlers handlers;
    handlers.ended = [this, endpoint](stream_id, stream_end)
    { on_connect_failed(endpoint, connect_failure::refused); };
    const stream_id stream = context_.loop.connect(address, std::move(handlers));
    check_probe(endpoint, stream, context_.loop.now() + link_probe_timeout);
}

void link_monitor::check_probe(const endpoint_id& endpoint, stream_id stream,
                               instant deadline)
{
    if (!context_.loop.is_open(stream))
        return;
    const bool is_connected = context_.loop.is_connected(stream);
    if (!is_connected && context_.loop.now() < deadline)
    {
        context_.loop.schedule_after(probe_check_interval,
                                     [this, endpoint, stream, deadline]
                                     { check_probe(endpoint, stream, deadline); });
        return;
    }
    context_.loop.close(stream);
    if (is_connected)
        on_connected();
    else
        on_connect_failed(endpoint, connect_failure::timed_out);
}

} // namespace pollenhaven
