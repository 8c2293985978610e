#ifndef POLLENHAVEN_POLICY_FLEET_ENGINE_ORDERS_HPP
#define POLLENHAVEN_POLICY_FLEET_ENGINE_ORDERS_HPP

#include "core/boot_clock.hpp"
#include "core/interfaces/platform_dialect.hpp"
#include "core/records/endpoint_record.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <variant>

namespace pollenhaven
{

enum class slot_state
{
    loading,
    resident,
    // An unload was ordered and waits for the adapter's requests.
    unloading
};

// One adapter slot of an engine, as its holder of orders keeps account of it.
struct adapter_slot
{
    adapter_version version;
    slot_state state = slot_state::loading;
    // Loads only: comes from the weight store and not from the engine's own memory.
    bool from_store = false;
    instant ready_at{};
    instant changed_at{};
    instant last_used{};
    // Decayed number of requests.
    double decayed_requests = 0;
};

// The requests of one daemon that wait for an adapter.
struct waiting_requests
{
    int count = 0;
    // The adapter must be ready by then for them to be answered on time.
    instant ready_deadline{};
};

// An adapter that daemons wait for.
struct pending_load
{
    std::optional<adapter_version> version;
    // 0 is the most urgent.
    int urgency = 0;
    // Another engine serves the adapter already; this load only relieves it.
    bool replica = false;
    // Requests that wait for it, by daemon.
    std::map<daemon_id, waiting_requests> waiting;
    instant first_requested_at{};
    instant last_requested_at{};
};

// What a load is worth to those who wait: each request counts, one that will be late
// anyway for less.
double load_benefit(const pending_load& wish, instant ready_at);

struct engine_timing
{
    // Time of a load from the weight store, and of one from the engine's own memory.
    milliseconds store_load{250};
    milliseconds memory_load{25};
    // Reports of an engine are this old; facts younger than that aren't in them yet.
    milliseconds report_lag{150};
    // How often an engine is asked what it holds when nothing is in doubt.
    milliseconds report_interval{4000};
    // Loads from the weight store under way at one engine: this many at any time, more up
    // to the second bound while all engines together have fewer than the third.
    int store_loads_at_once = 1;
    int burst_store_loads = 2;
    int burst_threshold = 8;
    // Loads from the weight store, over all engines, that don't slow each other down.
    int loads_at_full_speed = 8;
    // Loads of any kind under way at one engine.
    int loads_at_once = 4;
};

// What the holder knows of its engine. The count of accepted orders goes into each order,
// so that an unanswered one that is carried out late can't overtake a newer one.
struct engine_state
{
    endpoint_id endpoint;
    base_model_id model;
    bool has_model = false;
    // When the base model was last ordered; no adapter can be loaded before it is there.
    instant model_ordered_at{};
    int slot_count = 0;
    // None until a report told it.
    std::optional<std::uint64_t> accepted_orders;
    std::map<adapter_id, adapter_slot> slots;
    std::map<adapter_id, pending_load> pending_loads;
    std::set<adapter_id> previously_loaded;
    std::optional<engine_order> outstanding_order;
    bool report_outstanding = false;
    instant report_due{};
    // Orders without an answer since the last one that had one.
    int unanswered_orders = 0;
    // When the engine last accepted an order; older reports don't count it.
    instant accepted_at{};
    // Nothing is ordered before this moment, after orders that failed.
    instant orders_paused_until{};
};

// Asks the engine what it holds.
struct report_request
{
};

using engine_action = std::variant<std::monostate, report_request, engine_order>;

// Requests for an adapter under way at the engine, from all daemons.
using adapter_usage = std::function<int(const adapter_id&)>;

// Adds or renews a wish for an adapter.
void add_pending_load(engine_state& engine, const adapter_id& adapter,
                      const pending_load& wish, instant now);

// Forgets wishes that another engine serves.
void drop_loads_served_elsewhere(engine_state& engine,
                                 const std::function<bool(const adapter_id&)>& served);

// The moment at which the next load under way is expected to be complete; none if none
// is.
std::optional<instant> next_completion(const engine_state& engine, instant now);

// Counts requests for an adapter, so that the least used one makes way.
void record_adapter_usage(engine_state& engine, const adapter_id& adapter, int requests,
                          instant now);

// Decides what to send to the engine now: at most one order or report is under way. The
// step is noted as sent; `holder` and the token are for the caller to fill in.
// `loads_elsewhere` counts the loads under way at all engines.
engine_action next_action(engine_state& engine, const adapter_usage& use,
                          int loads_elsewhere, const engine_timing& timing, instant now);

enum class order_outcome
{
    // Accepted, and carried out from now on.
    accepted,
    // It holds already, or was carried out at once.
    done,
    // The engine's count of orders differs from ours, or it is busy.
    conflict,
    refused,
    // No answer: may be carried out later.
    unanswered
};

void record_order_result(engine_state& engine, order_outcome outcome, int loads_elsewhere,
                         const engine_timing& timing, instant now);

// Takes over what the engine reported; `sent` is when it was asked.
void apply_report(engine_state& engine, const engine_inventory& report,
                  const engine_timing& timing, instant sent, instant now);
void report_failed(engine_state& engine, const engine_timing& timing, instant now);

} // namespace pollenhaven

#endif
