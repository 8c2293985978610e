#ifndef POLLENHAVEN_BENCH_PRODUCT_DAEMONS_HPP
#define POLLENHAVEN_BENCH_PRODUCT_DAEMONS_HPP

#include "bench/emulation.hpp"
#include "policy/fleet/endpoint_selection.hpp"
#include "policy/fleet/engine_orders.hpp"
#include "servers/gateway/fleet_messages.hpp"

#include <set>

namespace pollenhaven::bench
{

// Emulates pollenhaven's daemons in virtual time. They decide with the functions of
// policy/fleet and send the gateway's messages; the rest of the gateway is left out.
class product_daemons
{
public:
    // Sets the handlers of `emulated`, which must outlive this object.
    explicit product_daemons(emulation& emulated);

private:
    // The state of a request at its daemon; corresponds to the gateway's http_exchange.
    struct tracked_request
    {
        bool is_waiting = false;
        std::optional<int> engine;
        bool prefill_pending = false;
        std::optional<endpoint_id> load_engine;
        instant load_requested_at{};
        instant wait_deadline{};
        instant sent_at{};
    };

    // The state of an engine at its holder; corresponds to the gateway's
    // engine_controller.
    struct held_engine
    {
        engine_state state;
        std::uint64_t inventory_sequence = 0;
        bool queue_broadcast_pending = false;
        instant next_wakeup{};
    };

    void on_arrival(int request);
    void try_dispatch(int request);
    void request_adapter_load(int request, const dispatch_query& query, bool replica);
    dispatch_query dispatch_query_for(int request) const;
    bool send(int request, const endpoint_id& endpoint);
    void on_first_token(int request);
    void on_finished(int request);
    void dispatch_waiting(int daemon);

    void request_load(const load_request_message& request);
    // Sends the engine the order or report request that is due, if any.
    void send_next_action(int engine);
    void execute_order(int engine, const engine_order& order);
    void request_report(int engine);
    void broadcast_inventory(int engine);
    void broadcast_queue_length(int engine);
    // The timing at the engine's holder, with the load times that it has learned.
    engine_timing timing_at(int engine);
    void record_observation(int daemon, const load_observation& observed);

    void broadcast_endpoint_load();
    // Broadcasts the heartbeats of all daemons and reports started requests to the
    // holders.
    void broadcast_heartbeats();
    void broadcast_heartbeat(int daemon);
    void run_periodic_work();
    // Delivers a message to all daemons but its sender, after the network latency.
    void broadcast(int sender, const fleet_message& message);
    void receive(int daemon, const fleet_message& message);
    int holder_of(int engine) const { return engine % profile_.daemons; }
    fleet_view& view(int daemon) { return views_[static_cast<std::size_t>(daemon)]; }

    emulation& emulated_;
    const deployment_profile& profile_;
    std::vector<fleet_view> views_;
    // Observations that the daemons' next heartbeats send.
    std::vector<std::vector<load_observation>> observations_;
    std::vector<held_engine> engines_;
    std::vector<tracked_request> tracked_;
    std::vector<std::set<int>> waiting_;
    std::vector<std::set<endpoint_id>> changed_endpoints_;
    std::vector<std::map<endpoint_id, std::map<adapter_id, int>>> started_requests_;
};

} // namespace pollenhaven::bench

#endif
