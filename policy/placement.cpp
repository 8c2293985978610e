#include "policy/placement.hpp"

#include "policy/rendezvous.hpp"

#include <algorithm>

namespace pollenhaven
{

namespace
{

constexpr double milliseconds_per_second = 1000;

struct ranked_candidate
{
    const placement_candidate* candidate = nullptr;
    std::uint64_t weight = 0;
};

std::vector<ranked_candidate> rank_candidates(const model_ref& adapter,
                                              const std::vector<placement_candidate>& all)
{
    std::vector<ranked_candidate> ranked;
    ranked.reserve(all.size());
    for (const placement_candidate& candidate : all)
    {
        const std::string& name = candidate.endpoint.value;
        ranked.push_back({&candidate, rendezvous_weight(adapter.value, name)});
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const ranked_candidate& left, const ranked_candidate& right)
              { return left.weight > right.weight; });
    return ranked;
}

} // namespace

int waiting_loads(const std::vector<placement_candidate>& candidates)
{
    int waiting = 0;
    for (const placement_candidate& candidate : candidates)
        waiting += candidate.loading;
    return waiting;
}

double expected_wait_ms(const placement_candidate& candidate, int rank, int waiting_loads,
                        const placement_costs& costs)
{
    const double service_ms = static_cast<double>(costs.service_time.count());
    const double store_ms =
        milliseconds_per_second * waiting_loads / costs.loads_per_second;
    const double load_ms = static_cast<double>(costs.load_time.count()) + store_ms;
    const int batch = std::max(1, candidate.max_batch);
    const int ahead = std::max(0, candidate.queued + candidate.running - batch + 1);
    double wait = ahead * service_ms / batch;
    if (candidate.state == residency::loading)
        wait += load_ms / 2;
    if (candidate.state == residency::absent)
    {
        wait += load_ms;
        if (candidate.busy_slots >= candidate.slots)
            wait += static_cast<double>(costs.slot_wait.count());
        wait += static_cast<double>(rank * costs.rank_step.count());
        wait +=
            candidate.victim_heat * static_cast<double>(costs.victim_heat_step.count());
    }
    // A fuller batch steps more slowly; among equals the emptier endpoint is better.
    wait += static_cast<double>(candidate.running) / batch;
    return wait;
}

std::optional<placement>
choose_endpoint(const model_ref& adapter,
                const std::vector<placement_candidate>& candidates,
                const placement_costs& costs)
{
    std::optional<placement> best;
    int rank = 0;
    const int loads = waiting_loads(candidates);
    for (const ranked_candidate& ranked : rank_candidates(adapter, candidates))
    {
        if (ranked.candidate->excluded)
            continue;
        const double wait = expected_wait_ms(*ranked.candidate, rank, loads, costs);
        ++rank;
        if (best && wait >= best->expected_wait_ms)
            continue;
        best = {ranked.candidate->endpoint, wait};
    }
    return best;
}

milliseconds patience_for(work_class priority, milliseconds time_left,
                          const patience_limits& limits)
{
    const bool waits = priority == work_class::interactive;
    return std::min(time_left, waits ? limits.interactive : limits.overnight);
}

std::optional<milliseconds> refuse_for_now(const placement& chosen, work_class priority,
                                           milliseconds time_left,
                                           const patience_limits& limits)
{
    const milliseconds patience = patience_for(priority, time_left, limits);
    const milliseconds wait(static_cast<long>(chosen.expected_wait_ms));
    if (wait <= patience)
        return std::nullopt;
    // By then the queue has room again for what it turned away, if no more arrives.
    return std::max(milliseconds(1000), wait - patience);
}

} // namespace pollenhaven
