#ifndef POLLENHAVEN_SERVERS_OWNERSHIP_GUARD_HPP
#define POLLENHAVEN_SERVERS_OWNERSHIP_GUARD_HPP

#include "core/ids.hpp"
#include "policy/lease_authority.hpp"
#include "servers/cluster_state.hpp"

#include <mutex>

namespace pollenhaven
{

// Answers, immediately before each dispatch and each order, whether this daemon is still
// the owner. Thread-safe.
class ownership_guard
{
public:
    ownership_guard(const cluster_state& cluster, daemon_id self,
                    incarnation_id incarnation, const lease_timing& timing);

    void confirm(instant sent);
    void attest(instant sent);
    // True if the lease stands and the newest ownership known names this incarnation with
    // this epoch.
    bool may_act_on(const endpoint_id& endpoint, ownership_epoch epoch) const;
    bool may_act_now() const;

private:
    const cluster_state& cluster_;
    daemon_id self_;
    incarnation_id incarnation_;
    lease_timing timing_;
    mutable std::mutex mutex_;
    lease_authority authority_;
};

} // namespace pollenhaven

#endif
