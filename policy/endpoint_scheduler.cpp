#include "policy/endpoint_scheduler.hpp"

#include "policy/adapter_slots.hpp"

#include <algorithm>
#include <set>

namespace pollenhaven
{

namespace
{

constexpr milliseconds minimum_retry_after{200};

// An estimate of when the request's work could begin, for callers that are turned away.
milliseconds expected_wait(const endpoint_scheduler& state)
{
    const auto waiting = static_cast<long>(state.queue.size());
    const long batch = std::max(1, state.max_batch);
    const milliseconds drain = state.settings.expected_service_time * waiting / batch;
    return std::max(minimum_retry_after, drain);
}

reject_action reject(const endpoint_scheduler& state, const queued_request& request,
                     const std::string& code, const std::string& message)
{
    failure reason;
    reason.run = verdict::not_run;
    reason.code = code;
    reason.message = message;
    reason.retry_after = expected_wait(state);
    return {request, reason};
}

bool load_is_backed_off(const endpoint_scheduler& state, const model_ref& adapter,
                        instant now)
{
    const auto retry = state.load_retry_at.find(adapter);
    return retry != state.load_retry_at.end() && now < retry->second;
}

// Gives the adapter a slot, or makes room for one. At most one order is opened per call.
void request_slot(endpoint_scheduler& state, const queued_request& request, instant now,
                  scheduler_actions& actions)
{
    if (state.residents.count(request.model) > 0)
        return;
    if (load_is_backed_off(state, request.model, now))
        return;
    if (static_cast<int>(state.residents.size()) < state.slots)
    {
        state.residents[request.model] = adapter_slot{};
        actions.emplace_back(ask_permit_action{request.model, request.priority});
        return;
    }
    const std::optional<model_ref> victim =
        eviction_victim(state, request.model, request.priority, now);
    if (!victim)
        return;
    state.residents[*victim].state = slot_state::unloading;
    actions.emplace_back(unload_action{*victim});
}

// Slots that are being emptied already for a waiting adapter.
int slots_being_freed(const endpoint_scheduler& state)
{
    return static_cast<int>(std::count_if(
        state.residents.begin(), state.residents.end(),
        [](const auto& entry) { return entry.second.state == slot_state::unloading; }));
}

std::vector<partner_id> dispatchable_partners(const endpoint_scheduler& state,
                                              work_class priority)
{
    std::set<partner_id> partners;
    for (const queued_request& request : state.queue)
    {
        if (request.priority == priority && is_ready(state, request.model))
            partners.insert(request.partner);
    }
    return {partners.begin(), partners.end()};
}

bool dispatch_one(endpoint_scheduler& state, fair_share& shares, work_class priority,
                  instant now, scheduler_actions& actions)
{
    const std::vector<partner_id> partners = dispatchable_partners(state, priority);
    if (partners.empty())
        return false;
    const partner_id partner = next_partner(shares, partners);
    const auto next = std::find_if(state.queue.begin(), state.queue.end(),
                                   [&](const queued_request& request)
                                   {
                                       return request.priority == priority &&
                                              request.partner == partner &&
                                              is_ready(state, request.model);
                                   });
    const queued_request request = *next;
    state.queue.erase(next);
    adapter_slot& slot = state.residents[request.model];
    ++slot.in_use;
    slot.last_used = now;
    charge(shares, request.partner, static_cast<double>(request.tokens.value));
    state.running[request.id] = request;
    actions.emplace_back(dispatch_action{request});
    return true;
}

void dispatch_ready(endpoint_scheduler& state, fair_share& shares, instant now,
                    scheduler_actions& actions)
{
    while (static_cast<int>(state.running.size()) < state.max_batch)
    {
        if (dispatch_one(state, shares, work_class::interactive, now, actions))
            continue;
        if (!dispatch_one(state, shares, work_class::overnight, now, actions))
            return;
    }
}

void request_slots(endpoint_scheduler& state, instant now, scheduler_actions& actions)
{
    int freed = slots_being_freed(state);
    std::set<model_ref> considered;
    for (const work_class priority : {work_class::interactive, work_class::overnight})
    {
        for (const queued_request& request : state.queue)
        {
            if (request.priority != priority || state.residents.count(request.model) > 0)
                continue;
            if (!considered.insert(request.model).second)
                continue;
            // A slot that is being freed is spoken for by the first waiting adapter.
            if (freed > 0)
            {
                --freed;
                continue;
            }
            request_slot(state, request, now, actions);
        }
    }
}

scheduler_actions schedule(endpoint_scheduler& state, fair_share& shares, instant now)
{
    scheduler_actions actions;
    if (!state.reconciled || state.draining)
        return actions;
    dispatch_ready(state, shares, now, actions);
    request_slots(state, now, actions);
    return actions;
}

void append(scheduler_actions& target, scheduler_actions more)
{
    std::move(more.begin(), more.end(), std::back_inserter(target));
}

void release_slot_use(endpoint_scheduler& state, const model_ref& adapter)
{
    const auto slot = state.residents.find(adapter);
    if (slot != state.residents.end() && slot->second.in_use > 0)
        --slot->second.in_use;
}

scheduler_actions reject_waiters(endpoint_scheduler& state, const model_ref& adapter)
{
    scheduler_actions actions;
    for (const queued_request& request : state.queue)
    {
        if (request.model == adapter)
            actions.emplace_back(reject(state, request, "adapter_load_failed",
                                        "adapter " + adapter.value +
                                            " could not be loaded on " +
                                            state.endpoint.value));
    }
    std::erase_if(state.queue, [&](const queued_request& request)
                  { return request.model == adapter; });
    return actions;
}

// Drops the wish for adapters that nobody waits for any more.
void withdraw_unwanted(endpoint_scheduler& state, scheduler_actions& actions)
{
    for (auto slot = state.residents.begin(); slot != state.residents.end();)
    {
        if (slot->second.state == slot_state::awaiting_permit &&
            !is_awaited(state, slot->first))
        {
            actions.emplace_back(withdraw_permit_action{slot->first});
            slot = state.residents.erase(slot);
        }
        else
            ++slot;
    }
}

} // namespace

scheduler_actions on_request(endpoint_scheduler& state, fair_share& shares,
                             const queued_request& request, instant now)
{
    if (state.draining)
        return {reject(state, request, "endpoint_moving",
                       "endpoint " + state.endpoint.value + " is being handed over")};
    if (state.queue.size() >= state.settings.max_queue)
        return {reject(state, request, "queue_full",
                       "the queue of endpoint " + state.endpoint.value + " is full")};
    if (load_is_backed_off(state, request.model, now) && !is_ready(state, request.model))
        return {reject(state, request, "adapter_load_failed",
                       "adapter " + request.model.value + " could not be loaded on " +
                           state.endpoint.value + " a moment ago")};
    const bool first_of_partner = std::none_of(
        state.queue.begin(), state.queue.end(),
        [&](const queued_request& other) { return other.partner == request.partner; });
    if (first_of_partner)
        become_backlogged(shares, request.partner);
    add_heat(state, request.model, now);
    forget_cold(state, now);
    state.queue.push_back(request);
    scheduler_actions actions;
    const auto slot = state.residents.find(request.model);
    // Asking again lets a person's request raise the priority of a load asked for
    // overnight.
    if (slot != state.residents.end() &&
        slot->second.state == slot_state::awaiting_permit)
        actions.emplace_back(ask_permit_action{request.model, request.priority});
    append(actions, schedule(state, shares, now));
    return actions;
}

scheduler_actions on_finished(endpoint_scheduler& state, fair_share& shares,
                              const request_id& request, instant now)
{
    const auto ended = state.running.find(request);
    if (ended == state.running.end())
        return {};
    release_slot_use(state, ended->second.model);
    state.running.erase(ended);
    return schedule(state, shares, now);
}

scheduler_actions on_cancelled(endpoint_scheduler& state, fair_share& shares,
                               const request_id& request, instant now)
{
    std::erase_if(state.queue,
                  [&](const queued_request& queued) { return queued.id == request; });
    scheduler_actions actions;
    withdraw_unwanted(state, actions);
    append(actions, schedule(state, shares, now));
    return actions;
}

scheduler_actions on_permit(endpoint_scheduler& state, fair_share& shares,
                            const model_ref& adapter, instant now)
{
    const auto slot = state.residents.find(adapter);
    if (slot == state.residents.end() ||
        slot->second.state != slot_state::awaiting_permit)
        return {withdraw_permit_action{adapter}};
    slot->second.state = slot_state::loading;
    scheduler_actions actions{load_action{adapter}};
    append(actions, schedule(state, shares, now));
    return actions;
}

scheduler_actions on_load_ended(endpoint_scheduler& state, fair_share& shares,
                                const model_ref& adapter, bool loaded, instant now)
{
    const auto slot = state.residents.find(adapter);
    if (slot == state.residents.end() || slot->second.state != slot_state::loading)
        return {};
    if (loaded)
    {
        slot->second.state = slot_state::ready;
        slot->second.last_used = now;
        state.load_failures.erase(adapter);
        state.load_retry_at.erase(adapter);
        return schedule(state, shares, now);
    }
    state.residents.erase(slot);
    const int failures = ++state.load_failures[adapter];
    constexpr int doubling_limit = 10;
    const milliseconds backoff = std::min(
        state.settings.load_backoff_limit,
        state.settings.load_backoff * (1 << std::min(failures - 1, doubling_limit)));
    state.load_retry_at[adapter] = now + backoff;
    scheduler_actions actions = reject_waiters(state, adapter);
    append(actions, schedule(state, shares, now));
    return actions;
}

scheduler_actions on_unload_ended(endpoint_scheduler& state, fair_share& shares,
                                  const model_ref& adapter, bool unloaded, instant now)
{
    const auto slot = state.residents.find(adapter);
    if (slot == state.residents.end() || slot->second.state != slot_state::unloading)
        return {};
    if (unloaded)
        state.residents.erase(slot);
    else
        slot->second.state = slot_state::ready;
    return schedule(state, shares, now);
}

scheduler_actions on_reconciled(endpoint_scheduler& state, fair_share& shares, int slots,
                                int max_batch, const std::map<model_ref, int>& resident,
                                instant now)
{
    const bool first = !state.reconciled;
    state.slots = slots;
    state.max_batch = max_batch;
    std::erase_if(state.residents,
                  [&](const auto& entry)
                  {
                      return entry.second.state == slot_state::ready &&
                             entry.second.in_use == 0 && resident.count(entry.first) == 0;
                  });
    for (const auto& [adapter, running] : resident)
    {
        const bool known = state.residents.count(adapter) > 0;
        adapter_slot& slot = state.residents[adapter];
        if (!known || slot.state == slot_state::awaiting_permit)
            slot.state = slot_state::ready;
        // Later, what runs there is our own work.
        if (first)
            slot.foreign_use = running > 0;
        slot.last_used = now;
    }
    state.reconciled = true;
    return schedule(state, shares, now);
}

void on_report(endpoint_scheduler& state, const std::map<model_ref, int>& resident)
{
    for (auto& [adapter, slot] : state.residents)
    {
        const auto reported = resident.find(adapter);
        if (reported == resident.end() || reported->second == 0)
            slot.foreign_use = false;
    }
}

scheduler_actions on_adapter_missing(endpoint_scheduler& state, fair_share& shares,
                                     const request_id& request, instant now)
{
    const auto refused = state.running.find(request);
    if (refused == state.running.end())
        return {};
    const queued_request waiting = refused->second;
    state.running.erase(refused);
    const auto slot = state.residents.find(waiting.model);
    if (slot != state.residents.end() && slot->second.state == slot_state::ready)
    {
        release_slot_use(state, waiting.model);
        if (slot->second.in_use == 0)
            state.residents.erase(slot);
    }
    state.queue.push_front(waiting);
    return schedule(state, shares, now);
}

scheduler_actions on_restarted(endpoint_scheduler& state, fair_share& shares, instant now)
{
    std::erase_if(state.residents, [](const auto& entry)
                  { return entry.second.state != slot_state::awaiting_permit; });
    state.running.clear();
    return schedule(state, shares, now);
}

scheduler_actions on_drain(endpoint_scheduler& state)
{
    state.draining = true;
    scheduler_actions actions;
    for (const queued_request& request : state.queue)
        actions.emplace_back(
            reject(state, request, "endpoint_moving",
                   "endpoint " + state.endpoint.value + " is being handed over"));
    state.queue.clear();
    withdraw_unwanted(state, actions);
    return actions;
}

scheduler_actions on_tick(endpoint_scheduler& state, fair_share& shares, instant now)
{
    scheduler_actions actions;
    for (const queued_request& request : state.queue)
    {
        if (request.start_by <= now)
            actions.emplace_back(reject(state, request, "no_start_in_time",
                                        "the request could not start in time"));
    }
    std::erase_if(state.queue,
                  [&](const queued_request& request) { return request.start_by <= now; });
    withdraw_unwanted(state, actions);
    append(actions, schedule(state, shares, now));
    return actions;
}

} // namespace pollenhaven
