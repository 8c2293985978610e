#include "policy/fleet/engine_orders.hpp"

#include <algorithm>
#include <cmath>

namespace pollenhaven
{

namespace
{

// A wish that nobody repeated for this long has been served elsewhere or given up.
constexpr milliseconds wish_lifetime{300};
// Daemons tell their use of adapters five times a second; an adapter that was used within
// this time may be in use by one that hasn't told yet.
constexpr milliseconds recent_use{400};
// What a late answer is worth against one on time, on the partners' sheets.
constexpr double late_worth = 0.3;
constexpr double heat_half_life_s = 6;
// A request that comes a little too early is refused and sent again at the cost of the
// shared budget.
constexpr milliseconds load_margin{10};
constexpr milliseconds failed_order_pause{300};
// A base model takes about 600 ms from the store, more while many engines load theirs; an
// order that wasn't carried out in this time is repeated.
constexpr milliseconds base_model_load{4000};
constexpr milliseconds model_report_interval{300};
// Reports are some hundred milliseconds old; one that is asked for later than this after
// the last accepted order counts that order.
constexpr milliseconds oldest_report{1000};
// Orders without an answer that are repeated at once, before the engine counts as away.
constexpr int most_quick_repeats = 4;

double heat_now(const adapter_slot& slot, instant now)
{
    if (slot.last_used == instant{})
        return 0;
    return slot.decayed_requests *
           std::exp2(-to_seconds(now - slot.last_used) / heat_half_life_s);
}

void drop_old_wishes(engine_state& engine, instant now)
{
    std::erase_if(engine.pending_loads, [now](const auto& entry)
                  { return now - entry.second.last_requested_at > wish_lifetime; });
}

bool is_served(const engine_state& engine, const adapter_id& adapter,
               const pending_load& wish)
{
    const auto found = engine.slots.find(adapter);
    if (found == engine.slots.end() || found->second.state == slot_state::unloading)
        return false;
    return !wish.version || found->second.version >= *wish.version;
}

// The wish to serve next: the one worth most to those who wait, then the most urgent,
// then the oldest. Of equals, loads that only relieve another engine come last.
std::map<adapter_id, pending_load>::iterator next_wish(engine_state& engine,
                                                       instant ready_at)
{
    return std::min_element(
        engine.pending_loads.begin(), engine.pending_loads.end(),
        [ready_at](const auto& left, const auto& right)
        {
            const pending_load& a = left.second;
            const pending_load& b = right.second;
            const double a_cost = -load_benefit(a, ready_at);
            const double b_cost = -load_benefit(b, ready_at);
            return std::tie(a_cost, a.replica, a.urgency, a.first_requested_at) <
                   std::tie(b_cost, b.replica, b.urgency, b.first_requested_at);
        });
}

bool loads_are_full(const engine_state& engine, bool from_store, int loads_elsewhere,
                    const engine_timing& timing, instant now)
{
    int loading = 0;
    int from_stores = 0;
    for (const auto& [adapter, slot] : engine.slots)
    {
        if (slot.state != slot_state::loading || slot.ready_at <= now)
            continue;
        ++loading;
        from_stores += slot.from_store ? 1 : 0;
    }
    const int most = loads_elsewhere < timing.burst_threshold
                         ? timing.burst_store_loads
                         : timing.store_loads_at_once;
    return loading >= timing.loads_at_once || (from_store && from_stores >= most);
}

// The least used adapter that no request needs; none if all are in use.
std::map<adapter_id, adapter_slot>::iterator
find_victim(engine_state& engine, const adapter_usage& use, instant now)
{
    auto victim = engine.slots.end();
    double lowest = 0;
    for (auto at = engine.slots.begin(); at != engine.slots.end(); ++at)
    {
        const adapter_slot& slot = at->second;
        if (slot.state != slot_state::resident || use(at->first) > 0 ||
            now - std::max(slot.last_used, slot.changed_at) < recent_use)
            continue;
        const double decayed_requests = heat_now(slot, now);
        if (victim == engine.slots.end() || decayed_requests < lowest)
        {
            victim = at;
            lowest = decayed_requests;
        }
    }
    return victim;
}

engine_action send(engine_state& engine, engine_order order)
{
    order.model = engine.model;
    order.endpoint = engine.endpoint;
    order.expected_orders = engine.accepted_orders;
    engine.outstanding_order = order;
    return order;
}

engine_action order_unload(engine_state& engine, const adapter_id& adapter, instant now)
{
    adapter_slot& slot = engine.slots.at(adapter);
    slot.state = slot_state::unloading;
    slot.changed_at = now;
    engine_order order;
    order.action = order_action::unload;
    order.adapter = adapter;
    return send(engine, order);
}

engine_action order_load(engine_state& engine, const adapter_id& adapter,
                         const pending_load& wish)
{
    engine_order order;
    order.action = order_action::load;
    order.adapter = adapter;
    order.version = wish.version;
    return send(engine, order);
}

engine_action order_base_model(engine_state& engine, instant now)
{
    if (engine.model_ordered_at != instant{} &&
        now - engine.model_ordered_at < base_model_load)
        return {};
    engine.model_ordered_at = now;
    return send(engine, engine_order{});
}

engine_action serve_wishes(engine_state& engine, const adapter_usage& use,
                           int loads_elsewhere, const engine_timing& timing, instant now)
{
    std::erase_if(engine.pending_loads, [&](const auto& entry)
                  { return is_served(engine, entry.first, entry.second); });
    const auto wish = next_wish(engine, now + timing.store_load);
    if (wish == engine.pending_loads.end())
        return {};
    const adapter_id adapter = wish->first;
    const bool from_store =
        !engine.previously_loaded.contains(adapter) || wish->second.version;
    if (loads_are_full(engine, from_store, loads_elsewhere, timing, now))
        return {};
    const auto held = engine.slots.find(adapter);
    if (held != engine.slots.end() && held->second.state == slot_state::unloading)
        return {};
    const bool replaces = held != engine.slots.end();
    if (replaces || static_cast<int>(engine.slots.size()) < engine.slot_count)
        return order_load(engine, adapter, wish->second);
    const auto victim = find_victim(engine, use, now);
    if (victim == engine.slots.end() ||
        (wish->second.replica && heat_now(victim->second, now) > 1))
        return {};
    return order_unload(engine, victim->first, now);
}

// Loads share the weight store beyond a number of them, and then take longer.
milliseconds store_load_time(const engine_timing& timing, int loads_elsewhere)
{
    const double share =
        static_cast<double>(loads_elsewhere + 3) / timing.loads_at_full_speed;
    return milliseconds(static_cast<long long>(
        static_cast<double>(timing.store_load.count()) * std::max(1.0, share)));
}

void note_loaded(engine_state& engine, const engine_order& order, bool complete,
                 int loads_elsewhere, const engine_timing& timing, instant now)
{
    if (order.adapter.empty())
    {
        engine.has_model = complete;
        return;
    }
    adapter_slot& slot = engine.slots[order.adapter];
    slot.from_store = !engine.previously_loaded.contains(order.adapter);
    slot.version = order.version.value_or(adapter_version{1});
    slot.state = complete ? slot_state::resident : slot_state::loading;
    slot.changed_at = now;
    slot.ready_at = complete
                        ? now
                        : now + load_margin +
                              (slot.from_store ? store_load_time(timing, loads_elsewhere)
                                               : timing.memory_load);
    engine.previously_loaded.insert(order.adapter);
    engine.pending_loads.erase(order.adapter);
}

void note_unloaded(engine_state& engine, const engine_order& order, bool complete)
{
    if (complete)
        engine.slots.erase(order.adapter);
}

void ask_soon(engine_state& engine, milliseconds delay, instant now)
{
    engine.report_due = std::min(engine.report_due, now + delay);
}

void adopt_slots(engine_state& engine, const std::vector<versioned_adapter>& adapters,
                 slot_state state, const engine_timing& timing, instant now)
{
    for (const versioned_adapter& held : adapters)
    {
        adapter_slot& slot = engine.slots[held.adapter];
        slot.version = held.version;
        engine.previously_loaded.insert(held.adapter);
        if (slot.state == state && slot.changed_at != instant{})
            continue;
        if (slot.state == slot_state::unloading)
            continue;
        slot.state = state;
        slot.changed_at = now;
        slot.ready_at = state == slot_state::resident ? now : now + timing.store_load;
    }
}

void drop_unreported(engine_state& engine, const engine_inventory& report)
{
    std::set<adapter_id> reported;
    for (const versioned_adapter& held : report.adapters)
        reported.insert(held.adapter);
    for (const versioned_adapter& held : report.loading)
        reported.insert(held.adapter);
    std::erase_if(engine.slots,
                  [&](const auto& entry) { return !reported.contains(entry.first); });
}

} // namespace

void add_pending_load(engine_state& engine, const adapter_id& adapter,
                      const pending_load& wish, instant now)
{
    const auto [found, added] = engine.pending_loads.try_emplace(adapter, wish);
    pending_load& known = found->second;
    if (added)
        known.first_requested_at = now;
    known.last_requested_at = now;
    known.urgency = std::min(known.urgency, wish.urgency);
    known.replica = known.replica && wish.replica;
    known.version = std::max(known.version, wish.version);
    for (const auto& [daemon, waiting] : wish.waiting)
        known.waiting[daemon] = waiting;
}

double load_benefit(const pending_load& wish, instant ready_at)
{
    double worth = 0;
    for (const auto& [daemon, requests] : wish.waiting)
        worth += requests.count * (ready_at <= requests.ready_deadline ? 1 : late_worth);
    return worth;
}

void drop_loads_served_elsewhere(engine_state& engine,
                                 const std::function<bool(const adapter_id&)>& served)
{
    std::erase_if(engine.pending_loads, [&](const auto& entry)
                  { return !entry.second.replica && served(entry.first); });
}

std::optional<instant> next_completion(const engine_state& engine, instant now)
{
    std::optional<instant> next;
    for (const auto& [adapter, slot] : engine.slots)
        if (slot.state == slot_state::loading && slot.ready_at > now &&
            (!next || slot.ready_at < *next))
            next = slot.ready_at;
    return next;
}

void record_adapter_usage(engine_state& engine, const adapter_id& adapter, int requests,
                          instant now)
{
    const auto found = engine.slots.find(adapter);
    if (found == engine.slots.end())
        return;
    adapter_slot& slot = found->second;
    slot.decayed_requests = heat_now(slot, now) + requests;
    slot.last_used = now;
}

engine_action next_action(engine_state& engine, const adapter_usage& use,
                          int loads_elsewhere, const engine_timing& timing, instant now)
{
    if (engine.outstanding_order || engine.report_outstanding)
        return {};
    drop_old_wishes(engine, now);
    for (auto& [adapter, slot] : engine.slots)
        if (slot.state == slot_state::loading && slot.ready_at <= now)
            slot.state = slot_state::resident;
    if (now >= engine.report_due)
    {
        engine.report_outstanding = true;
        return report_request{};
    }
    if (!engine.accepted_orders || now < engine.orders_paused_until)
        return {};
    if (!engine.has_model)
        return order_base_model(engine, now);
    return serve_wishes(engine, use, loads_elsewhere, timing, now);
}

void record_order_result(engine_state& engine, order_outcome outcome, int loads_elsewhere,
                         const engine_timing& timing, instant now)
{
    const engine_order order = *engine.outstanding_order;
    engine.outstanding_order.reset();
    const bool carried_out =
        outcome == order_outcome::accepted || outcome == order_outcome::done;
    const bool complete = outcome == order_outcome::done;
    if (carried_out)
    {
        engine.unanswered_orders = 0;
        // A load that holds already isn't among the orders that the engine counts.
        const bool holds = complete && order.action == order_action::load;
        if (holds)
            ask_soon(engine, timing.report_lag, now);
        else
        {
            engine.accepted_orders = *order.expected_orders + 1;
            engine.accepted_at = now;
        }
        if (order.action == order_action::load)
            note_loaded(engine, order, complete, loads_elsewhere, timing, now);
        else
            note_unloaded(engine, order, complete);
        if (!complete && order.action == order_action::unload)
            ask_soon(engine, 2 * timing.report_lag, now);
        if (order.adapter.empty())
            ask_soon(engine, model_report_interval, now);
        return;
    }
    if (order.adapter.empty())
        engine.model_ordered_at = {};
    if (order.action == order_action::unload && engine.slots.contains(order.adapter))
        engine.slots.at(order.adapter).state = slot_state::resident;
    if (outcome == order_outcome::conflict)
    {
        // Either too many loads are under way or its count differs; a report tells.
        engine.orders_paused_until = now + timing.report_lag;
        ask_soon(engine, timing.report_lag, now);
        return;
    }
    if (outcome == order_outcome::unanswered)
    {
        ++engine.unanswered_orders;
        if (engine.unanswered_orders > most_quick_repeats)
            engine.orders_paused_until = now + failed_order_pause;
        return;
    }
    engine.orders_paused_until = now + failed_order_pause;
    engine.pending_loads.erase(order.adapter);
}

void apply_report(engine_state& engine, const engine_inventory& report,
                  const engine_timing& timing, instant sent, instant now)
{
    engine.report_outstanding = false;
    engine.report_due = now + timing.report_interval;
    const bool is_old =
        engine.accepted_orders && report.accepted_orders < *engine.accepted_orders;
    if (is_old && sent - engine.accepted_at < oldest_report)
    {
        // Our own last orders aren't in it yet.
        engine.report_due = now + timing.report_lag;
        return;
    }
    engine.accepted_orders = report.accepted_orders;
    engine.has_model =
        engine.model.empty() || std::find(report.models.begin(), report.models.end(),
                                          engine.model) != report.models.end();
    drop_unreported(engine, report);
    adopt_slots(engine, report.adapters, slot_state::resident, timing, now);
    adopt_slots(engine, report.loading, slot_state::loading, timing, now);
    for (const auto& [adapter, slot] : engine.slots)
        if (slot.state == slot_state::unloading)
            engine.report_due = now + 2 * timing.report_lag;
    if (!engine.has_model && engine.model_ordered_at != instant{})
        engine.report_due = now + model_report_interval;
}

void report_failed(engine_state& engine, const engine_timing& timing, instant now)
{
    engine.report_outstanding = false;
    engine.report_due = now + timing.report_lag;
}

} // namespace pollenhaven
