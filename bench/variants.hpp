#ifndef POLLENHAVEN_BENCH_VARIANTS_HPP
#define POLLENHAVEN_BENCH_VARIANTS_HPP

#include "bench/emulation.hpp"

namespace pollenhaven::bench
{

// Emulates pollenhaven's decisions: each daemon has its own view of the fleet, which
// messages update, and each engine has one holder, which alone sends it orders.
emulation_result emulate_product(const deployment_profile& deployment,
                                 const std::vector<emulated_request>& workload);

// Emulates a naive baseline with one exact view of all engines: a request goes to the
// least loaded engine that has the adapter, else the least loaded engine loads it.
// Requests are sent in order of arrival, and the least recently used adapter is evicted.
emulation_result emulate_naive(const deployment_profile& deployment,
                               const std::vector<emulated_request>& workload);

// Emulates an upper bound that is limited only by the speed of the engines. Every engine
// has every adapter, and one dispatcher knows the pending prompt tokens of each engine
// without delay.
emulation_result emulate_bound(const deployment_profile& deployment,
                               const std::vector<emulated_request>& workload);

} // namespace pollenhaven::bench

#endif
