#include "bench/targets.hpp"

#include <iostream>
#include <map>

namespace pollenhaven::bench
{

namespace
{

// The project's performance targets: credit relative to the upper bound and to the naive
// baseline.
constexpr double min_credit_to_bound = 0.9;
constexpr double min_credit_to_naive = 2.0;
// If even the upper bound earns less than this share of the credit, the engines are
// saturated.
constexpr double saturation_credit = 0.97;

} // namespace

std::vector<target_check> check_targets(const compared_case& compared)
{
    const double product = compared.product.credit_share;
    const double bound = compared.bound.credit_share;
    const double naive = compared.naive.credit_share;
    const auto target_latency = static_cast<double>(compared.target_latency.count());
    std::vector<target_check> checks;
    if (bound >= saturation_credit)
    {
        const double first_token_p95 = compared.product.first_token_p95_ms;
        if (compared.bound.first_token_p95_ms <= target_latency)
            checks.push_back(
                {"first token within the target latency for 95 in 100, below saturation",
                 compared.name, first_token_p95, target_latency,
                 first_token_p95 <= target_latency});
        return checks;
    }
    checks.push_back({"credit at least 0.9 of the upper bound's, above saturation",
                      compared.name, product, min_credit_to_bound * bound,
                      product >= min_credit_to_bound * bound});
    checks.push_back({"credit at least twice the naive baseline's, above saturation",
                      compared.name, product, min_credit_to_naive * naive,
                      product >= min_credit_to_naive * naive});
    return checks;
}

void print_targets(const std::vector<target_check>& checks)
{
    std::map<std::string, std::pair<int, int>> met_by_target;
    for (const target_check& check : checks)
    {
        std::pair<int, int>& counted = met_by_target[check.target];
        counted.first += check.met ? 1 : 0;
        ++counted.second;
    }
    std::cout << "\ntargets\n";
    for (const auto& [target, counted] : met_by_target)
        std::cout << "  " << target << ": met " << counted.first << " of "
                  << counted.second << '\n';
    for (const target_check& check : checks)
    {
        if (!check.met)
            std::cout << "  missed: " << check.target << ", " << check.case_name << ": "
                      << check.measured << " against " << check.threshold << '\n';
    }
}

} // namespace pollenhaven::bench
