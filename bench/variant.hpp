#ifndef POLLENHAVEN_BENCH_VARIANT_HPP
#define POLLENHAVEN_BENCH_VARIANT_HPP

#include "policy/endpoint_scheduler.hpp"
#include "policy/placement.hpp"
#include "policy/store_budget.hpp"

#include <functional>
#include <string>
#include <vector>

namespace pollenhaven::bench
{

// One way of deciding, which the simulator carries out. The functions are those of the
// product's policy, or stand-ins for them.
struct variant
{
    std::string name;
    // Nothing: the request is refused for now.
    std::function<std::optional<endpoint_id>(const model_ref&, work_class,
                                             const std::vector<placement_candidate>&)>
        choose;
    std::function<scheduler_actions(endpoint_scheduler&, fair_share&,
                                    const queued_request&, instant)>
        on_request;
    std::function<scheduler_actions(endpoint_scheduler&, fair_share&, const request_id&,
                                    instant)>
        on_finished;
    std::function<scheduler_actions(endpoint_scheduler&, fair_share&, const model_ref&,
                                    bool, instant)>
        on_load_ended;
    std::function<scheduler_actions(endpoint_scheduler&, fair_share&, const model_ref&,
                                    bool, instant)>
        on_unload_ended;
    std::function<scheduler_actions(endpoint_scheduler&, fair_share&, const model_ref&,
                                    instant)>
        on_permit;
    std::function<scheduler_actions(endpoint_scheduler&, fair_share&, instant)>
        on_restarted;
    std::function<scheduler_actions(endpoint_scheduler&, fair_share&, instant)> on_tick;
    // False: loads go to the store at once, which then queues them itself.
    bool uses_permits = true;
};

// What the product does.
variant pollenhaven_variant(const store_limits& store);

// Least-loaded endpoint, least-recently-used eviction, first in first out, no permits.
variant naive_variant();

} // namespace pollenhaven::bench

#endif
