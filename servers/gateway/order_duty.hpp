#ifndef POLLENHAVEN_SERVERS_GATEWAY_ORDER_DUTY_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_ORDER_DUTY_HPP

#include "policy/fleet/engine_orders.hpp"
#include "servers/gateway/fleet_membership.hpp"
#include "servers/gateway/fleet_messages.hpp"
#include "servers/gateway/http_client.hpp"

#include <functional>
#include <map>
#include <memory>

namespace pollenhaven
{

// Gives orders to the engines whose right this daemon holds, and announces what they
// hold.
class order_duty
{
public:
    using announce_function = std::function<void(const fleet_message&)>;

    order_duty(gateway_context& context, announce_function announce);

    void attach(const fleet_membership& membership) { membership_ = &membership; }
    void rights_changed(const endpoint_id& endpoint);
    void request_load(const load_request_message& request);
    void count_use(const endpoint_id& endpoint, const endpoint_use& use);
    // Gives what orders are due; called regularly and after each event.
    void run_due();

private:
    struct held_engine
    {
        engine_state state;
        std::unique_ptr<http_client> channel;
        std::uint64_t announced = 0;
        bool announcement_due = false;
        bool queue_announcement_due = false;
        // When the engine is looked at next because a load will be complete.
        instant wakes_at{};
    };

    void advance(const endpoint_id& id);
    void send_report_request(const endpoint_id& id, held_engine& engine);
    void send_order(const endpoint_id& id, held_engine& engine, engine_order order);
    void on_order_answer(const endpoint_id& id, const http_result& result);
    void wake_at_completion(const endpoint_id& id, held_engine& engine);
    void announce_soon(const endpoint_id& id);
    void announce(const endpoint_id& id);
    void announce_queue_soon(const endpoint_id& id);
    int loads_under_way() const;
    void set_up(held_engine& engine, const endpoint_view& view);

    gateway_context& context_;
    announce_function announce_;
    const fleet_membership* membership_ = nullptr;
    std::map<endpoint_id, held_engine> engines_;
};

} // namespace pollenhaven

#endif
