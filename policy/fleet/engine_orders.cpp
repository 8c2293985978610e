#include "policy/fleet/engine_orders.hpp"

#include "policy/fleet/store_load_admission.hpp"

#include <algorithm>
#include <cmath>

namespace pollenhaven
{

namespace
{

// A pending load that was not requested again for this long expires: another engine
// serves the adapter, or the requests that waited for it have ended.
constexpr milliseconds pending_load_lifetime{300};
// Value of a response that misses the target latency relative to one within it, from the
// partners' deployment profiles.
constexpr double late_response_value = 0.3;
constexpr double request_half_life_s = 6;
// Added to the expected load time. The engine refuses a request that arrives before the
// load is complete, and the next attempt uses up retry budget.
constexpr milliseconds load_margin{10};
// A load shares the store with the others in progress, and on average with this many that
// start meanwhile, itself included.
constexpr int concurrent_load_allowance = 3;
constexpr milliseconds failed_order_backoff{300};
// Loading a base model from the weight store takes about 600 ms, more while many engines
// load theirs. An order that was not completed within this time is sent again.
constexpr milliseconds base_model_load_timeout{4000};
constexpr milliseconds model_report_interval{300};
// The state in a report is some hundred milliseconds old. A report that is requested at
// least this long after the last accepted order includes that order.
constexpr milliseconds max_report_age{1000};
// Number of consecutive orders without a response that are sent again at once. After that
// there is a pause, because the engine is probably down.
constexpr int max_immediate_retries = 4;

// Bounds what an engine's holder remembers of adapters that it didn't load.
constexpr std::size_t max_unserved_adapters = 1024;
constexpr double min_unserved_requests = 0.2;

double decayed_requests_at(const adapter_slot& slot, instant now)
{
    if (slot.last_used == instant{})
        return 0;
    return slot.decayed_requests *
           std::exp2(-to_seconds(now - slot.last_used) / request_half_life_s);
}

int waiting_count(const pending_load& pending)
{
    int count = 0;
    for (const auto& [daemon, requests] : pending.waiting)
        count += requests.count;
    return count;
}

double unserved_at(const engine_state& engine, const adapter_id& adapter, instant now)
{
    const auto found = engine.unserved.find(adapter);
    if (found == engine.unserved.end())
        return 0;
    return found->second.count *
           std::exp2(-to_seconds(now - found->second.counted_at) / request_half_life_s);
}

void record_unserved(engine_state& engine, const adapter_id& adapter,
                     const pending_load& pending, instant now)
{
    const double count = unserved_at(engine, adapter, now) + waiting_count(pending);
    engine.unserved[adapter] = {count, now};
    if (engine.unserved.size() <= max_unserved_adapters)
        return;
    std::erase_if(
        engine.unserved, [&](const auto& entry)
        { return unserved_at(engine, entry.first, now) < min_unserved_requests; });
    if (engine.unserved.size() > max_unserved_adapters)
        engine.unserved.erase(engine.unserved.begin());
}

void remove_expired_loads(engine_state& engine, instant now)
{
    for (const auto& [adapter, pending] : engine.pending_loads)
        if (now - pending.last_requested_at > pending_load_lifetime && !pending.replica)
            record_unserved(engine, adapter, pending, now);
    std::erase_if(engine.pending_loads,
                  [now](const auto& entry) {
                      return now - entry.second.last_requested_at > pending_load_lifetime;
                  });
}

// Returns true if the engine would load the adapter from the weight store. Which versions
// its own memory has isn't known, so that is assumed for all loads of a given version.
bool loads_from_store(const engine_state& engine, const adapter_id& adapter,
                      const std::optional<adapter_version>& version)
{
    return !engine.previously_loaded.contains(adapter) || version.has_value();
}

bool is_served(const engine_state& engine, const adapter_id& adapter,
               const pending_load& pending)
{
    const auto found = engine.slots.find(adapter);
    if (found == engine.slots.end() || found->second.state == slot_state::unloading)
        return false;
    return !pending.version || found->second.version >= *pending.version;
}

// Returns the pending load to serve next: the one with the highest benefit, in which
// requests that ended without the adapter count as late ones. Among those of equal
// benefit replicas come last, then the most urgent and the oldest come first.
std::map<adapter_id, pending_load>::iterator
next_pending_load(engine_state& engine, instant ready_at, instant now)
{
    const auto cost_of = [&](const auto& entry)
    {
        return -load_benefit(entry.second, ready_at) -
               unserved_at(engine, entry.first, now) * late_response_value;
    };
    return std::min_element(
        engine.pending_loads.begin(), engine.pending_loads.end(),
        [&cost_of](const auto& left, const auto& right)
        {
            const pending_load& a = left.second;
            const pending_load& b = right.second;
            const double a_cost = cost_of(left);
            const double b_cost = cost_of(right);
            return std::tie(a_cost, a.replica, a.urgency, a.first_requested_at) <
                   std::tie(b_cost, b.replica, b.urgency, b.first_requested_at);
        });
}

bool load_limit_reached(const engine_state& engine, bool from_store,
                        int loads_in_progress, const engine_timing& timing, instant now)
{
    int loading = 0;
    int store_loads = 0;
    for (const auto& [adapter, slot] : engine.slots)
    {
        if (slot.state != slot_state::loading || slot.ready_at <= now)
            continue;
        ++loading;
        store_loads += slot.from_store ? 1 : 0;
    }
    const int limit = loads_in_progress < timing.load_times.loads_at_full_speed
                          ? timing.burst_store_loads
                          : timing.store_loads_at_once;
    return loading >= timing.loads_at_once || (from_store && store_loads >= limit);
}

// Returns the least used of the adapters that are not in use; the end iterator if there
// is none.
std::map<adapter_id, adapter_slot>::iterator
find_eviction_candidate(engine_state& engine, const adapter_usage& usage,
                        const engine_timing& timing, instant now)
{
    auto candidate = engine.slots.end();
    double lowest = 0;
    for (auto at = engine.slots.begin(); at != engine.slots.end(); ++at)
    {
        const adapter_slot& slot = at->second;
        if (slot.state != slot_state::resident || usage(at->first) > 0 ||
            now - std::max(slot.last_used, slot.changed_at) < timing.recent_use_window)
            continue;
        const double decayed_requests = decayed_requests_at(slot, now);
        if (candidate == engine.slots.end() || decayed_requests < lowest)
        {
            candidate = at;
            lowest = decayed_requests;
        }
    }
    return candidate;
}

engine_action make_outstanding(engine_state& engine, engine_order order)
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
    return make_outstanding(engine, order);
}

engine_action order_load(engine_state& engine, const adapter_id& adapter,
                         const pending_load& pending)
{
    engine_order order;
    order.action = order_action::load;
    order.adapter = adapter;
    order.version = pending.version;
    return make_outstanding(engine, order);
}

engine_action order_base_model(engine_state& engine, instant now)
{
    if (engine.model_ordered_at != instant{} &&
        now - engine.model_ordered_at < base_model_load_timeout)
        return {};
    engine.model_ordered_at = now;
    return make_outstanding(engine, engine_order{});
}

engine_action serve_pending_loads(engine_state& engine, const adapter_usage& usage,
                                  int loads_in_progress, const engine_timing& timing,
                                  instant now)
{
    std::erase_if(engine.pending_loads, [&](const auto& entry)
                  { return is_served(engine, entry.first, entry.second); });
    const auto pending = next_pending_load(
        engine, now + expected_load_duration(timing.load_times, 1), now);
    if (pending == engine.pending_loads.end())
        return {};
    const adapter_id adapter = pending->first;
    const bool from_store = loads_from_store(engine, adapter, pending->second.version);
    if (load_limit_reached(engine, from_store, loads_in_progress, timing, now))
        return {};
    const bool is_bounded =
        from_store &&
        needs_common_bound(timing.load_times, timing.engines, timing.store_loads_at_once);
    if (is_bounded && !may_begin_store_load(timing.load_times, loads_in_progress,
                                            waiting_count(pending->second) +
                                                unserved_at(engine, adapter, now)))
        return {};
    const auto current = engine.slots.find(adapter);
    if (current != engine.slots.end() && current->second.state == slot_state::unloading)
        return {};
    const bool replaces_version = current != engine.slots.end();
    if (replaces_version || static_cast<int>(engine.slots.size()) < engine.slot_count)
        return order_load(engine, adapter, pending->second);
    const auto candidate = find_eviction_candidate(engine, usage, timing, now);
    if (candidate == engine.slots.end() ||
        (pending->second.replica && decayed_requests_at(candidate->second, now) > 1))
        return {};
    return order_unload(engine, candidate->first, now);
}

void request_report_within(engine_state& engine, milliseconds delay, instant now)
{
    engine.report_due = std::min(engine.report_due, now + delay);
}

// Sets when a load that was ordered now is expected to be complete. If the load is
// expected to share the store, a report is requested at the time at which it would be
// complete at full speed, which shows whether it has to.
void set_expected_completion(engine_state& engine, adapter_slot& slot,
                             int loads_in_progress, const engine_timing& timing,
                             instant now)
{
    if (!slot.from_store)
    {
        slot.ready_at = now + load_margin + timing.memory_load;
        return;
    }
    slot.concurrent_loads = loads_in_progress + concurrent_load_allowance;
    const milliseconds expected =
        expected_load_duration(timing.load_times, slot.concurrent_loads);
    slot.ready_at = now + load_margin + expected;
    const milliseconds at_full_speed = expected_load_duration(timing.load_times, 1);
    if (expected > at_full_speed + timing.report_lag)
        request_report_within(engine, at_full_speed + timing.report_lag, now);
}

void record_load(engine_state& engine, const engine_order& order, bool complete,
                 int loads_in_progress, const engine_timing& timing, instant now)
{
    if (order.adapter.empty())
    {
        engine.has_model = complete;
        return;
    }
    adapter_slot& slot = engine.slots[order.adapter];
    slot.from_store = loads_from_store(engine, order.adapter, order.version);
    slot.version = order.version.value_or(adapter_version{1});
    slot.state = complete ? slot_state::resident : slot_state::loading;
    slot.changed_at = now;
    if (complete)
        slot.ready_at = now;
    else
        set_expected_completion(engine, slot, loads_in_progress, timing, now);
    engine.previously_loaded.insert(order.adapter);
    engine.pending_loads.erase(order.adapter);
    engine.unserved.erase(order.adapter);
}

void record_unload(engine_state& engine, const engine_order& order, bool complete)
{
    if (complete)
        engine.slots.erase(order.adapter);
}

void update_slots(engine_state& engine, const std::vector<versioned_adapter>& adapters,
                  slot_state state, const engine_timing& timing, instant sent,
                  instant now)
{
    for (const versioned_adapter& reported : adapters)
    {
        adapter_slot& slot = engine.slots[reported.adapter];
        slot.version = reported.version;
        engine.previously_loaded.insert(reported.adapter);
        if (slot.state == state && slot.changed_at != instant{})
            continue;
        if (slot.state == slot_state::unloading)
            continue;
        // The report may be older than the end of the load.
        const bool has_just_ended = slot.state == slot_state::resident &&
                                    slot.changed_at != instant{} &&
                                    sent - slot.ready_at < 2 * timing.report_lag;
        if (state == slot_state::loading && has_just_ended)
            continue;
        slot.state = state;
        slot.changed_at = now;
        slot.ready_at = state == slot_state::resident
                            ? now
                            : now + expected_load_duration(timing.load_times, 1);
    }
}

void remove_unreported_slots(engine_state& engine, const engine_inventory& report)
{
    std::set<adapter_id> reported;
    for (const versioned_adapter& entry : report.adapters)
        reported.insert(entry.adapter);
    for (const versioned_adapter& entry : report.loading)
        reported.insert(entry.adapter);
    std::erase_if(engine.slots,
                  [&](const auto& entry) { return !reported.contains(entry.first); });
}

} // namespace

