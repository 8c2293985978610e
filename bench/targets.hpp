#ifndef POLLENHAVEN_BENCH_TARGETS_HPP
#define POLLENHAVEN_BENCH_TARGETS_HPP

#include "bench/emulation.hpp"

#include <string>
#include <vector>

namespace pollenhaven::bench
{

// The results of one case for the three variants.
struct compared_case
{
    std::string name;
    milliseconds target_latency{0};
    emulation_result product;
    emulation_result naive;
    emulation_result bound;
};

// The check of one case against one target.
struct target_check
{
    std::string target;
    std::string case_name;
    double measured = 0;
    double threshold = 0;
    bool met = false;
};

// Checks a case against the performance targets that apply to its load.
std::vector<target_check> check_targets(const compared_case& compared);

// Prints how often each target was met, and each case that missed one.
void print_targets(const std::vector<target_check>& checks);

} // namespace pollenhaven::bench

#endif
