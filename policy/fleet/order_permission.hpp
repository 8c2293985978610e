#ifndef POLLENHAVEN_POLICY_FLEET_ORDER_PERMISSION_HPP
#define POLLENHAVEN_POLICY_FLEET_ORDER_PERMISSION_HPP

#include "policy/fleet/fleet_view.hpp"
#include "policy/lease_validity.hpp"

#include <optional>

namespace pollenhaven
{

// A daemon that the store hasn't answered for this long tells its peers of an outage.
// Renewals are more frequent.
inline constexpr milliseconds store_outage_threshold{900};

// The right to give orders to one engine.
struct order_permission
{
    // The store's revision of the write that gave the right; grows with each holder.
    std::uint64_t token = 0;
    // Until this moment an earlier holder's orders may still arrive.
    instant valid_from{};
};

// What the store says of an engine's holder.
struct holder_record
{
    daemon_id daemon;
    incarnation_id incarnation;
    store_revision revision;
    // The daemon whose orders may still be under way; empty or the holder itself if none.
    daemon_id previous;
};

struct takeover_timing
{
    // A holder that vanished has this long to come back before another daemon takes over:
    // time for a restart, and for all to register again after an outage of the store.
    milliseconds restart_grace{2000};
    // Each further daemon in rank waits this much longer.
    milliseconds delay_per_rank{400};
    // The longest time for which a vanished holder may still believe in its lease.
    milliseconds lease_time{2000};
    // Two holders' orders must be this far apart.
    milliseconds min_order_gap{3000};
};

// The right of a daemon that claimed an engine. No holder before it, or an earlier start
// of the same daemon: valid at once. Else the holder before vanished at `lease_ended_at`
// or earlier, and may have ordered until its lease ran out.
order_permission make_order_permission(std::uint64_t token, bool taken_over,
                                       instant lease_ended_at,
                                       const takeover_timing& timing, instant now);

// True if another daemon's orders may still be under way when the holder begins.
bool is_taken_over(const holder_record& holder);

// What a claim records as the daemon before. A daemon that takes its own engine back
// keeps the one before it, unless its right was valid already: `settled`.
daemon_id previous_holder_for_claim(const fleet_view& fleet, const holder_record* holder,
                                    bool settled);

// Says whether an order may be sent at this moment. Must be asked before each order.
bool may_order(const order_permission& right, const lease_validity& lease,
               const lease_timing& timing, instant now);

// Forgets how long other members have been absent. Due when the store answers again after
// an outage, in which holders may have gone on by this daemon's own word, and when
// changes may have been missed.
void restart_takeover_timers(fleet_view& fleet, instant now);

// Says whether this daemon should claim an engine now. `holder` is what the store says,
// null if nothing; `lease_ended_at` is when the holder's lease was seen to end, none
// while it holds; `free_since` is when the engine was first seen without a holder.
bool should_claim(const fleet_view& fleet, const endpoint_id& endpoint,
                  const holder_record* holder, std::optional<instant> lease_ended_at,
                  instant free_since, const takeover_timing& timing, instant now);

// The moment up to which the whole fleet was without the store, by the word of every
// member; none if a member is silent, or reaches the store.
std::optional<instant> outage_confirmed_until(const fleet_view& fleet, instant now);

// Lets a holder go on for a short while after such a moment: while no daemon reaches the
// store nobody can take an engine over. Together with the age of the members' word it is
// shorter than a lease, for which a successor waits. A lease that has lapsed stays so.
void extend_during_outage(lease_validity& lease, const lease_timing& timing,
                          instant attested, instant now);

} // namespace pollenhaven

#endif
