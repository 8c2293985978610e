#ifndef POLLENHAVEN_BENCH_VARIANTS_HPP
#define POLLENHAVEN_BENCH_VARIANTS_HPP

#include "bench/emulation.hpp"

namespace pollenhaven::bench
{

// pollenhaven's decisions: each daemon has its own view of the fleet, which messages
// update, and each engine has one holder, which alone sends it orders.
emulation_result emulate_product(const deployment_profile& deployment,
                                 const std::vector<emulated_request>& load);

// Naive baseline with one exact view of all engines: a request goes to the least loaded
// engine that has the adapter, else the least loaded engine loads it. Requests are served
// first come, first served, and the least recently used adapter is evicted.
emulation_result emulate_naive(const deployment_profile& deployment,
                               const std::vector<emulated_request>& load);

// Upper bound that only the engines' speed limits: every engine has every adapter, and
// every daemon knows the pending prompt tokens of each engine without delay.
emulation_result emulate_bound(const deployment_profile& deployment,
                               const std::vector<emulated_request>& load);

} // namespace pollenhaven::bench

#endif
