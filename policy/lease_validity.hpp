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

// Tracks the validity of this daemon's lease. Validity counts from the time before the
// confirming request was sent, so that a pause of the process at any point can only
// shorten it.
struct lease_validity
{
    // When the last grant or renewal that the store confirmed was sent.
    instant renewal_sent_at{};
    // The time from which validity counts because all members confirmed that the store
    // does not respond to them either.
    instant outage_validity_start{};
    // A newer incarnation or a newer holder supersedes this one; the lease is invalid.
    bool revoked = false;
};

// Records that the store confirmed a grant or renewal sent at `sent_at`.
void confirm_lease(lease_validity& validity, instant sent_at);

// Records that all members confirmed a store outage; validity counts from `start`. No
// effect if the lease was never confirmed.
void confirm_outage(lease_validity& validity, instant start);

// Returns true if the daemon may send orders now. Must be called immediately before each
// order.
bool is_lease_valid(const lease_validity& validity, const lease_timing& timing,
                    instant now);

// Returns the time at which the lease becomes invalid if no further confirmation arrives.
instant valid_until(const lease_validity& validity, const lease_timing& timing);

} // namespace pollenhaven

#endif
