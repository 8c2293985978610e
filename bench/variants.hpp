#ifndef POLLENHAVEN_BENCH_VARIANTS_HPP
#define POLLENHAVEN_BENCH_VARIANTS_HPP

#include "bench/emulation.hpp"

namespace pollenhaven::bench
{

// The product's decisions: each daemon with a view of its own that messages keep, each
// engine with one holder of orders.
emulation_result emulate_product(const deployment_profile& where,
                                 const std::vector<emulated_request>& load);

// Least loaded engine that holds the adapter, else the least loaded one loads it; first
// come first served; the least recently used adapter makes way; one view of everything.
emulation_result emulate_naive(const deployment_profile& where,
                               const std::vector<emulated_request>& load);

// What the engines alone allow: every adapter is where it is needed, and every daemon
// knows at once what each engine has to read.
emulation_result emulate_bound(const deployment_profile& where,
                               const std::vector<emulated_request>& load);

} // namespace pollenhaven::bench

#endif
