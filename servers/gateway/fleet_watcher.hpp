#ifndef POLLENHAVEN_SERVERS_GATEWAY_FLEET_WATCHER_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_FLEET_WATCHER_HPP

#include "servers/gateway/fleet_messages.hpp"
#include "servers/gateway/gateway_context.hpp"
#include "servers/gateway/store_watch.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace pollenhaven
{

// Follows what operators and endpoints write to the store, and keeps the daemon's view of
// the fleet by it.
class fleet_watcher
{
public:
    using endpoint_handler = std::function<void(const endpoint_id&)>;

    // `restarted` is called for an endpoint that appeared or started anew, `gone` for one
    // whose entry is taken as gone.
    fleet_watcher(gateway_context& context, endpoint_handler restarted,
                  endpoint_handler gone);

    // What it follows, so that it can be relayed to peers.
    std::vector<store_watch*> watches() { return {&operator_watch_, &endpoint_watch_}; }

    // Drops endpoints that are gone; called regularly.
    void remove_gone_endpoints();

private:
    void on_operator_item(const store_item& item);
    void on_configuration(const store_item& item);
    void on_version(const store_item& item);
    void on_endpoint(const store_item& item);
    void on_endpoint_entry(const endpoint_record& record);
    void on_endpoint_gone(const endpoint_id& id);

    gateway_context& context_;
    endpoint_handler restarted_;
    endpoint_handler gone_;
    store_watch operator_watch_;
    store_watch endpoint_watch_;
};

// Takes over what the holder of an engine's orders announced, if it is the newest.
void apply_inventory(fleet_view& fleet, const inventory_message& message, instant now);

// What is known of an engine by its holder's word, for a daemon that has just started.
// None if no holder has told.
std::optional<inventory_message> last_reported_inventory(const endpoint_view& endpoint,
                                                         instant now);

// Takes over how many loads an engine has before it.
void apply_load_queue(fleet_view& fleet, const load_queue_message& message, instant now);

// Takes over what a peer has under way at the endpoints that it names.
void apply_endpoint_load(fleet_view& fleet, const endpoint_load_message& message,
                         instant now);

// Takes over a peer's word about itself.
void apply_heartbeat(fleet_view& fleet, const heartbeat_message& message, instant now);

} // namespace pollenhaven

#endif
