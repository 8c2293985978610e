#include "policy/adapter_slots.hpp"

#include <algorithm>
#include <cmath>

namespace pollenhaven
{

double heat_at(const endpoint_scheduler& state, const model_ref& adapter, instant now)
{
    const auto found = state.heat.find(adapter);
    if (found == state.heat.end())
        return 0;
    const double half_lives =
        to_seconds(now - found->second.updated) /
        static_cast<double>(std::max<long>(1, state.settings.heat_half_life.count()));
    return found->second.value * std::exp2(-half_lives);
}

void add_heat(endpoint_scheduler& state, const model_ref& adapter, instant now)
{
    const double value = heat_at(state, adapter, now) + 1.0;
    state.heat[adapter] = {value, now};
}

void forget_cold(endpoint_scheduler& state, instant now)
{
    constexpr std::size_t heat_entries_limit = 4096;
    constexpr double cold = 0.05;
    if (state.heat.size() < heat_entries_limit)
        return;
    std::erase_if(state.heat, [&](const auto& entry)
                  { return heat_at(state, entry.first, now) < cold; });
}

bool is_awaited(const endpoint_scheduler& state, const model_ref& adapter)
{
    return std::any_of(state.queue.begin(), state.queue.end(),
                       [&](const queued_request& request)
                       { return request.model == adapter; });
}

bool is_ready(const endpoint_scheduler& state, const model_ref& adapter)
{
    const auto slot = state.residents.find(adapter);
    return slot != state.residents.end() && slot->second.state == slot_state::ready;
}

bool is_busy(const endpoint_scheduler& state, const model_ref& adapter,
             const adapter_slot& slot)
{
    return slot.state != slot_state::ready || slot.in_use > 0 || slot.foreign_use ||
           is_awaited(state, adapter);
}

std::optional<model_ref> eviction_victim(const endpoint_scheduler& state,
                                         const model_ref& newcomer, work_class priority,
                                         instant now)
{
    std::optional<model_ref> victim;
    double victim_heat = 0;
    for (const auto& [adapter, slot] : state.residents)
    {
        if (is_busy(state, adapter, slot))
            continue;
        const double heat = heat_at(state, adapter, now);
        if (victim && heat >= victim_heat)
            continue;
        victim = adapter;
        victim_heat = heat;
    }
    if (victim && priority == work_class::overnight &&
        victim_heat > heat_at(state, newcomer, now))
        return std::nullopt;
    return victim;
}

bool is_idle(const endpoint_scheduler& state)
{
    const bool orders_open =
        std::any_of(state.residents.begin(), state.residents.end(),
                    [](const auto& entry)
                    {
                        return entry.second.state == slot_state::loading ||
                               entry.second.state == slot_state::unloading;
                    });
    return state.running.empty() && !orders_open;
}

int busy_slots(const endpoint_scheduler& state)
{
    return static_cast<int>(std::count_if(
        state.residents.begin(), state.residents.end(),
        [&](const auto& entry) { return is_busy(state, entry.first, entry.second); }));
}

double next_victim_heat(const endpoint_scheduler& state, instant now)
{
    if (static_cast<int>(state.residents.size()) < state.slots)
        return 0;
    const std::optional<model_ref> victim =
        eviction_victim(state, {}, work_class::interactive, now);
    return victim ? heat_at(state, *victim, now) : 0;
}

int stalled_requests(const endpoint_scheduler& state)
{
    return static_cast<int>(std::count_if(state.queue.begin(), state.queue.end(),
                                          [&](const queued_request& request)
                                          { return !is_ready(state, request.model); }));
}

std::map<partner_id, int> queued_by_partner(const endpoint_scheduler& state)
{
    std::map<partner_id, int> queued;
    for (const queued_request& request : state.queue)
    {
        if (is_ready(state, request.model))
            ++queued[request.partner];
    }
    return queued;
}

int loading_adapters(const endpoint_scheduler& state)
{
    return static_cast<int>(
        std::count_if(state.residents.begin(), state.residents.end(),
                      [](const auto& entry)
                      {
                          return entry.second.state == slot_state::awaiting_permit ||
                                 entry.second.state == slot_state::loading;
                      }));
}

} // namespace pollenhaven
