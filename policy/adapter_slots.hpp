#ifndef POLLENHAVEN_POLICY_ADAPTER_SLOTS_HPP
#define POLLENHAVEN_POLICY_ADAPTER_SLOTS_HPP

#include "policy/endpoint_scheduler.hpp"

#include <map>
#include <optional>

namespace pollenhaven
{

// How often the adapter was asked for lately, at this moment.
double heat_at(const endpoint_scheduler& state, const model_ref& adapter, instant now);

// Counts one request for the adapter.
void add_heat(endpoint_scheduler& state, const model_ref& adapter, instant now);

// Forgets adapters that have been cold for long, so that the state stays bounded.
void forget_cold(endpoint_scheduler& state, instant now);

// True if a queued request waits for the adapter.
bool is_awaited(const endpoint_scheduler& state, const model_ref& adapter);

// True if the adapter is in a slot and can serve.
bool is_ready(const endpoint_scheduler& state, const model_ref& adapter);

// True if the slot's adapter is in use, awaited or being changed.
bool is_busy(const endpoint_scheduler& state, const model_ref& adapter,
             const adapter_slot& slot);

// The least valuable adapter that nobody uses or awaits. Interactive work may displace
// any such adapter; overnight work only one that is colder than its own.
std::optional<model_ref> eviction_victim(const endpoint_scheduler& state,
                                         const model_ref& newcomer, work_class priority,
                                         instant now);

// True if nothing runs and no order is open.
bool is_idle(const endpoint_scheduler& state);

// Slots whose adapter is in use, awaited or being changed.
int busy_slots(const endpoint_scheduler& state);

// The heat of the adapter that the next load would evict; 0 while a slot is free.
double next_victim_heat(const endpoint_scheduler& state, instant now);

// Queued requests whose adapter isn't ready.
int stalled_requests(const endpoint_scheduler& state);

// Requests that wait for a place in the batch, by partner.
std::map<partner_id, int> queued_by_partner(const endpoint_scheduler& state);

// Adapters that wait for the store or are being loaded.
int loading_adapters(const endpoint_scheduler& state);

} // namespace pollenhaven

#endif
