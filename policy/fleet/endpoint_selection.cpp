#include "policy/fleet/endpoint_selection.hpp"

#include "policy/rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pollenhaven
{

namespace
{

// An adapter that nobody asked for since its load is taken as there after this time.
constexpr milliseconds surely_loaded{500};
// Stands for the time to the first byte until one was measured.
constexpr double assumed_first_byte_ms = 50;
constexpr double least_pace = 0.5;
constexpr double measurement_half_life_s = 2.0;
// What a failure costs its caller, set against waiting: a whole answer's time.
constexpr double failure_cost_ms = 2000;
// Queries of other zones are priced and take a little longer.
constexpr double other_zone_cost_ms = 3;
// Engines read about this many prompt tokens in a millisecond; the partners' sheets.
constexpr double prompt_tokens_per_ms = 38;
// Prompts that an engine has still to read, over all daemons: two pieces of 2,048 tokens,
// the size in which engines read them between the steps of a batch. An event of a stream
// takes five steps; with a piece in each of them it comes later than callers accept.
constexpr int most_unread_tokens = 4096;
// A longer prompt counts as one of this length, so that it isn't overtaken for ever.
constexpr int longest_paced_prompt = 3072;
// What each request in an engine's batch adds to the time of a step.
constexpr double batch_cost_ms = 1;
// An adapter should be at another engine too when those that hold it have this many times
// the mean number of requests, and the adapter itself some of them.
constexpr double replica_load_factor = 1.3;
constexpr double replica_load_slack = 4;
constexpr int replica_least_requests = 3;
constexpr int requests_for_one_relieved = 8;
// Loads from the weight store take ten times as long as those of adapters held before.
constexpr double slow_load_ms = 250;
constexpr double fast_load_ms = 25;
// Keeps loads from engines that have many requests already.
constexpr double request_cost_ms = 8;
constexpr double replacement_cost_ms = 600;
// Keeps each adapter on its first engines by rendezvous unless they are clearly behind.
constexpr double rendezvous_step_ms = 100;

double decayed(double value, double neutral, instant at, instant now)
{
    if (at == instant{})
        return neutral;
    const double keep = std::exp2(-to_seconds(now - at) / measurement_half_life_s);
    return neutral + (value - neutral) * keep;
}

bool is_candidate(const endpoint_view& endpoint, const dispatch_query& question,
                  instant now)
{
    return endpoint.record.service == question.service &&
           accepts_requests(endpoint, now) &&
           (question.failed == nullptr || !question.failed->contains(endpoint.record.id));
}

bool holds_model(const endpoint_view& endpoint, const base_model_id& model)
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
                        const dispatch_query& question, instant now)
{
    const double first_byte = decayed(endpoint.first_byte_ms, assumed_first_byte_ms,
                                      endpoint.first_byte_at, now);
    const double failures = decayed(endpoint.failure_share, 0, endpoint.failure_at, now);
    const double slots = std::max(1, endpoint.record.slots);
    const int running = total_in_flight(endpoint, now);
    const double unread =
        total_pending_prefill_tokens(endpoint, now) + question.prompt_tokens;
    const double pace = std::max(first_byte / assumed_first_byte_ms, least_pace);
    double cost = std::max(first_byte, 1.0) * (1 + 4 * running / slots) +
                  pace * (unread / prompt_tokens_per_ms) + batch_cost_ms * running +
                  failure_cost_ms * failures;
    if (endpoint.record.zone != fleet.zone)
        cost += other_zone_cost_ms;
    // A little noise keeps daemons with the same stale view from one endpoint.
    const std::uint64_t noise = rendezvous_weight(std::to_string(question.request_hash),
                                                  endpoint.record.id.value) %
                                1000;
    return cost * (1 + static_cast<double>(noise) / 10000);
}

// Requests at an engine of the service on average.
double mean_in_flight(const fleet_view& fleet, const dispatch_query& question,
                      instant now)
{
    int total = 0;
    int engines = 0;
    for (const auto& [id, endpoint] : fleet.endpoints)
    {
        if (endpoint.record.service != question.service ||
            !accepts_requests(endpoint, now))
            continue;
        total += total_in_flight(endpoint, now);
        ++engines;
    }
    return engines == 0 ? 0 : static_cast<double>(total) / engines;
}

// Says whether the adapter may be asked for at the engine now.
bool is_ready(const endpoint_view& endpoint, const resident_adapter& held,
              const adapter_id& adapter, instant now)
{
    if (held.ready_at > now)
        return false;
    return held.confirmed || !endpoint.in_flight_by_adapter.contains(adapter) ||
           now - held.ready_at > surely_loaded;
}

bool has_place(const endpoint_view& endpoint, instant now)
{
    return total_in_flight(endpoint, now) < endpoint.record.slots;
}

// Says whether the engine can read the prompt without a long pause for the streams that
// it serves.
bool can_read_soon(const endpoint_view& endpoint, const dispatch_query& question,
                   instant now)
{
    const int tokens = std::min(question.prompt_tokens, longest_paced_prompt);
    return tokens == 0 ||
           total_pending_prefill_tokens(endpoint, now) + tokens <= most_unread_tokens;
}

} // namespace

