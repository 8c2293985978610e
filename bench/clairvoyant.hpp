#ifndef POLLENHAVEN_BENCH_CLAIRVOYANT_HPP
#define POLLENHAVEN_BENCH_CLAIRVOYANT_HPP

#include "bench/simulator.hpp"

namespace pollenhaven::bench
{

// A bound that no placement without knowledge of the future can be expected to beat: all
// slots form one pool that every request reaches, the adapter evicted is the one whose
// next use is the farthest away, and engines are never full. Loads still go through the
// store on demand, people who wait first.
simulation_result simulate_clairvoyant(const deployment_sizes& sizes,
                                       const workload_options& options,
                                       const std::vector<workload_request>& load);

} // namespace pollenhaven::bench

#endif
