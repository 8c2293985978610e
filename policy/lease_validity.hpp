#ifndef POLLENHAVEN_POLICY_LEASE_VALIDITY_HPP
#define POLLENHAVEN_POLICY_LEASE_VALIDITY_HPP

#include "core/boot_clock.hpp"

namespace pollenhaven
{

// Times that decide how long a daemon may order the engines that it holds.
struct lease_timing
{
    milliseconds time_to_live{10000};
    // Subtracted from every validity, to cover clock drift between instances.
    milliseconds margin{1000};
};

// What a daemon may still rely on. Validity always counts from the moment before a
// question was sent, so that a pause at any point shortens it and never lengthens it.
struct lease_validity
{
    // The store confirmed the lease.
    instant renewal_sent_at{};
    // Every member said that the store doesn't answer it either.
    instant outage_check_sent_at{};
    // Set when a newer incarnation or a newer ownership contradicts ours.
    bool revoked = false;
};

void confirm_lease(lease_validity& authority, instant sent);
void confirm_outage(lease_validity& authority, instant sent);

// Says whether the daemon may dispatch or order anything at this moment. Must be asked
// immediately before each dispatch and each order.
bool is_lease_valid(const lease_validity& authority, const lease_timing& timing,
                    instant now);

// The moment at which is_lease_valid turns false if nothing further is heard.
instant valid_until(const lease_validity& authority, const lease_timing& timing);

} // namespace pollenhaven

#endif
