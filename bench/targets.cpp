#include "bench/targets.hpp"

#include <iostream>
#include <map>

namespace pollenhaven::bench
{

namespace
{

// The targets as they were stated.
constexpr double credit_of_bound = 0.9;
constexpr double credit_to_naive = 2.0;
// Below this credit of the bound the engines themselves are saturated.
constexpr double saturated_credit = 0.97;

} // namespace

std::vector<target_check> check_targets(const compared_case& compared)
{
    const double product = compared.product.credit_share;
    const double bound = compared.bound.credit_share;
    const double naive = compared.naive.credit_share;
    const auto aim = static_cast<double>(compared.target_latency.count());
    std::vector<target_check> checks;
    if (bound >= saturated_credit)
    {
        const double first = compared.product.first_token_p95_ms;
        if (compared.bound.first_token_p95_ms <= aim)
            checks.push_back(
                {"first token within the aim for 95 in 100, below saturation",
                 compared.name, first, aim, first <= aim});
        return checks;
    }
    checks.push_back({"credit at least 0.9 of the bound, above saturation", compared.name,
                      product, credit_of_bound * bound,
                      product >= credit_of_bound * bound});
    checks.push_back({"credit at least twice the naive version's, above saturation",
                      compared.name, product, credit_to_naive * naive,
                      product >= credit_to_naive * naive});
    return checks;
}

void print_targets(const std::vector<target_check>& checks)
{
    std::map<std::string, std::pair<int, int>> met_of;
    for (const target_check& check : checks)
    {
        std::pair<int, int>& counted = met_of[check.target];
        counted.first += check.met ? 1 : 0;
        ++counted.second;
    }
    std::cout << "\ntargets\n";
    for (const auto& [target, counted] : met_of)
        std::cout << "  " << target << ": met " << counted.first << " of "
                  << counted.second << '\n';
    for (const target_check& check : checks)
    {
        if (!check.met)
            std::cout << "  missed: " << check.target << ", " << check.case_name << ": "
                      << check.measured << " against " << check.bound << '\n';
    }
}

} // namespace pollenhaven::bench
