#ifndef POLLENHAVEN_SERVERS_GATEWAY_FLEET_WATCHER_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_FLEET_WATCHER_HPP

#include "servers/gateway/fleet_messages.hpp"
#include "servers/gateway/gateway_context.hpp"
#include "servers/gateway/store_watch.hpp"

#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace pollenhaven
{

// Watches the store entries of operators and endpoints, and updates the daemon's view of
// the fleet from them.
class fleet_watcher
{
public:
    using endpoint_handler = std::function<void(const endpoint_id&)>;

    // `restarted` is called for an endpoint that appeared or restarted, `gone` for one
    // that starts to drain or whose entry was removed. `gone` isn't called if the entry
    // was removed just after a store outage, because the endpoint may register again.
    fleet_watcher(gateway_context& context, endpoint_handler restarted,
                  endpoint_handler gone);

    // The watches, for synchronisation with peers.
    // The watch of what operators write.
    store_watch& operator_watch() { return operator_watch_; }
    std::vector<store_watch*> watches() { return {&operator_watch_, &endpoint_watch_}; }

    // Removes endpoints that have been gone for some time. Must be called periodically.
    void remove_gone_endpoints();

private:
    void on_operator_item(const store_item& item);
    void on_configuration(const store_item& item);
    void on_version(const store_item& item);
    void on_endpoint(const store_item& item);
    void on_endpoint_entry(const endpoint_record& record);
    void on_endpoint_gone(const endpoint_id& id);
    // Returns true if an endpoint's entry differs from the one before in more than its
    // adapters and counts, which the engine's holder reports.
    bool is_new_entry(const store_item& item);
    // Uses the endpoints again whose entries the restored store has kept for so long that
    // they must be up.
    void confirm_restored_endpoints();

    gateway_context& context_;
    endpoint_handler restarted_;
    endpoint_handler gone_;
    // Endpoints that were gone, and whose entries a restored store has again.
    std::set<endpoint_id> doubtful_endpoints_;
    // The entries that were passed on last, without adapters and counts.
    std::map<std::string, endpoint_record> passed_on_;
    store_watch operator_watch_;
    store_watch endpoint_watch_;
};

// Applies an inventory from an engine's holder, unless a newer one is known.
void apply_inventory(fleet_view& fleet, const inventory_message& message, instant now);

// Returns the last inventory that an engine's holder sent, to be passed on to a daemon
// that has just started; none if this daemon has received none.
std::optional<inventory_message> last_reported_inventory(const endpoint_view& endpoint,
                                                         instant now);

// Applies the number of loads that an engine's holder has queued.
void apply_load_queue(fleet_view& fleet, const load_queue_message& message, instant now);

// Applies the load of a peer at the endpoints that the message lists.
void apply_endpoint_load(fleet_view& fleet, const endpoint_load_message& message,
                         instant now);

// Applies what a keeper states of the load of all other daemons.
void apply_stated_load(fleet_view& fleet, const stated_load_message& message,
                       instant now);

// Applies a peer's heartbeat.
void apply_heartbeat(fleet_view& fleet, const heartbeat_message& message, instant now);

} // namespace pollenhaven

#endif
