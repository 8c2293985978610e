#include "policy/store_budget.hpp"

#include <algorithm>

namespace pollenhaven
{

namespace
{

// A load not reported as ended by then belongs to a daemon that died.
constexpr seconds load_report_timeout{15};

bool is_queued(const std::deque<permit_request>& queue, const std::string& id)
{
    return std::any_of(queue.begin(), queue.end(),
                       [&](const permit_request& request) { return request.id == id; });
}

void withdraw(std::deque<permit_request>& queue, const std::string& id)
{
    std::erase_if(queue, [&](const permit_request& request) { return request.id == id; });
}

void refill(store_budget& budget, instant now)
{
    const double burst = std::max(1.0, static_cast<double>(budget.limits.burst));
    if (budget.refilled == instant{})
        budget.tokens = burst;
    else
        budget.tokens +=
            to_seconds(now - budget.refilled) * budget.limits.loads_per_second;
    budget.tokens = std::min(budget.tokens, burst);
    budget.refilled = now;
}

} // namespace

store_limits static_share(const store_limits& limits, int members)
{
    store_limits share = limits;
    const int parts = std::max(1, members);
    share.loads_per_second = limits.loads_per_second / parts;
    share.burst = 1;
    share.max_in_flight = std::max(1, limits.max_in_flight / parts);
    return share;
}

void ask_permit(store_budget& budget, const permit_request& request)
{
    if (budget.in_flight.count(request.id) > 0)
        return;
    const bool waits = request.priority == work_class::interactive;
    if (waits)
        withdraw(budget.overnight, request.id);
    if (is_queued(budget.interactive, request.id) ||
        is_queued(budget.overnight, request.id))
        return;
    (waits ? budget.interactive : budget.overnight).push_back(request);
}

void end_load(store_budget& budget, const std::string& id)
{
    budget.in_flight.erase(id);
    withdraw(budget.interactive, id);
    withdraw(budget.overnight, id);
}

std::vector<std::string> grant_permits(store_budget& budget, instant now)
{
    refill(budget, now);
    std::erase_if(budget.in_flight, [&](const auto& load) { return load.second <= now; });
    std::vector<std::string> granted;
    while (budget.tokens >= 1.0 &&
           budget.in_flight.size() <
               static_cast<std::size_t>(budget.limits.max_in_flight))
    {
        std::deque<permit_request>& queue =
            budget.interactive.empty() ? budget.overnight : budget.interactive;
        if (queue.empty())
            break;
        const std::string id = queue.front().id;
        queue.pop_front();
        budget.tokens -= 1.0;
        budget.in_flight[id] = now + load_report_timeout;
        granted.push_back(id);
    }
    return granted;
}

} // namespace pollenhaven
