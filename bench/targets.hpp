#ifndef POLLENHAVEN_BENCH_TARGETS_HPP
#define POLLENHAVEN_BENCH_TARGETS_HPP

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace pollenhaven::bench
{

// One stated target, checked on one case.
struct target_check
{
    std::string target;
    std::string where;
    double measured = 0;
    double bound = 0;
    bool met = false;
};

// Checks the targets that apply to a case; the rows are the product's, the naive
// version's and the bound's, in this order. Saturated cases are exempt but for the
// shares.
std::vector<target_check> check_targets(const std::vector<nlohmann::ordered_json>& rows);

// How many checks were met for each target, and every one that was missed.
void print_targets(const std::vector<target_check>& checks);

} // namespace pollenhaven::bench

#endif
