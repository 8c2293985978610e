#ifndef POLLENHAVEN_SERVERS_GATEWAY_ENGINE_CONTROLLER_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_ENGINE_CONTROLLER_HPP

#include "policy/fleet/engine_orders.hpp"
#include "servers/gateway/fleet_membership.hpp"
#include "servers/gateway/fleet_messages.hpp"
#include "servers/gateway/http_client.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace pollenhaven
{

// Sends load and unload orders to the engines that this daemon holds, and sends the
// inventories of these engines to the peers.
class engine_controller
{
public:
    using inventory_function = std::function<void(const inventory_message&)>;
    using queue_function =
        std::function<void(const std::vector<daemon_id>&, const load_queue_message&)>;

    // `send_inventory` gets each inventory for all peers, and `send_queue` a queue length
    // with the peers that wait for it; both apply it to this daemon's own view too.
    engine_controller(gateway_context& context, inventory_function send_inventory,
                      queue_function send_queue);

    // Sets the source of permissions. Must be called before any other function.
    void attach(const fleet_membership& membership) { membership_ = &membership; }
    // Starts to control the engine if this daemon has a permission to order it, and stops
    // otherwise. Must be called when the permission changes and when the engine restarts.
    void permission_changed(const endpoint_id& endpoint);
    // Queues a load. Does nothing for an engine that this daemon doesn't hold.
    void request_load(const load_request_message& request);
    // Counts started requests by adapter, for the choice of the adapter to evict.
    void record_adapter_usage(const endpoint_id& endpoint, const endpoint_load& load);
    // Sends the orders and report requests that are due. Must be called periodically.
    void run_periodic_work();

private:
    struct held_engine
    {
        engine_state state;
        std::unique_ptr<http_client> client;
        // Sequence number of the last inventory that was sent.
        std::uint64_t inventory_sequence = 0;
        bool inventory_broadcast_scheduled = false;
        bool queue_report_scheduled = false;
        // The daemons that requested a load since the last report of the queue.
        std::set<daemon_id> load_requesters;
        // The time at which a load completes and send_next_action() is scheduled to run.
        instant next_wakeup{};
    };

    void send_next_action(const endpoint_id& id);
    void send_report_request(const endpoint_id& id, held_engine& engine);
    void send_order(const endpoint_id& id, held_engine& engine, engine_order order);
    void on_order_response(const endpoint_id& id, const http_result& result);
    // Logs how long a load that was accepted now is expected to take.
    void log_load_started(const endpoint_id& id, const adapter_id& adapter,
                          int loads_in_progress);
    void schedule_load_completion(const endpoint_id& id, held_engine& engine);
    void schedule_inventory_broadcast(const endpoint_id& id);
    void broadcast_inventory(const endpoint_id& id);
    // Reports the number of queued loads to those that requested one.
    void schedule_queue_report(const endpoint_id& id);
    void report_queue(const endpoint_id& id);
    // The configured timing with the load times learned so far.
    engine_timing current_timing() const;
    void init_engine(held_engine& engine, const endpoint_view& view);

    gateway_context& context_;
    inventory_function send_inventory_;
    queue_function send_queue_;
    const fleet_membership* membership_ = nullptr;
    std::map<endpoint_id, held_engine> engines_;
};

} // namespace pollenhaven

#endif
