#include "policy/fair_share.hpp"

#include <algorithm>
#include <stdexcept>

namespace pollenhaven
{

double weight_of(const fair_share& shares, const partner_id& partner)
{
    const auto found = shares.weights.find(partner);
    if (found == shares.weights.end() || found->second <= 0)
        return 1.0;
    return found->second;
}

void become_backlogged(fair_share& shares, const partner_id& partner)
{
    double& virtual_time = shares.virtual_time[partner];
    virtual_time = std::max(virtual_time, shares.now);
}

void charge(fair_share& shares, const partner_id& partner, double tokens)
{
    shares.virtual_time[partner] += tokens / weight_of(shares, partner);
}

partner_id next_partner(fair_share& shares, const std::vector<partner_id>& backlogged)
{
    if (backlogged.empty())
        throw std::invalid_argument("next_partner was asked with no backlogged partner");
    const auto least = std::min_element(
        backlogged.begin(), backlogged.end(),
        [&](const partner_id& left, const partner_id& right)
        { return shares.virtual_time[left] < shares.virtual_time[right]; });
    shares.now = std::max(shares.now, shares.virtual_time[*least]);
    return *least;
}

} // namespace pollenhaven