void add_pending_load(engine_state& engine, const adapter_id& adapter,
                      const pending_load& pending, instant now)
{
    const auto [found, added] = engine.pending_loads.try_emplace(adapter, pending);
    pending_load& existing = found->second;
    if (added)
        existing.first_requested_at = now;
    existing.last_requested_at = now;
    existing.urgency = std::min(existing.urgency, pending.urgency);
    existing.replica = existing.replica && pending.replica;
    existing.version = std::max(existing.version, pending.version);
    for (const auto& [daemon, waiting] : pending.waiting)
        existing.waiting[daemon] = waiting;
}

double load_benefit(const pending_load& pending, instant ready_at)
{
    double benefit = 0;
    for (const auto& [daemon, requests] : pending.waiting)
        benefit += requests.count *
                   (ready_at <= requests.ready_deadline ? 1 : late_response_value);
    return benefit;
}

void remove_loads_served_elsewhere(engine_state& engine,
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
    slot.decayed_requests = decayed_requests_at(slot, now) + requests;
    slot.last_used = now;
}

engine_action next_action(engine_state& engine, const adapter_usage& usage,
                          int loads_in_progress, const engine_timing& timing, instant now)
{
    if (engine.outstanding_order || engine.report_outstanding)
        return {};
    remove_expired_loads(engine, now);
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
    return serve_pending_loads(engine, usage, loads_in_progress, timing, now);
}

