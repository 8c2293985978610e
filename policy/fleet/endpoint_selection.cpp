#include "policy/fleet/endpoint_selection.hpp"

#include "policy/fleet/brittle_endpoint.hpp"
#include "policy/rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pollenhaven
{

namespace
{

// An adapter that no response has confirmed counts as loaded this long after the expected
// completion of its load.
constexpr milliseconds assumed_loaded_after{500};
// Assumed time to the first byte of an endpoint without recent measurements.
constexpr double assumed_first_byte_ms = 50;
// Lower bound of an endpoint's slowdown: its measured time to the first byte relative to
// the assumed one. Prefill is expected to take longer by this factor.
constexpr double min_slowdown = 0.5;
// Half-life of the weight of the last measurement.
constexpr double measurement_half_life_s = 2.0;
// The cost of a failure as an equivalent waiting time: that of a complete response.
constexpr double failure_cost_ms = 2000;
// Traffic to other zones is charged for and takes a little longer.
constexpr double other_zone_cost_ms = 3;
// Approximate prefill speed of an engine, from the partners' deployment profiles.
constexpr double prefill_tokens_per_ms = 38;
// Limit on the pending prefill tokens of an engine, over all daemons: two prefill chunks
// of 2,048 tokens. Engines process one chunk between two steps of a batch. An event of a
// stream takes five steps; with a chunk before each step it is later than callers accept.
constexpr int max_pending_prefill_tokens = 4096;
// Longer prompts count as having this length, so that shorter ones cannot starve them.
constexpr int max_counted_prompt_tokens = 3072;
// One request may be queued at a plain service for this many of its slots.
constexpr int plain_slots_per_queued_request = 2;
// The time that each request in an engine's batch adds to a step.
constexpr double batch_cost_ms = 1;
// An adapter needs a replica on another engine when every engine that has it carries more
// than this factor times the mean number of requests plus the slack, and at least the
// minimum number of requests for the adapter itself.
constexpr double replica_load_factor = 1.3;
constexpr double replica_load_slack = 4;
constexpr int replica_min_requests = 3;
// The benefit of a replica is the adapter's requests in flight divided by this.
constexpr int requests_per_benefit = 8;
// A load from the weight store takes this many times as long as one of an adapter that
// the engine had loaded before and still has in its own memory.
constexpr double memory_speedup = 10;
// Cost per request in flight, to avoid loads on busy engines.
constexpr double request_cost_ms = 8;
constexpr double replacement_cost_ms = 600;
// Cost per rendezvous rank, to keep each adapter on its first-ranked engines unless they
// are clearly worse.
constexpr double rendezvous_rank_cost_ms = 100;

double decayed(double value, double baseline, instant at, instant now)
{
    if (at == instant{})
        return baseline;
    const double remaining_weight =
        std::exp2(-to_seconds(now - at) / measurement_half_life_s);
    return baseline + (value - baseline) * remaining_weight;
}

// Returns true if the request may be sent to the endpoint now or after a back-off.
bool may_serve(const endpoint_view& endpoint, const dispatch_query& query, instant now)
{
    return endpoint.record.service == query.service && !endpoint.draining &&
           !is_gone(endpoint, now) &&
           (!query.software || endpoint.record.software == *query.software) &&
           (query.failed == nullptr || !query.failed->contains(endpoint.record.id));
}

bool is_candidate(const endpoint_view& endpoint, const dispatch_query& query, instant now)
{
    return may_serve(endpoint, query, now) && accepts_requests(endpoint, now);
}

bool has_loaded_model(const endpoint_view& endpoint, const base_model_id& model)
{
    const std::vector<base_model_id>& models = endpoint.record.inventory.models;
    return model.empty() ||
           std::find(models.begin(), models.end(), model) != models.end();
}

const resident_adapter* find_adapter(const fleet_view& fleet,
                                     const endpoint_view& endpoint,
                                     const adapter_id& adapter)
{
    const auto found = endpoint.adapters.find(adapter);
    if (found == endpoint.adapters.end())
        return nullptr;
    const std::optional<adapter_version> required = required_version(fleet, adapter);
    return required && found->second.version < *required ? nullptr : &found->second;
}

double expected_cost_ms(const fleet_view& fleet, const endpoint_view& endpoint,
                        const dispatch_query& query, instant now)
{
    const double first_byte = decayed(endpoint.first_byte_ms, assumed_first_byte_ms,
                                      endpoint.first_byte_at, now);
    const double failures = decayed(endpoint.failure_share, 0, endpoint.failure_at, now);
    const double slots = std::max(1, endpoint.record.slots);
    const int running = total_in_flight(endpoint, now);
    const double prefill_tokens =
        total_pending_prefill_tokens(endpoint, now) + query.prompt_tokens;
    const double slowdown = std::max(first_byte / assumed_first_byte_ms, min_slowdown);
    double cost = std::max(first_byte, 1.0) * (1 + 4 * running / slots) +
                  slowdown * (prefill_tokens / prefill_tokens_per_ms) +
                  batch_cost_ms * running + failure_cost_ms * failures +
                  limit_cost_ms(endpoint.limit);
    if (endpoint.record.zone != fleet.zone)
        cost += other_zone_cost_ms;
    // Daemons with the same outdated view must not all select the same endpoint, so up to
    // 10% are added to the cost, depending on the request and the endpoint.
    const std::uint64_t noise =
        rendezvous_weight(std::to_string(query.request_hash), endpoint.record.id.value) %
        1000;
    return cost * (1 + static_cast<double>(noise) / 10000);
}

// Returns true if the engine has a holder that can send it orders.
bool can_be_ordered(const fleet_view& fleet, const endpoint_view& endpoint)
{
    const auto holder = fleet.members.find(endpoint.holder);
    const bool is_holder_cut_off =
        holder != fleet.members.end() && holder->second.cut_off;
    return !endpoint.holder.empty() && !is_holder_cut_off;
}

// Returns the mean number of requests in flight at the service's available endpoints.
double mean_in_flight(const fleet_view& fleet, const dispatch_query& query, instant now)
{
    int total = 0;
    int engines = 0;
    for (const auto& [id, endpoint] : fleet.endpoints)
    {
        if (endpoint.record.service != query.service || !accepts_requests(endpoint, now))
            continue;
        total += recent_in_flight(endpoint, now);
        ++engines;
    }
    return engines == 0 ? 0 : static_cast<double>(total) / engines;
}

// Returns true if a request for the adapter may be sent to the engine now.
bool is_ready(const endpoint_view& endpoint, const resident_adapter& resident,
              const adapter_id& adapter, instant now)
{
    if (resident.ready_at > now)
        return false;
    return resident.confirmed || !endpoint.in_flight_by_adapter.contains(adapter) ||
           now - resident.ready_at > assumed_loaded_after;
}

// Returns true if the endpoint can take the request without a long wait. A plain service
// may have some requests queued: a slot that becomes free is known here only after some
// ten milliseconds, in which it would stay empty.
bool has_free_slot(const fleet_view& fleet, const endpoint_view& endpoint,
                   const dispatch_query& query, instant now)
{
    if (endpoint.brittle.bearable)
        return has_room(fleet, endpoint, now);
    const int slots = endpoint.record.slots;
    const int queued = query.model.empty() ? slots / plain_slots_per_queued_request : 0;
    return total_in_flight(endpoint, now) < slots + queued;
}

// Returns true if the engine can process the prompt without delaying the streams that it
// serves for too long.
bool has_prefill_capacity(const endpoint_view& endpoint, const dispatch_query& query,
                          instant now)
{
    const int tokens = std::min(query.prompt_tokens, max_counted_prompt_tokens);
    return tokens == 0 || total_pending_prefill_tokens(endpoint, now) + tokens <=
                              max_pending_prefill_tokens;
}

// Counts of the engines that have an adapter, to decide whether it needs a replica.
struct adapter_supply
{
    // Engines that load it.
    int loading = 0;
    // Engines that can take more requests for it, and those that can't.
    int available = 0;
    int busy = 0;
    // The number of requests that one engine runs at once.
    int slots = 1;
};

// Adds an engine that has the adapter. `busy_threshold` is computed when it is first
// needed, because that takes a pass over all endpoints and their peers.
void count_supply(adapter_supply& supply, const fleet_view& fleet,
                  const endpoint_view& endpoint, const resident_adapter& resident,
                  const dispatch_query& query, std::optional<double>& busy_threshold,
                  instant now)
{
    supply.slots = std::max(supply.slots, endpoint.record.slots);
    if (resident.ready_at > now)
    {
        ++supply.loading;
        return;
    }
    if (adapter_requests_in_flight(endpoint, query.adapter, now) < replica_min_requests)
    {
        ++supply.available;
        return;
    }
    if (!busy_threshold)
        busy_threshold =
            replica_load_factor * mean_in_flight(fleet, query, now) + replica_load_slack;
    ++(total_in_flight(endpoint, now) < *busy_threshold ? supply.available : supply.busy);
}

// Returns true if the request should have the adapter loaded on one more engine. While a
// replica is being loaded, that is one request in as many as the replica will take over.
bool needs_replica(const adapter_supply& supply, std::uint64_t request_hash)
{
    if (supply.available > 0 || supply.busy == 0)
        return false;
    return supply.loading == 0 ||
           request_hash % static_cast<std::uint64_t>(supply.slots) == 0;
}

} // namespace

dispatch_decision choose_endpoint(const fleet_view& fleet, const dispatch_query& query,
                                  instant now)
{
    dispatch_decision decision;
    double best = std::numeric_limits<double>::infinity();
    double best_limited = std::numeric_limits<double>::infinity();
    bool any_has_adapter = false;
    bool any_may_serve_soon = false;
    adapter_supply supply;
    std::optional<double> busy_threshold;
    for (const auto& [id, endpoint] : fleet.endpoints)
    {
        if (!may_serve(endpoint, query, now))
            continue;
        const permit_status permit = status_of(endpoint.limit, now);
        const bool is_denied = permit == permit_status::denied;
        any_may_serve_soon =
            any_may_serve_soon || (!is_denied && now >= endpoint.refused_until);
        const instant denied_until = std::max(
            is_denied ? endpoint.limit.denied_until : instant{}, endpoint.refused_until);
        if (denied_until > now || is_denied)
            decision.denied_until =
                std::min(decision.denied_until.value_or(denied_until), denied_until);
        if (!accepts_requests(endpoint, now) || is_denied)
            continue;
        const bool needs_adapter = !query.adapter.empty();
        const resident_adapter* resident =
            needs_adapter ? find_adapter(fleet, endpoint, query.adapter) : nullptr;
        if (needs_adapter ? resident == nullptr
                          : !has_loaded_model(endpoint, query.model))
            continue;
        any_has_adapter = true;
        if (resident != nullptr)
            count_supply(supply, fleet, endpoint, *resident, query, busy_threshold, now);
        if (resident != nullptr && !is_ready(endpoint, *resident, query.adapter, now))
            continue;
        if (!has_free_slot(fleet, endpoint, query, now) ||
            !has_prefill_capacity(endpoint, query, now))
        {
            decision.busy.push_back(id);
            continue;
        }
        const double cost = expected_cost_ms(fleet, endpoint, query, now);
        const bool needs_permit = permit == permit_status::unknown;
        double& lowest = needs_permit ? best_limited : best;
        if (cost < lowest)
            (needs_permit ? decision.needs_permit : decision.endpoint) = id;
        lowest = std::min(lowest, cost);
    }
    if (decision.endpoint)
        decision.needs_permit.reset();
    if (any_may_serve_soon)
        decision.denied_until.reset();
    decision.needs_load = !query.adapter.empty() && !any_has_adapter;
    decision.needs_replica = needs_replica(supply, query.request_hash);
    return decision;
}

bool may_find_endpoint(const fleet_view& fleet, const dispatch_query& query, instant now)
{
    return std::any_of(
        fleet.endpoints.begin(), fleet.endpoints.end(),
        [&](const auto& entry)
        {
            const endpoint_view& endpoint = entry.second;
            return endpoint.record.service == query.service && !is_gone(endpoint, now) &&
                   (query.failed == nullptr || !query.failed->contains(entry.first));
        });
}

std::optional<endpoint_id>
choose_engine_for_load(const fleet_view& fleet, const dispatch_query& query, instant now)
{
    std::vector<std::pair<std::uint64_t, const endpoint_view*>> ranked;
    for (const auto& [id, endpoint] : fleet.endpoints)
    {
        if (!is_candidate(endpoint, query, now) || !can_be_ordered(fleet, endpoint) ||
            !has_loaded_model(endpoint, query.model) ||
            find_adapter(fleet, endpoint, query.adapter) != nullptr)
            continue;
        ranked.emplace_back(rendezvous_weight(query.adapter.value, id.value), &endpoint);
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& left, const auto& right)
              { return left.first > right.first; });
    std::optional<endpoint_id> best;
    double best_cost = std::numeric_limits<double>::infinity();
    double rank_cost = 0;
    const double store_load_ms = fleet.load_times.full_speed_ms;
    for (const auto& [weight, endpoint] : ranked)
    {
        const bool from_memory = endpoint->previously_loaded.contains(query.adapter);
        // Replacing an older version waits for the requests that run on it.
        const double replacement_cost =
            endpoint->adapters.contains(query.adapter) ? replacement_cost_ms : 0;
        const double cost =
            rank_cost + replacement_cost +
            (from_memory ? store_load_ms / memory_speedup : store_load_ms) +
            endpoint->queued_loads * store_load_ms +
            request_cost_ms * total_in_flight(*endpoint, now) +
            failure_cost_ms *
                decayed(endpoint->failure_share, 0, endpoint->failure_at, now) +
            limit_cost_ms(endpoint->limit);
        if (cost < best_cost)
            best = endpoint->record.id;
        best_cost = std::min(best_cost, cost);
        rank_cost += rendezvous_rank_cost_ms;
    }
    return best;
}

int replica_benefit(const fleet_view& fleet, const adapter_id& adapter, instant now)
{
    int max_in_flight = 0;
    for (const auto& [id, endpoint] : fleet.endpoints)
        max_in_flight =
            std::max(max_in_flight, adapter_requests_in_flight(endpoint, adapter, now));
    return std::max(1, max_in_flight / requests_per_benefit);
}

milliseconds expected_load_time(const fleet_view& fleet, const endpoint_id& engine)
{
    const auto found = fleet.endpoints.find(engine);
    const int queued = found == fleet.endpoints.end() ? 0 : found->second.queued_loads;
    // About half of the queued loads expire, or another engine serves them first.
    const int ahead = queued / 2 + 1;
    // No request is refused because of a slowdown that was never seen.
    const int concurrent_loads =
        fleet.load_times.is_learned ? fleet.loads_in_progress : 1;
    return expected_load_duration(fleet.load_times, concurrent_loads) * ahead;
}

} // namespace pollenhaven
