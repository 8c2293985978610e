#include "servers/endpoint_digests.hpp"

#include "policy/adapter_slots.hpp"

#include <cmath>

namespace pollenhaven
{

endpoint_digest to_digest(const endpoint_scheduler& scheduler, bool ready, instant now)
{
    endpoint_digest digest;
    digest.id = scheduler.endpoint;
    digest.ready = ready;
    digest.stalled = stalled_requests(scheduler);
    // Rounded, so that the slow decay alone is no news.
    digest.victim_heat = std::round(next_victim_heat(scheduler, now));
    digest.queued = queued_by_partner(scheduler);
    digest.running = static_cast<int>(scheduler.running.size());
    digest.max_batch = scheduler.max_batch;
    digest.busy_slots = busy_slots(scheduler);
    digest.slots = scheduler.slots;
    for (const auto& [adapter, slot] : scheduler.residents)
    {
        if (slot.state == slot_state::unloading)
            continue;
        digest.adapters[adapter] =
            slot.state == slot_state::ready ? residency::resident : residency::loading;
    }
    return digest;
}

} // namespace pollenhaven