void record_order_result(engine_state& engine, order_outcome outcome,
                         int loads_in_progress, const engine_timing& timing, instant now)
{
    const engine_order order = *engine.outstanding_order;
    engine.outstanding_order.reset();
    const bool succeeded =
        outcome == order_outcome::accepted || outcome == order_outcome::done;
    const bool complete = outcome == order_outcome::done;
    if (succeeded)
    {
        engine.unanswered_orders = 0;
        // The engine does not count an order to load what it has loaded already.
        const bool already_loaded = complete && order.action == order_action::load;
        if (already_loaded)
            request_report_within(engine, timing.report_lag, now);
        else
        {
            engine.accepted_orders = *order.expected_orders + 1;
            engine.accepted_at = now;
        }
        if (order.action == order_action::load)
            record_load(engine, order, complete, loads_in_progress, timing, now);
        else
            record_unload(engine, order, complete);
        if (!complete && order.action == order_action::unload)
            request_report_within(engine, 2 * timing.report_lag, now);
        if (order.adapter.empty())
            request_report_within(engine, model_report_interval, now);
        return;
    }
    if (order.adapter.empty())
        engine.model_ordered_at = {};
    if (order.action == order_action::unload && engine.slots.contains(order.adapter))
        engine.slots.at(order.adapter).state = slot_state::resident;
    if (outcome == order_outcome::conflict)
    {
        // Either too many loads are in progress or the engine's order count differs; the
        // next report shows which.
        engine.orders_paused_until = now + timing.report_lag;
        request_report_within(engine, timing.report_lag, now);
        return;
    }
    if (outcome == order_outcome::unanswered)
    {
        ++engine.unanswered_orders;
        if (engine.unanswered_orders > max_immediate_retries)
            engine.orders_paused_until = now + failed_order_backoff;
        return;
    }
    engine.orders_paused_until = now + failed_order_backoff;
    engine.pending_loads.erase(order.adapter);
}

