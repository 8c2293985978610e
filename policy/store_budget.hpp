#ifndef POLLENHAVEN_POLICY_STORE_BUDGET_HPP
#define POLLENHAVEN_POLICY_STORE_BUDGET_HPP

#include "core/boot_clock.hpp"
#include "core/ids.hpp"
#include "policy/operating_document.hpp"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace pollenhaven
{

// A wish to load one adapter from the weight store.
struct permit_request
{
    std::string id;
    work_class priority = work_class::interactive;
    instant asked{};
};

// The rate limit of the weight store: a token bucket and a bound on loads in flight. The
// region's permit holder keeps one for all; a daemon that can't reach it keeps its own
// with a static share of the rate.
struct store_budget
{
    store_limits limits;
    double tokens = 0;
    instant refilled{};
    // Loads in progress with the time by which each counts as ended.
    std::map<std::string, instant> in_flight;
    std::deque<permit_request> interactive;
    std::deque<permit_request> overnight;
};

// The budget that each of the members may use by itself.
store_limits static_share(const store_limits& limits, int members);

// Queues a request; asking twice with the same id counts once.
void ask_permit(store_budget& budget, const permit_request& request);

// Ends a load or withdraws a request.
void end_load(store_budget& budget, const std::string& id);

// Grants what the budget allows now: people who wait first, then overnight work, each in
// order of asking.
std::vector<std::string> grant_permits(store_budget& budget, instant now);

} // namespace pollenhaven

#endif
