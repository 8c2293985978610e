#include "bench/variant.hpp"

#include <algorithm>

namespace pollenhaven::bench
{

namespace
{

constexpr milliseconds request_time{120000};

std::optional<endpoint_id>
least_loaded(const model_ref&, work_class,
             const std::vector<placement_candidate>& candidates)
{
    std::optional<endpoint_id> best;
    int best_load = 0;
    for (const placement_candidate& candidate : candidates)
    {
        const int load = candidate.queued + candidate.stalled + candidate.running;
        if (candidate.excluded || (best && load >= best_load))
            continue;
        best = candidate.endpoint;
        best_load = load;
    }
    return best;
}

bool is_ready(const endpoint_scheduler& state, const model_ref& adapter)
{
    const auto slot = state.residents.find(adapter);
    return slot != state.residents.end() && slot->second.state == slot_state::ready;
}

bool is_awaited(const endpoint_scheduler& state, const model_ref& adapter)
{
    return std::any_of(state.queue.begin(), state.queue.end(),
                       [&](const queued_request& request)
                       { return request.model == adapter; });
}

std::optional<model_ref> least_recently_used(const endpoint_scheduler& state)
{
    std::optional<model_ref> victim;
    instant oldest{};
    for (const auto& [adapter, slot] : state.residents)
    {
        if (slot.state != slot_state::ready || slot.in_use > 0 ||
            is_awaited(state, adapter))
            continue;
        if (victim && slot.last_used >= oldest)
            continue;
        victim = adapter;
        oldest = slot.last_used;
    }
    return victim;
}

void request_slots(endpoint_scheduler& state, scheduler_actions& actions)
{
    auto freed = std::count_if(state.residents.begin(), state.residents.end(),
                               [](const auto& entry)
                               { return entry.second.state == slot_state::unloading; });
    for (const queued_request& request : state.queue)
    {
        if (state.residents.count(request.model) > 0)
            continue;
        if (static_cast<int>(state.residents.size()) < state.slots)
        {
            state.residents[request.model].state = slot_state::loading;
            actions.emplace_back(load_action{request.model});
            continue;
        }
        if (freed-- > 0)
            continue;
        const std::optional<model_ref> victim = least_recently_used(state);
        if (!victim)
            return;
        state.residents[*victim].state = slot_state::unloading;
        actions.emplace_back(unload_action{*victim});
    }
}

scheduler_actions schedule_in_order(endpoint_scheduler& state, instant now)
{
    scheduler_actions actions;
    for (auto next = state.queue.begin();
         next != state.queue.end() &&
         static_cast<int>(state.running.size()) < state.max_batch;)
    {
        if (!is_ready(state, next->model))
        {
            ++next;
            continue;
        }
        adapter_slot& slot = state.residents[next->model];
        ++slot.in_use;
        slot.last_used = now;
        state.running[next->id] = *next;
        actions.emplace_back(dispatch_action{*next});
        next = state.queue.erase(next);
    }
    request_slots(state, actions);
    return actions;
}

scheduler_actions naive_request(endpoint_scheduler& state, fair_share&,
                                const queued_request& request, instant now)
{
    state.queue.push_back(request);
    return schedule_in_order(state, now);
}

scheduler_actions naive_finished(endpoint_scheduler& state, fair_share&,
                                 const request_id& request, instant now)
{
    const auto ended = state.running.find(request);
    if (ended == state.running.end())
        return {};
    const auto slot = state.residents.find(ended->second.model);
    if (slot != state.residents.end())
        --slot->second.in_use;
    state.running.erase(ended);
    return schedule_in_order(state, now);
}

scheduler_actions naive_load_ended(endpoint_scheduler& state, fair_share&,
                                   const model_ref& adapter, bool loaded, instant now)
{
    const auto slot = state.residents.find(adapter);
    if (slot == state.residents.end())
        return {};
    if (loaded)
        slot->second.state = slot_state::ready;
    else
        state.residents.erase(slot);
    return schedule_in_order(state, now);
}

scheduler_actions naive_unload_ended(endpoint_scheduler& state, fair_share&,
                                     const model_ref& adapter, bool, instant now)
{
    state.residents.erase(adapter);
    return schedule_in_order(state, now);
}

scheduler_actions naive_restarted(endpoint_scheduler& state, fair_share&, instant now)
{
    state.residents.clear();
    state.running.clear();
    return schedule_in_order(state, now);
}

} // namespace

variant pollenhaven_variant(const store_limits& store)
{
    placement_costs costs;
    costs.load_time = store.load_time;
    costs.loads_per_second = store.loads_per_second;
    variant made;
    made.name = "pollenhaven";
    made.choose = [costs](const model_ref& model, work_class priority,
                          const std::vector<placement_candidate>& candidates)
        -> std::optional<endpoint_id>
    {
        const std::optional<placement> chosen = choose_endpoint(model, candidates, costs);
        if (!chosen || refuse_for_now(*chosen, priority, request_time, {}))
            return std::nullopt;
        return chosen->endpoint;
    };
    made.on_request = on_request;
    made.on_finished = on_finished;
    made.on_load_ended = on_load_ended;
    made.on_unload_ended = on_unload_ended;
    made.on_permit = on_permit;
    made.on_restarted = on_restarted;
    made.on_tick = on_tick;
    return made;
}

variant naive_variant()
{
    variant made;
    made.name = "naive";
    made.choose = least_loaded;
    made.on_request = naive_request;
    made.on_finished = naive_finished;
    made.on_load_ended = naive_load_ended;
    made.on_unload_ended = naive_unload_ended;
    made.on_permit = on_permit;
    made.on_restarted = naive_restarted;
    made.on_tick = [](endpoint_scheduler& state, fair_share&, instant now)
    { return schedule_in_order(state, now); };
    made.uses_permits = false;
    return made;
}

} // namespace pollenhaven::bench
