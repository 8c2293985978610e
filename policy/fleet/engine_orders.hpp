#ifndef POLLENHAVEN_POLICY_FLEET_ENGINE_ORDERS_HPP
#define POLLENHAVEN_POLICY_FLEET_ENGINE_ORDERS_HPP

#include "core/boot_clock.hpp"
#include "core/interfaces/platform_dialect.hpp"
#include "core/records/endpoint_record.hpp"
#include "policy/fleet/load_time_model.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace pollenhaven
{

enum class slot_state
{
    loading,
    resident,
    // An unload was ordered; the engine waits until the adapter's requests complete.
    unloading
};

// The state of one adapter slot of an engine, as tracked by the engine's holder.
struct adapter_slot
{
    adapter_version version;
    slot_state state = slot_state::loading;
    // Loads only: the adapter comes from the weight store, not from the engine's memory.
    bool from_store = false;
    // When the load is expected to be complete, or when it was found to be complete.
    instant ready_at{};
    // Loads from the weight store only: the number of loads among which it was expected
    // to share the store.
    int concurrent_loads = 0;
    // When the holder last changed `state`.
    instant changed_at{};
    instant last_used{};
    // Number of requests for the adapter, with exponential decay.
    double decayed_requests = 0;
};

// The requests at one daemon that wait for an adapter.
struct waiting_requests
{
    int count = 0;
    // The adapter must be ready by then to respond within the target latency.
    instant ready_deadline{};
};

// An adapter that daemons have requested to be loaded on an engine.
struct pending_load
{
    std::optional<adapter_version> version;
    // 0 is the most urgent.
    int urgency = 0;
    // Another engine serves the adapter already; this load is to take over some of the
    // adapter's requests.
    bool replica = false;
    // Requests that wait for the adapter, by daemon.
    std::map<daemon_id, waiting_requests> waiting;
    instant first_requested_at{};
    instant last_requested_at{};
};

// Returns the benefit of a load that is complete at `ready_at`: the number of waiting
// requests, where those that will miss their target latency count for less.
double load_benefit(const pending_load& pending, instant ready_at);

// The durations of loads and reports, and the limits on concurrent loads.
struct engine_timing
{
    // Expected durations of loads from the weight store. The settings give the first
    // values; later ones are learned.
    load_time_model load_times;
    // Expected duration of a load from the engine's own memory.
    milliseconds memory_load{25};
    // Usual age of the state in an engine's report; newer changes are not in it.
    milliseconds report_lag{150};
    // Interval between reports while the state of the engine is not in doubt.
    milliseconds report_interval{4000};
    // Limits on concurrent loads from the weight store at one engine. `burst_store_loads`
    // applies while the loads in progress at all engines together leave the store at full
    // speed, else `store_loads_at_once`.
    int store_loads_at_once = 1;
    int burst_store_loads = 2;
    // Limit on concurrent loads of any kind at one engine.
    int loads_at_once = 4;
    // The engines that load from the same store, as far as known.
    int engines = 0;
    // Daemons report their use of adapters from time to time. An adapter that was used
    // within this time may be in use by a daemon that has not reported it yet.
    milliseconds recent_use_window{400};
};

// Requests that waited for an adapter and ended without it, with exponential decay.
struct unserved_requests
{
    double count = 0;
    instant counted_at{};
};

// The holder's state of one of its engines. Each order contains the number of orders that
// the engine has accepted so far, so that an order without a response that is executed
// late cannot take effect after a newer one.
struct engine_state
{
    endpoint_id endpoint;
    base_model_id model;
    // The base model is loaded. Adapters can only be loaded after it.
    bool has_model = false;
    // When the load of the base model was last ordered.
    instant model_ordered_at{};
    // Number of adapter slots.
    int slot_count = 0;
    // Number of orders that the engine has accepted since it started. None until the
    // first report has arrived.
    std::optional<std::uint64_t> accepted_orders;
    std::map<adapter_id, adapter_slot> slots;
    std::map<adapter_id, pending_load> pending_loads;
    // Adapters whose pending loads expired.
    std::map<adapter_id, unserved_requests> unserved;
    // Adapters that the engine had loaded at some time. They load from its own memory.
    std::set<adapter_id> previously_loaded;
    std::optional<engine_order> outstanding_order;
    bool report_outstanding = false;
    // When the next report is requested.
    instant report_due{};
    // Number of consecutive orders without a response.
    int unanswered_orders = 0;
    // When the engine last accepted an order. A report whose state is older does not
    // include that order.
    instant accepted_at{};
    // No orders are sent before this time, because earlier ones failed.
    instant orders_paused_until{};
};

// The action of requesting a report from the engine.
struct report_request
{
};

// What to send to an engine; nothing if it holds std::monostate.
using engine_action = std::variant<std::monostate, report_request, engine_order>;

// A function that returns how many requests for an adapter are in flight at the engine,
// from all daemons.
using adapter_usage = std::function<int(const adapter_id&)>;

// Adds a pending load of an adapter, or merges it into the one that exists.
void add_pending_load(engine_state& engine, const adapter_id& adapter,
                      const pending_load& pending, instant now);

// Removes the pending loads of adapters for which `served` returns true, which means that
// another engine serves them. Loads of replicas stay.
void remove_loads_served_elsewhere(engine_state& engine,
                                   const std::function<bool(const adapter_id&)>& served);

// Returns the earliest expected completion of a load in progress; none if there is no
// load in progress.
std::optional<instant> next_completion(const engine_state& engine, instant now);

// Counts `requests` new requests for an adapter. The least used adapter is evicted first.
void record_adapter_usage(engine_state& engine, const adapter_id& adapter, int requests,
                          instant now);

// Decides what to send to the engine now, and records it as sent. At most one order or
// report request is outstanding. The caller must set `holder` and
// `fencing_token` of an order. `loads_in_progress` is the number of loads in progress at
// all engines.
engine_action next_action(engine_state& engine, const adapter_usage& usage,
                          int loads_in_progress, const engine_timing& timing,
                          instant now);

enum class order_outcome
{
    // Accepted; the engine has started to execute it.
    accepted,
    // Complete: it was executed at once, or the engine was in the ordered state already.
    done,
    // The engine's number of accepted orders differs from the expected one, or it has too
    // many loads in progress.
    conflict,
    // The engine rejected the order for another reason.
    refused,
    // No response: the order may be executed later.
    unanswered
};

// Updates the state with the result of the outstanding order.
void record_order_result(engine_state& engine, order_outcome outcome,
                         int loads_in_progress, const engine_timing& timing, instant now);

// Updates the state from an engine's report; `sent` is when the report was requested.
void apply_report(engine_state& engine, const engine_inventory& report,
                  const engine_timing& timing, instant sent, instant now);

// Returns what a report that was requested at the time `sent` tells about the duration of
// loads from the weight store.
std::vector<load_observation>
completed_loads(const engine_state& engine, const engine_inventory& report, instant sent);

// Records that the requested report did not arrive. It is requested again after the
// report lag.
void report_failed(engine_state& engine, const engine_timing& timing, instant now);

} // namespace pollenhaven

#endif
