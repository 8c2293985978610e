#include "policy/lease_validity.hpp"

#include <algorithm>

namespace pollenhaven
{

void confirm_lease(lease_validity& validity, instant sent_at)
{
    validity.renewal_sent_at = std::max(validity.renewal_sent_at, sent_at);
}

void confirm_outage(lease_validity& validity, instant start)
{
    // A lease that was never confirmed cannot be extended.
    if (validity.renewal_sent_at == instant{})
        return;
    validity.outage_validity_start = std::max(validity.outage_validity_start, start);
}

instant valid_until(const lease_validity& validity, const lease_timing& timing)
{
    const instant newest =
        std::max(validity.renewal_sent_at, validity.outage_validity_start);
    if (newest == instant{})
        return instant{};
    return newest + timing.time_to_live - timing.margin;
}

bool is_lease_valid(const lease_validity& validity, const lease_timing& timing,
                    instant now)
{
    return !validity.revoked && now < valid_until(validity, timing);
}

} // namespace pollenhaven
