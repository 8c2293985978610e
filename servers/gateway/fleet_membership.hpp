#ifndef POLLENHAVEN_SERVERS_GATEWAY_FLEET_MEMBERSHIP_HPP
#define POLLENHAVEN_SERVERS_GATEWAY_FLEET_MEMBERSHIP_HPP

#include "policy/fleet/order_permission.hpp"
#include "servers/gateway/gateway_context.hpp"
#include "servers/gateway/http_client.hpp"
#include "servers/gateway/store_watch.hpp"

#include <functional>
#include <map>
#include <optional>

namespace pollenhaven
{

// Keeps this daemon's lease and its entry among the members, follows the other members,
// and holds engines' orders. A holder's entry stays when its lease ends, so that a daemon
// that is back in time goes on; another one takes over only when it isn't.
class fleet_membership
{
public:
    // `permission_changed` is called for each engine whose right this daemon gained or
    // lost.
    fleet_membership(gateway_context& context,
                     std::function<void(const endpoint_id&)> permission_changed);

    // The right to order an engine, if this daemon holds it.
    const order_permission* permission_for(const endpoint_id& endpoint) const;
    // Says whether an order may be sent at this moment.
    bool may_order_now(const endpoint_id& endpoint) const;
    // Claims engines without a holder, and notes what peers say of the store; called
    // regularly.
    void run_periodic_work();
    // What it follows, so that it can be relayed to peers.
    store_watch& watch() { return watch_; }
    // Gives the lease back, so that others see the daemon leave at once.
    void release_lease();

private:
    void renew_lease();
    void on_lease_granted(const http_result& result, instant sent);
    void on_lease_renewed(const http_result& result, instant sent);
    void on_lease_lost();
    void write_member_entry(instant lease_sent);
    void claim(const endpoint_id& endpoint, const holder_record* holder);
    bool is_engine(const endpoint_view& endpoint) const;
    void on_item(const store_item& item);
    void on_member(const daemon_id& id, const store_item& item);
    void on_holder(const endpoint_id& endpoint, const store_item& item);
    // Takes note of an outage of the store that has ended.
    void handle_outage_end();
    void grant_own_permission(const endpoint_id& endpoint, const holder_record& holder);
    takeover_timing timing() const;

    gateway_context& context_;
    std::function<void(const endpoint_id&)> permission_changed_;
    http_client client_;
    store_watch watch_;
    std::uint64_t lease_ = 0;
    bool member_entry_written_ = false;
    bool lease_call_pending_ = false;
    lease_validity authority_;
    instant started_;
    instant handled_outage_end_{};
    std::map<endpoint_id, order_permission> permissions_;
    std::map<endpoint_id, holder_record> holders_;
    // Since when engines were seen without a holder.
    std::map<endpoint_id, instant> unheld_since_;
    std::map<endpoint_id, instant> last_claimed_at_;
};

} // namespace pollenhaven

#endif
