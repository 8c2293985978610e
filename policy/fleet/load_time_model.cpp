#include "policy/fleet/load_time_model.hpp"

#include <algorithm>
#include <cmath>

namespace pollenhaven
{

namespace
{

// Requests wait until the expected end of a load. One that arrives too early is refused
// and sent again, which takes less time than a long expectation costs, so the expectation
// falls by less with each load that was in time than it rises with one that was not.
constexpr double reduction = 0.993;
constexpr double increase = 1.05;
// Share of the difference to an observation that is adopted at once, on a logarithmic
// scale. The rest allows for loads that started or ended meanwhile.
constexpr double adopted_share = 0.5;
// A load that is found complete later than this after its expected end may have ended
// long before. The time covers the margin and the interval with which requests are sent.
constexpr double max_delay_ms = 30;
constexpr double min_full_speed_ms = 1;
constexpr double max_full_speed_ms = 60'000;
constexpr double min_loads_at_full_speed = 1;
constexpr double max_loads_at_full_speed = 100'000;
// Loads that are late among more others than usual, though the store should serve all of
// them at full speed, also reduce the number of loads at full speed, by this factor.
constexpr double capacity_reduction = 0.98;
constexpr double average_weight = 0.05;

double expected_ms(const load_time_model& model, int concurrent_loads)
{
    return model.full_speed_ms *
           std::max(1.0, concurrent_loads / model.loads_at_full_speed);
}

void set_loads_at_full_speed(load_time_model& model, double loads)
{
    model.loads_at_full_speed =
        std::clamp(loads, min_loads_at_full_speed, max_loads_at_full_speed);
}

} // namespace

milliseconds expected_load_duration(const load_time_model& model, int concurrent_loads)
{
    return milliseconds(std::llround(expected_ms(model, concurrent_loads)));
}

void adopt_load_times(load_time_model& model, const load_time_model& of_peer)
{
    if (model.is_learned || !of_peer.is_learned)
        return;
    model = of_peer;
    set_loads_at_full_speed(model, of_peer.loads_at_full_speed);
    model.full_speed_ms =
        std::clamp(of_peer.full_speed_ms, min_full_speed_ms, max_full_speed_ms);
}

bool is_informative(const load_time_model& model, const load_observation& observed)
{
    const double expected = expected_ms(model, observed.concurrent_loads);
    const auto elapsed = static_cast<double>(observed.elapsed.count());
    return observed.complete ? elapsed <= expected + max_delay_ms : elapsed >= expected;
}

void observe_load(load_time_model& model, const load_observation& observed)
{
    if (!is_informative(model, observed) || observed.elapsed.count() <= 0)
        return;
    const double expected = expected_ms(model, observed.concurrent_loads);
    const auto elapsed = static_cast<double>(observed.elapsed.count());
    const double difference = std::pow(elapsed / expected, adopted_share);
    const double factor = observed.complete ? std::min(difference, 1.0) * reduction
                                            : std::max(difference, 1.0) * increase;
    model.is_learned = true;
    const double loads = observed.concurrent_loads;
    if (loads > model.loads_at_full_speed)
        set_loads_at_full_speed(model, model.loads_at_full_speed / factor);
    else
        model.full_speed_ms = std::clamp(model.full_speed_ms * factor, min_full_speed_ms,
                                         max_full_speed_ms);
    if (!observed.complete && loads <= model.loads_at_full_speed &&
        loads >= model.usual_concurrent_loads)
        set_loads_at_full_speed(model, model.loads_at_full_speed * capacity_reduction);
    model.usual_concurrent_loads +=
        average_weight * (loads - model.usual_concurrent_loads);
}

} // namespace pollenhaven