void apply_report(engine_state& engine, const engine_inventory& report,
                  const engine_timing& timing, instant sent, instant now)
{
    engine.report_outstanding = false;
    engine.report_due = now + timing.report_interval;
    const bool is_old =
        engine.accepted_orders && report.accepted_orders < *engine.accepted_orders;
    if (is_old && sent - engine.accepted_at < max_report_age)
    {
        // The report does not include the last orders yet.
        engine.report_due = now + timing.report_lag;
        return;
    }
    engine.accepted_orders = report.accepted_orders;
    engine.has_model =
        engine.model.empty() || std::find(report.models.begin(), report.models.end(),
                                          engine.model) != report.models.end();
    remove_unreported_slots(engine, report);
    update_slots(engine, report.adapters, slot_state::resident, timing, sent, now);
    update_slots(engine, report.loading, slot_state::loading, timing, sent, now);
    for (const auto& [adapter, slot] : engine.slots)
        if (slot.state == slot_state::unloading)
            engine.report_due = now + 2 * timing.report_lag;
    if (!engine.has_model && engine.model_ordered_at != instant{})
        engine.report_due = now + model_report_interval;
}

std::vector<load_observation>
completed_loads(const engine_state& engine, const engine_inventory& report, instant sent)
{
    std::vector<load_observation> observations;
    for (const versioned_adapter& reported : report.adapters)
    {
        const auto found = engine.slots.find(reported.adapter);
        if (found == engine.slots.end())
            continue;
        const adapter_slot& slot = found->second;
        if (slot.state == slot_state::loading && slot.concurrent_loads > 0 &&
            slot.version == reported.version && slot.changed_at < sent)
            observations.push_back(
                {slot.concurrent_loads, to_milliseconds(sent - slot.changed_at), true});
    }
    return observations;
}

void report_failed(engine_state& engine, const engine_timing& timing, instant now)
{
    engine.report_outstanding = false;
    engine.report_due = now + timing.report_lag;
}

} // namespace pollenhaven
