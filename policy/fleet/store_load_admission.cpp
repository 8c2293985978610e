#include "policy/fleet/store_load_admission.hpp"

#include <array>

namespace pollenhaven
{

namespace
{

constexpr int min_excess_for_bound = 4;

// For adapters that at least `requests` want, of which those that ended without it some
// seconds ago count for less: the loads that may be in progress, as a
// multiple of those that the store serves at full speed. A load takes as many times
// longer.
struct admission_class
{
    double requests;
    double loads;
};

// A first request must have its adapter within about 0.4 s to be in time, a second one is
// served within targets of about a second, and an adapter in demand is worth a load as
// long as callers wait at all.
constexpr std::array<admission_class, 3> classes{{{2.5, 5}, {1.5, 2.5}, {0, 1.5}}};

} // namespace

bool needs_common_bound(const load_time_model& model, int engines, int loads_per_engine)
{
    return engines * loads_per_engine >= min_excess_for_bound * model.loads_at_full_speed;
}

bool may_begin_store_load(const load_time_model& model, int loads_in_progress,
                          double requests)
{
    for (const admission_class& candidate : classes)
        if (requests >= candidate.requests)
            return loads_in_progress < candidate.loads * model.loads_at_full_speed;
    return false;
}

} // namespace pollenhaven
