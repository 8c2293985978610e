#include "policy/lease_authority.hpp"

#include <algorithm>

namespace pollenhaven
{

void confirm_lease(lease_authority& authority, instant sent)
{
    authority.lease_confirmed_sent = std::max(authority.lease_confirmed_sent, sent);
}

void attest_outage(lease_authority& authority, instant sent)
{
    // Without a lease confirmed at some time there is nothing to continue.
    if (authority.lease_confirmed_sent == instant{})
        return;
    authority.outage_attested_sent = std::max(authority.outage_attested_sent, sent);
}

instant valid_until(const lease_authority& authority, const lease_timing& timing)
{
    const instant newest =
        std::max(authority.lease_confirmed_sent, authority.outage_attested_sent);
    if (newest == instant{})
        return instant{};
    return newest + timing.time_to_live - timing.margin;
}

bool may_act(const lease_authority& authority, const lease_timing& timing, instant now)
{
    return !authority.revoked && now < valid_until(authority, timing);
}

} // namespace pollenhaven
