#ifndef POLLENHAVEN_POLICY_ENDPOINT_SCHEDULER_HPP
#define POLLENHAVEN_POLICY_ENDPOINT_SCHEDULER_HPP

#include "core/boot_clock.hpp"
#include "core/ids.hpp"
#include "core/verdict.hpp"
#include "policy/fair_share.hpp"
#include "policy/operating_document.hpp"

#include <deque>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace pollenhaven
{

// A request as the owner of an endpoint queues it.
struct queued_request
{
    request_id id;
    model_ref model;
    partner_id partner;
    work_class priority = work_class::interactive;
    // Expected work, charged to the partner on dispatch.
    token_count tokens{100};
    instant arrived{};
    // The moment by which it has to start.
    instant start_by{};
};

enum class slot_state
{
    // Waits for a permit of the weight store.
    awaiting_permit,
    loading,
    ready,
    unloading
};

// One adapter slot of an engine.
struct adapter_slot
{
    slot_state state = slot_state::awaiting_permit;
    int in_use = 0;
    // True if a previous owner's requests may still run on it.
    bool foreign_use = false;
    instant last_used{};
};

// How often an adapter was asked for lately, decayed exponentially.
struct adapter_heat
{
    double value = 0;
    instant updated{};
};

struct scheduler_settings
{
    std::size_t max_queue = 256;
    // Time in which an adapter's heat halves.
    seconds heat_half_life{300};
    // First wait after a failed load; doubles with each further failure.
    milliseconds load_backoff{500};
    milliseconds load_backoff_limit{15000};
    milliseconds expected_service_time{1500};
    milliseconds expected_load_time{600};
};

// All that the owner decides about one engine: what waits, what runs, what its slots
// hold.
struct endpoint_scheduler
{
    endpoint_id endpoint;
    int slots = 0;
    int max_batch = 1;
    // False until the engine's own report was read after taking ownership. Until then
    // nothing is known of what a previous owner left running, so nothing is dispatched or
    // ordered.
    bool reconciled = false;
    // True while the endpoint is handed over: what is queued goes back, nothing new
    // starts.
    bool draining = false;
    std::map<model_ref, adapter_slot> residents;
    std::map<model_ref, adapter_heat> heat;
    std::map<model_ref, int> load_failures;
    std::map<model_ref, instant> load_retry_at;
    std::deque<queued_request> queue;
    std::map<request_id, queued_request> running;
    scheduler_settings settings;
};

// What the owner has to carry out. Each is answered by a later event.
struct dispatch_action
{
    queued_request request;
};
struct ask_permit_action
{
    model_ref adapter;
    work_class priority;
};
struct withdraw_permit_action
{
    model_ref adapter;
};
struct load_action
{
    model_ref adapter;
};
struct unload_action
{
    model_ref adapter;
};
struct reject_action
{
    queued_request request;
    failure reason;
};
using scheduler_action =
    std::variant<dispatch_action, ask_permit_action, withdraw_permit_action, load_action,
                 unload_action, reject_action>;
using scheduler_actions = std::vector<scheduler_action>;

// Each event changes the state and returns what to do. The fair shares are the owner's,
// over all its endpoints.
scheduler_actions on_request(endpoint_scheduler& state, fair_share& shares,
                             const queued_request& request, instant now);
scheduler_actions on_finished(endpoint_scheduler& state, fair_share& shares,
                              const request_id& request, instant now);
scheduler_actions on_cancelled(endpoint_scheduler& state, fair_share& shares,
                               const request_id& request, instant now);
scheduler_actions on_permit(endpoint_scheduler& state, fair_share& shares,
                            const model_ref& adapter, instant now);
scheduler_actions on_load_ended(endpoint_scheduler& state, fair_share& shares,
                                const model_ref& adapter, bool loaded, instant now);
scheduler_actions on_unload_ended(endpoint_scheduler& state, fair_share& shares,
                                  const model_ref& adapter, bool unloaded, instant now);
// Takes over what the engine reports as resident, after a change of owner or when an
// order ended in doubt. Adapters on which a previous owner's requests run count as in use
// until a later report shows them idle.
scheduler_actions on_reconciled(endpoint_scheduler& state, fair_share& shares, int slots,
                                int max_batch, const std::map<model_ref, int>& resident,
                                instant now);
// A later report, sampled after the change of owner: adapters that it shows idle are no
// longer in use by a previous owner.
void on_report(endpoint_scheduler& state, const std::map<model_ref, int>& resident);
// The engine answered that it doesn't hold the adapter. The request was not run and waits
// for a new load.
scheduler_actions on_adapter_missing(endpoint_scheduler& state, fair_share& shares,
                                     const request_id& request, instant now);
// The engine restarted: its slots are empty and what ran there has ended.
scheduler_actions on_restarted(endpoint_scheduler& state, fair_share& shares,
                               instant now);
// The endpoint is handed over: returns what is queued to its callers as not run.
scheduler_actions on_drain(endpoint_scheduler& state);
// Rejects what can't make its deadline and retries what is due.
scheduler_actions on_tick(endpoint_scheduler& state, fair_share& shares, instant now);

} // namespace pollenhaven

#endif