dispatch_decision choose_endpoint(const fleet_view& fleet, const dispatch_query& question,
                                  instant now)
{
    dispatch_decision answer;
    double best = std::numeric_limits<double>::infinity();
    bool any_holds = false;
    bool all_busy = true;
    const double busy_at =
        replica_load_factor * mean_in_flight(fleet, question, now) + replica_load_slack;
    for (const auto& [id, endpoint] : fleet.endpoints)
    {
        if (!is_candidate(endpoint, question, now))
            continue;
        const bool by_adapter = !question.adapter.empty();
        const resident_adapter* held =
            by_adapter ? find_adapter(fleet, endpoint, question.adapter) : nullptr;
        if (by_adapter ? held == nullptr : !holds_model(endpoint, question.model))
            continue;
        any_holds = true;
        if (total_in_flight(endpoint, now) < busy_at ||
            adapter_in_flight(endpoint, question.adapter, now) < replica_least_requests)
            all_busy = false;
        if ((held != nullptr && !is_ready(endpoint, *held, question.adapter, now)) ||
            !has_place(endpoint, now))
            continue;
        if (!can_read_soon(endpoint, question, now))
            continue;
        const double cost = expected_cost_ms(fleet, endpoint, question, now);
        if (cost < best)
            answer.endpoint = id;
        best = std::min(best, cost);
    }
    answer.needs_load = !question.adapter.empty() && !any_holds;
    answer.needs_replica = !question.adapter.empty() && any_holds && all_busy;
    return answer;
}

std::optional<endpoint_id> choose_engine_for_load(const fleet_view& fleet,
                                                  const dispatch_query& question,
                                                  instant now)
{
    std::vector<std::pair<std::uint64_t, const endpoint_view*>> ranked;
    for (const auto& [id, endpoint] : fleet.endpoints)
    {
        const bool takes_orders = !endpoint.holder.empty();
        if (!is_candidate(endpoint, question, now) || !takes_orders ||
            !holds_model(endpoint, question.model) ||
            find_adapter(fleet, endpoint, question.adapter) != nullptr)
            continue;
        ranked.emplace_back(rendezvous_weight(question.adapter.value, id.value),
                            &endpoint);
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& left, const auto& right)
              { return left.first > right.first; });
    std::optional<endpoint_id> best;
    double best_cost = std::numeric_limits<double>::infinity();
    double rank_cost = 0;
    for (const auto& [weight, endpoint] : ranked)
    {
        const bool fast = endpoint->previously_loaded.contains(question.adapter);
        // A load that replaces an older version waits for the requests that run on it.
        const double replaces =
            endpoint->adapters.contains(question.adapter) ? replacement_cost_ms : 0;
        const double cost = rank_cost + replaces + (fast ? fast_load_ms : slow_load_ms) +
                            endpoint->queued_loads * slow_load_ms +
                            request_cost_ms * total_in_flight(*endpoint, now) +
                            failure_cost_ms * decayed(endpoint->failure_share, 0,
                                                      endpoint->failure_at, now);
        if (cost < best_cost)
            best = endpoint->record.id;
        best_cost = std::min(best_cost, cost);
        rank_cost += rendezvous_step_ms;
    }
    return best;
}

int replica_benefit(const fleet_view& fleet, const adapter_id& adapter, instant now)
{
    int most = 0;
    for (const auto& [id, endpoint] : fleet.endpoints)
        most = std::max(most, adapter_in_flight(endpoint, adapter, now));
    return std::max(1, most / requests_for_one_relieved);
}

milliseconds expected_load_time(const fleet_view& fleet, const endpoint_id& engine)
{
    const auto found = fleet.endpoints.find(engine);
    const int queued = found == fleet.endpoints.end() ? 0 : found->second.queued_loads;
    // Half of the queue is likely to be served elsewhere, or given up, before.
    const int ahead = queued / 2 + 1;
    return milliseconds(static_cast<long long>(slow_load_ms) * ahead);
}

} // namespace pollenhaven
