#include "bench/targets.hpp"

#include <nlohmann/json.hpp>

#include <iostream>
#include <map>
#include <sstream>
#include <utility>

namespace pollenhaven::bench
{

namespace
{

using nlohmann::ordered_json;

// The targets as they were stated.
constexpr double stall_to_naive = 1.0 / 3;
constexpr double stall_to_clairvoyant = 1.5;
constexpr double first_token_s = 0.34;
constexpr double batch_to_naive = 1.3;
constexpr double loads_to_clairvoyant = 1.2;
constexpr double share_points = 2.0;
constexpr double shift_s = 10.0;

std::string place_of(const ordered_json& row)
{
    std::ostringstream place;
    place << row["deployment"].get<std::string>() << ' ' << row["case"].get<std::string>()
          << " skew " << row["skew"].get<double>() << " rate "
          << row["rate"].get<double>();
    return place.str();
}

target_check at_most(const std::string& target, const ordered_json& row, double measured,
                     double bound)
{
    return {target, place_of(row), measured, bound, measured <= bound};
}

target_check at_least(const std::string& target, const ordered_json& row, double measured,
                      double bound)
{
    return {target, place_of(row), measured, bound, measured >= bound};
}

double value_of(const ordered_json& row, const char* name)
{
    return row[name].get<double>();
}

} // namespace

std::vector<target_check> check_targets(const std::vector<ordered_json>& rows)
{
    const ordered_json& ours = rows.at(0);
    const ordered_json& naive = rows.at(1);
    const ordered_json& bound = rows.at(2);
    std::vector<target_check> checks;
    if (!ours["share_error_points"].is_null())
    {
        checks.push_back(at_most("share error in points", ours,
                                 value_of(ours, "share_error_points"), share_points));
        return checks;
    }
    if (ours["saturated"].get<bool>())
        return checks;
    const char* stall = "interactive_load_stall_p95_s";
    checks.push_back(at_most("stall p95 to a third of naive", ours, value_of(ours, stall),
                             stall_to_naive * value_of(naive, stall)));
    checks.push_back(at_most("stall p95 to 1.5 times clairvoyant", ours,
                             value_of(ours, stall),
                             stall_to_clairvoyant * value_of(bound, stall)));
    if (value_of(bound, "first_token_p95_s") <= first_token_s)
        checks.push_back(at_most("first token p95", ours,
                                 value_of(ours, "first_token_p95_s"), first_token_s));
    checks.push_back(at_most("loads to 1.2 times clairvoyant", ours,
                             value_of(ours, "loads"),
                             loads_to_clairvoyant * value_of(bound, "loads")));
    if (ours.contains("shift_absorbed_s"))
        checks.push_back(at_most("shift absorbed in 10 s", ours,
                                 value_of(ours, "shift_absorbed_s"), shift_s));
    if (ours["overnight"].get<double>() > 0)
        checks.push_back(at_least("batch efficiency to 1.3 times naive", ours,
                                  value_of(ours, "batch_efficiency"),
                                  batch_to_naive * value_of(naive, "batch_efficiency")));
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
    std::cout << "\ntargets, below saturation\n";
    for (const auto& [target, counted] : met_of)
        std::cout << "  " << target << ": met " << counted.first << " of "
                  << counted.second << '\n';
    for (const target_check& check : checks)
    {
        if (!check.met)
            std::cout << "  missed: " << check.target << ", " << check.where << ": "
                      << check.measured << " against " << check.bound << '\n';
    }
}

} // namespace pollenhaven::bench
