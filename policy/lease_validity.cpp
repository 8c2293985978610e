#include "policy/lease_validity.hpp"

#include <algorithm>

namespace pollenhaven
{

void confirm_lease(lease_validity& authority, instant sent)
{
    authority.renewal_sent_at = std::max(authority.renewal_sent_at, sent);
}

void confirm_outage(lease_validity& authority, instant sent)
{
    // Without a lease confirmed at some time there is nothing to continue.
    if (authority.renewal_sent_at == instant{})
        return;
    authority.outage_check_sent_at = std::max(authority.outage_check_sent_at, sent);
}

instant valid_until(const lease_validity& authority, const lease_timing& timing)
{
    const instant newest =
        std::max(authority.renewal_sent_at, authority.outage_check_sent_at);
    if (newest == instant{})
        return instant{};
    return newest + timing.time_to_live - timing.margin;
}

bool is_lease_valid(const lease_validity& authority, const lease_timing& timing,
                    instant now)
{
    return !authority.revoked && now < valid_until(authority, timing);
}

} // namespace pollenhaven
