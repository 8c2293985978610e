#ifndef POLLENHAVEN_POLICY_FLEET_STORE_LOAD_ADMISSION_HPP
#define POLLENHAVEN_POLICY_FLEET_STORE_LOAD_ADMISSION_HPP

#include "policy/fleet/load_time_model.hpp"

namespace pollenhaven
{

// Answers demand that moves to many other adapters at once: loads from the weight store
// share its bandwidth, so beyond some number of them none is complete in time.

// Returns true if the engines could begin so many loads that a bound for all of them
// together is needed. `loads_per_engine` is the limit of each engine.
bool needs_common_bound(const load_time_model& model, int engines, int loads_per_engine);

// Returns true if a load of an adapter that `requests` want may begin beside the loads
// that are in progress at all engines.
bool may_begin_store_load(const load_time_model& model, int loads_in_progress,
                          double requests);

} // namespace pollenhaven

#endif
