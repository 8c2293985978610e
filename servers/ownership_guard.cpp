#include "servers/ownership_guard.hpp"

#include <utility>

namespace pollenhaven
{

ownership_guard::ownership_guard(const cluster_state& cluster, daemon_id self,
                                 incarnation_id incarnation, const lease_timing& timing)
    : cluster_(cluster), self_(std::move(self)), incarnation_(std::move(incarnation)),
      timing_(timing)
{
}

void ownership_guard::confirm(instant sent)
{
    const std::lock_guard lock(mutex_);
    confirm_lease(authority_, sent);
}

void ownership_guard::attest(instant sent)
{
    const std::lock_guard lock(mutex_);
    attest_outage(authority_, sent);
}

bool ownership_guard::may_act_now() const
{
    const std::lock_guard lock(mutex_);
    return may_act(authority_, timing_, boot_clock::now());
}

bool ownership_guard::may_act_on(const endpoint_id& endpoint, ownership_epoch epoch) const
{
    const std::shared_ptr<const cluster_snapshot> known = cluster_.snapshot();
    const auto record = known->ownership.endpoints.find(endpoint);
    if (record == known->ownership.endpoints.end())
        return false;
    const ownership_record& named = record->second;
    const bool ours =
        named.owner == self_ && named.incarnation == incarnation_ && named.epoch == epoch;
    return ours && may_act_now();
}

} // namespace pollenhaven
