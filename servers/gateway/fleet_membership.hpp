#ifndef POLLENHAVEN_SERVERS_GATEWAY_FLEET_MEMBERSHIP_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_FLEET_MEMBERSHIP_HPP

#include "policy/fleet/order_permission.hpp"
#include "servers/gateway/gateway_context.hpp"
#include "servers/gateway/store_client.hpp"
#include "servers/gateway/store_watch.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace pollenhaven
{

// Maintains this daemon's lease and member entry in the store, watches the other members,
// and claims engines. An engine's holder entry isn't removed when the holder's lease
// ends: a daemon that registers again within takeover_timing::restart_grace remains the
// holder, and otherwise another daemon takes over.
class fleet_membership
{
public:
    // `permission_changed` is called with each engine for which this daemon gained or
    // lost the permission to send orders.
    fleet_membership(gateway_context& context,
                     std::function<void(const endpoint_id&)> permission_changed);

    // This daemon's permission to order an engine; null if this daemon isn't its holder.
    const order_permission* permission_for(const endpoint_id& endpoint) const;
    // Whether an order may be sent to the engine now. Must be checked before each order.
    bool may_order_now(const endpoint_id& endpoint) const;
    // Claims engines without a live holder, and extends the lease's validity while all
    // members confirm a store outage. Must be called periodically.
    void run_periodic_work();
    // Sets a handler for changes of the other entries that daemons write below the prefix
    // of the members' and holders' entries.
    void on_other_item(std::function<void(const store_item&)> call)
    {
        other_item_changed_ = std::move(call);
    }
    // The watch of the store entries that daemons write, for synchronisation with peers.
    store_watch& watch() { return watch_; }
    // Ends the lease in the store, so that peers see at once that this daemon has left.
    // The call is sent with the event loop's next flush.
    void release_lease();

private:
    void renew_lease();
    void send_lease_call();
    // If the store has been restored, takes a new lease, and lets this daemon continue
    // with its permissions only if the restored store still has the claims.
    void handle_new_era();
    void on_lease_granted(const http_result& result, instant sent);
    void on_lease_renewed(const http_result& result, instant sent);
    void on_lease_lost();
    void write_member_entry(instant lease_sent);
    void on_member_entry_written(const http_result& result, instant lease_sent);
    // Follows the entry of this daemon, which may be removed although its lease is
    // renewed: a late write may have put it under the lease of an earlier process.
    void on_own_entry(const store_item& item);
    void claim(const endpoint_id& endpoint, const holder_record* holder);
    // Removes the claims of a daemon that is cut off from its engines, once none of its
    // orders can be in transit any more, so that other daemons can claim them.
    void give_up_engines();
    bool is_engine(const endpoint_view& endpoint) const;
    void on_item(const store_item& item);
    void on_member(const daemon_id& id, const store_item& item);
    void on_holder(const endpoint_id& endpoint, const store_item& item);
    // Restarts the takeover timers if a store outage has ended since the last call.
    void handle_outage_end();
    // Starts this daemon's permission for an engine that it holds from now on.
    void grant_own_permission(const endpoint_id& endpoint, const holder_record& holder);
    takeover_timing timing() const;

    gateway_context& context_;
    std::function<void(const endpoint_id&)> permission_changed_;
    std::function<void(const store_item&)> other_item_changed_ = [](const store_item&) {};
    store_client client_;
    store_watch watch_;
    std::uint64_t lease_ = 0;
    bool member_entry_written_ = false;
    // The revision of this daemon's entry as the watch has shown it last; 0 if there is
    // none. An entry is written in place of this one only: a write that a killed process
    // has left behind fails once its successor has written.
    store_revision member_entry_revision_;
    // The revision that the last write of the entry got.
    store_revision written_entry_revision_;
    bool entry_write_pending_ = false;
    bool lease_call_pending_ = false;
    // When the lease and store outages were last confirmed; decides whether orders may be
    // sent.
    lease_validity lease_validity_;
    instant started_;
    instant handled_outage_end_{};
    // Permissions of this daemon, and the holders of all engines.
    std::map<endpoint_id, order_permission> permissions_;
    // The store's era in which the lease was taken.
    store_era handled_era_;
    // The permissions that date from an earlier era. No orders are sent by them until the
    // claim is found in the restored store.
    std::set<endpoint_id> unconfirmed_permissions_;
    std::map<endpoint_id, holder_record> holders_;
    // When this daemon first checked whether to claim an engine, by engine.
    std::map<endpoint_id, instant> unheld_since_;
    std::map<endpoint_id, instant> last_claimed_at_;
    instant given_up_at_{};
};

} // namespace pollenhaven

#endif
