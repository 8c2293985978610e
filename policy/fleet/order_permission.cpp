#include "policy/fleet/order_permission.hpp"

#include "policy/rendezvous.hpp"

#include <algorithm>

namespace pollenhaven
{

namespace
{

// A member's heartbeat confirms a store outage for this long: three heartbeat intervals.
constexpr milliseconds heartbeat_lifetime{650};
// A confirmed outage extends the lease to this long after the confirmation.
constexpr milliseconds outage_extension{400};
// The bits of a fencing token that hold the revision. With the eras above it, a token is
// still a whole number in a JSON body, which has 53 bits.
constexpr int token_revision_bits = 40;

// Returns the number of members that rank before this daemon for the endpoint.
int rank_of_self(const fleet_view& fleet, const endpoint_id& endpoint)
{
    const std::uint64_t own = rendezvous_weight(endpoint.value, fleet.self.value);
    int rank = 0;
    for (const auto& [id, member] : fleet.members)
        if (id != fleet.self && member.leased && !member.leaving &&
            rendezvous_weight(endpoint.value, id.value) > own)
            ++rank;
    return rank;
}

} // namespace

order_permission make_order_permission(std::uint64_t token, bool taken_over,
                                       instant lease_ended_at,
                                       const takeover_timing& timing, instant now)
{
    if (!taken_over)
        return {token, now};
    return {token, lease_ended_at + timing.lease_time + timing.min_order_gap};
}

std::uint64_t fencing_token(store_position claim)
{
    const std::uint64_t restores = claim.era.value > 0 ? claim.era.value - 1 : 0;
    return (restores << token_revision_bits) + claim.revision.value;
}

void delay_after_restore(order_permission& permission, instant era_seen_at,
                         const takeover_timing& timing)
{
    permission.valid_from = std::max(
        permission.valid_from, era_seen_at + timing.lease_time + timing.min_order_gap);
}

bool is_taken_over(const holder_record& holder)
{
    return !holder.previous.empty() && holder.previous != holder.daemon;
}

daemon_id previous_holder_for_claim(const fleet_view& fleet, const holder_record* holder,
                                    bool was_valid)
{
    if (holder == nullptr)
        return {};
    const bool keep_previous =
        holder->daemon == fleet.self && is_taken_over(*holder) && !was_valid;
    return keep_previous ? holder->previous : holder->daemon;
}

bool may_order(const order_permission& permission, const lease_validity& lease,
               const lease_timing& timing, instant now)
{
    return now >= permission.valid_from && is_lease_valid(lease, timing, now);
}

void restart_takeover_timers(fleet_view& fleet, instant now)
{
    for (auto& [id, member] : fleet.members)
        if (member.lease_ended_at)
            member.lease_ended_at = now;
}

bool should_claim(const fleet_view& fleet, const endpoint_id& endpoint,
                  const holder_record* holder, std::optional<instant> lease_ended_at,
                  instant unheld_since, const takeover_timing& timing, instant now)
{
    // An earlier incarnation of this daemon was the holder. It cannot still be running,
    // because only one process can listen on the daemon's address.
    if (holder != nullptr && holder->daemon == fleet.self)
        return true;
    if (holder != nullptr && !lease_ended_at)
        return false;
    // The rank takes a pass over all members, so it is computed only when it matters.
    const milliseconds rank_delay = timing.delay_per_rank * rank_of_self(fleet, endpoint);
    if (holder == nullptr)
        return now - unheld_since >= rank_delay;
    return now - *lease_ended_at >= timing.restart_grace + rank_delay;
}

std::optional<instant> outage_confirmed_until(const fleet_view& fleet, instant now)
{
    instant oldest = now;
    int confirmations = 0;
    for (const auto& [id, member] : fleet.members)
    {
        if (id == fleet.self || !member.known_from_store)
            continue;
        // A member that has seen a later era knows of a restored store, which may have
        // forgotten this daemon's lease.
        if (now - member.last_message_at > heartbeat_lifetime ||
            member.store_silence < store_outage_threshold || member.era > fleet.era)
            return std::nullopt;
        oldest = std::min(oldest, member.last_message_at);
        ++confirmations;
    }
    return confirmations == 0 ? std::nullopt : std::optional<instant>(oldest);
}

void extend_during_outage(lease_validity& lease, const lease_timing& timing,
                          instant confirmed_until, instant now)
{
    // If the lease has expired, another daemon may have taken over before the outage.
    if (!is_lease_valid(lease, timing, now))
        return;
    const milliseconds lease_duration = timing.time_to_live - timing.margin;
    confirm_outage(lease, confirmed_until - lease_duration + outage_extension);
}

} // namespace pollenhaven
