#ifndef POLLENHAVEN_POLICY_LEASE_VALIDITY_HPP
#define POLLENHAVEN_POLICY_LEASE_VALIDITY_HPP

#include "core/boot_clock.hpp"

namespace pollenhaven
{

// The times that determine how long a daemon may send orders to the engines it holds.
struct lease_timing
{
    milliseconds time_to_live{10000};
    // Subtracted from the time to live, to allow for clock drift between instances.
    milliseconds margin{1000};
};

// Tracks the validity of this daemon's lease. Validity counts from a time before the
// confirmed request was sent, so that a pause of the process at any point can only
// shorten it.
struct lease_validity
{
    // When the daemon sent the last lease request or renewal that the store confirmed.
    instant renewal_sent_at{};
    // The time from which validity counts because all members confirmed that the store
    // does not respond to them either.
    instant outage_validity_start{};
    // Makes the lease invalid whatever its times are. It is meant for a daemon that a
    // newer incarnation or a newer holder supersedes; nothing sets it.
    bool revoked = false;
};

// Records that the store confirmed a lease request or renewal sent at `sent_at`.
void confirm_lease(lease_validity& validity, instant sent_at);

// Records that all members confirmed a store outage; validity counts from `start`. No
// effect if the lease was never confirmed.
void confirm_outage(lease_validity& validity, instant start);

// Returns true if the daemon may send orders now. Must be called immediately before each
// order.
bool is_lease_valid(const lease_validity& validity, const lease_timing& timing,
                    instant now);

// Returns the time at which the lease becomes invalid if no further confirmation arrives;
// the zero time if the lease was never confirmed. Does not consider `revoked`.
instant valid_until(const lease_validity& validity, const lease_timing& timing);

} // namespace pollenhaven

#endif
