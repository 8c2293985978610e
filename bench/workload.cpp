#include "bench/workload.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace pollenhaven::bench
{

namespace
{

constexpr int shortest_answer = 10;
constexpr int longest_answer = 60;
constexpr int shortest_report = 100;
constexpr int longest_report = 300;
// A shift makes an adapter of this popularity rank the hottest one.
constexpr std::size_t shifted_rank = 1500;

std::vector<double> zipf_weights(int count, double skew)
{
    std::vector<double> weights;
    for (int rank = 1; rank <= count; ++rank)
        weights.push_back(1.0 / std::pow(rank, skew));
    return weights;
}

model_ref model_of(int adapter, work_class priority)
{
    const char* kind = priority == work_class::overnight ? "night-" : "day-";
    return {kind + std::to_string(adapter) + "@v1"};
}

} // namespace

deployment_sizes suva()
{
    deployment_sizes sizes;
    sizes.name = "suva";
    sizes.store.loads_per_second = 3.0;
    return sizes;
}

deployment_sizes kitamura()
{
    deployment_sizes sizes;
    sizes.name = "kitamura";
    sizes.store.loads_per_second = 3.5;
    return sizes;
}

std::vector<workload_request> make_workload(const workload_options& options, int adapters)
{
    std::mt19937_64 random(options.seed);
    // Popularity has nothing to do with an adapter's number.
    std::vector<int> by_rank(static_cast<std::size_t>(adapters));
    std::iota(by_rank.begin(), by_rank.end(), 0);
    std::shuffle(by_rank.begin(), by_rank.end(), random);
    const std::vector<double> weights = zipf_weights(adapters, options.skew);
    std::discrete_distribution<std::size_t> rank(weights.begin(), weights.end());
    std::exponential_distribution<double> gap(options.rate);
    std::uniform_int_distribution<int> answer(shortest_answer, longest_answer);
    std::uniform_int_distribution<int> report(shortest_report, longest_report);
    std::bernoulli_distribution is_overnight(options.overnight);
    std::vector<partner_id> partners;
    std::vector<double> parts;
    for (const auto& [partner, part] : options.demand)
    {
        partners.push_back(partner);
        parts.push_back(part);
    }
    std::discrete_distribution<std::size_t> partner(parts.begin(), parts.end());
    const instant shift_at{options.event_at};
    bool shifted = options.kind != "shift";
    std::vector<workload_request> load;
    const instant end{options.length};
    for (instant at{};;)
    {
        at += std::chrono::duration_cast<microseconds>(
            std::chrono::duration<double>(gap(random)));
        if (at >= end)
            return load;
        if (!shifted && at >= shift_at)
        {
            std::swap(by_rank[0], by_rank[shifted_rank]);
            shifted = true;
        }
        workload_request request;
        request.at = at;
        request.priority =
            is_overnight(random) ? work_class::overnight : work_class::interactive;
        request.model = model_of(by_rank[rank(random)], request.priority);
        request.partner = partners[partner(random)];
        request.tokens =
            request.priority == work_class::overnight ? report(random) : answer(random);
        load.push_back(request);
    }
}

} // namespace pollenhaven::bench
