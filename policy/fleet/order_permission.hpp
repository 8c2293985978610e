#ifndef POLLENHAVEN_POLICY_FLEET_ORDER_PERMISSION_HPP
#define POLLENHAVEN_POLICY_FLEET_ORDER_PERMISSION_HPP

#include "policy/fleet/fleet_view.hpp"
#include "policy/lease_validity.hpp"

#include <optional>

namespace pollenhaven
{

// A member confirms a store outage if the store has not responded to it for this long.
// Lease renewals are more frequent, so a reachable store responds sooner.
inline constexpr milliseconds store_outage_threshold{900};

// The permission to send orders to one engine.
struct order_permission
{
    // Fencing token; increases with each holder.
    std::uint64_t token = 0;
    // When the permission becomes valid. Before, orders of an earlier holder may still
    // arrive at the engine.
    instant valid_from{};
};

// The store's entry about the holder of an engine. The holder writes it to claim the
// engine.
struct holder_record
{
    daemon_id daemon;
    incarnation_id incarnation;
    store_revision revision;
    // An earlier holder whose orders may still be in transit. There is none if this is
    // empty or the holder itself.
    daemon_id previous;
    // The store's era when the entry was read.
    store_era era;
};

// The waiting times before a daemon claims an engine of another holder and sends orders
// to it.
struct takeover_timing
{
    // A holder whose lease ended has this long to register again before another daemon
    // takes over: enough for a restart, and for all members to register again after a
    // store outage.
    milliseconds restart_grace{2000};
    // Additional wait for each other member that ranks before the claiming daemon in the
    // rendezvous hashing of the engine.
    milliseconds delay_per_rank{400};
    // The maximum time for which a holder may consider its lease valid after the store
    // removed it.
    milliseconds lease_time{2000};
    // Minimum time between the orders of two holders: the longest time that an order can
    // be in transit.
    milliseconds min_order_gap{3000};
};

// Returns the permission of a daemon that has claimed an engine. It is valid at once if
// `taken_over` is false: there was no previous holder, or that was an earlier incarnation
// of the same daemon. Else the previous holder's lease ended at `lease_ended_at` or
// earlier, and that holder may have sent orders for up to the lease time after it.
order_permission make_order_permission(std::uint64_t token, bool taken_over,
                                       instant lease_ended_at,
                                       const takeover_timing& timing, instant now);

// Returns the fencing token of a claim at this position of the store. Later claims have
// larger tokens, also after the store was restored. In the first era the token is the
// revision.
std::uint64_t fencing_token(store_position claim);

// Delays a permission that was granted in the era of a restored store, which this daemon
// first saw at `era_seen_at`: the store may have forgotten a claim of another daemon,
// which may send orders until its lease of the earlier era has ended.
void delay_after_restore(order_permission& permission, instant era_seen_at,
                         const takeover_timing& timing);

// Returns true if the engine was taken over from another daemon, whose orders may still
// be in transit.
bool is_taken_over(const holder_record& holder);

// Returns the previous holder to write into a claim. A daemon that claims its own engine
// again keeps the recorded previous holder, unless its own permission had become valid
// already (`was_valid`).
daemon_id previous_holder_for_claim(const fleet_view& fleet, const holder_record* holder,
                                    bool was_valid);

// Returns true if an order may be sent now. Must be called immediately before each order.
bool may_order(const order_permission& permission, const lease_validity& lease,
               const lease_timing& timing, instant now);

// Restarts the wait before a takeover for all members whose lease has ended. Must be
// called when a store outage ends, because holders may have extended their leases during
// the outage on this daemon's confirmation, and when this daemon may have missed changes
// of the store.
void restart_takeover_timers(fleet_view& fleet, instant now);

// Returns true if this daemon should claim an engine now. `holder` is the entry in the
// store, null if there is none. `lease_ended_at` is when the end of the holder's lease
// was detected, none while the lease is in force. `unheld_since` is when the engine was
// first seen without a holder.
bool should_claim(const fleet_view& fleet, const endpoint_id& endpoint,
                  const holder_record* holder, std::optional<instant> lease_ended_at,
                  instant unheld_since, const takeover_timing& timing, instant now);

// Returns the time up to which every other member has confirmed that the store does not
// respond to it; none if there are no other members, if one of them has not sent a
// heartbeat recently, or if one of them reaches the store or has seen a later era of it.
std::optional<instant> outage_confirmed_until(const fleet_view& fleet, instant now);

// Extends the lease to a short time after `confirmed_until`, a time up to which all
// members confirmed a store outage: while no daemon reaches the store, none can take over
// an engine. The extension and the maximum age of the members' heartbeats together are
// shorter than the lease time, for which a successor waits. A lease that has expired
// is not extended.
void extend_during_outage(lease_validity& lease, const lease_timing& timing,
                          instant confirmed_until, instant now);

} // namespace pollenhaven

#endif
