#ifndef POLLENHAVEN_POLICY_FLEET_LOAD_TIME_MODEL_HPP
#define POLLENHAVEN_POLICY_FLEET_LOAD_TIME_MODEL_HPP

#include "core/boot_clock.hpp"

namespace pollenhaven
{

// What this daemon has learned about the weight store. Up to a number of concurrent loads
// each takes the same time; more of them share the store's bandwidth.
struct load_time_model
{
    double full_speed_ms = 250;
    double loads_at_full_speed = 8;
    // Moving average of the number of concurrent loads in observations.
    double usual_concurrent_loads = 1;
    // False while the figures are those of the settings.
    bool is_learned = false;
};

// What is known about one load at a point in time.
struct load_observation
{
    // Loads in progress at all engines when this one started, itself included.
    int concurrent_loads = 0;
    // Time since its start.
    milliseconds elapsed{0};
    bool complete = false;
};

// Returns the expected duration of a load that starts as one of `concurrent_loads`.
milliseconds expected_load_duration(const load_time_model& model, int concurrent_loads);

// Returns true if the observation can change the model: the load is complete no later
// than expected, or not complete though it was expected to be.
bool is_informative(const load_time_model& model, const load_observation& observed);

// Takes over what a peer has learned, if nothing was learned here yet.
void adopt_load_times(load_time_model& model, const load_time_model& of_peer);

// Moves the model towards the observation. Expectations that hold are lowered slightly,
// so that they also follow a store that turned faster. Has no effect if the observation
// isn't informative.
void observe_load(load_time_model& model, const load_observation& observed);

} // namespace pollenhaven

#endif
