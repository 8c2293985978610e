#include "servers/gateway/load_observations.hpp"

#include <utility>

namespace pollenhaven
{

namespace
{

// Observations beyond this number in one heartbeat tell little more.
constexpr std::size_t max_kept_observations = 16;

} // namespace

void record_load_observation(gateway_context& context, const load_observation& observed)
{
    load_time_model& model = context.fleet.load_times;
    if (!is_informative(model, observed))
        return;
    const milliseconds expected =
        expected_load_duration(model, observed.concurrent_loads);
    observe_load(model, observed);
    if (context.load_observations.size() < max_kept_observations)
        context.load_observations.push_back(observed);
    context.log.write(
        "load observed",
        {{"concurrent_loads", std::int64_t{observed.concurrent_loads}},
         {"elapsed_ms", std::int64_t{observed.elapsed.count()}},
         {"expected_ms", std::int64_t{expected.count()}},
         {"outcome", observed.complete ? "complete" : "in progress"},
         {"full_speed_ms", static_cast<std::int64_t>(model.full_speed_ms)},
         {"loads_at_full_speed", static_cast<std::int64_t>(model.loads_at_full_speed)}});
}

std::vector<load_observation> take_load_observations(gateway_context& context)
{
    return std::exchange(context.load_observations, {});
}

} // namespace pollenhaven
