#ifndef POLLENHAVEN_POLICY_FAIR_SHARE_HPP
#define POLLENHAVEN_POLICY_FAIR_SHARE_HPP

#include "core/ids.hpp"

#include <map>
#include <vector>

namespace pollenhaven
{

// Weighted fair queueing over partners. Each partner's virtual time is the work it
// received divided by its weight; the backlogged partner with the least is served next.
// Work received on other owners counts too, so that shares hold over the whole fleet.
struct fair_share
{
    std::map<partner_id, double> weights;
    std::map<partner_id, double> virtual_time;
    // The virtual time of the partner served last; one that was idle starts from here.
    double now = 0;
};

// A partner that the document doesn't name has weight 1.
double weight_of(const fair_share& shares, const partner_id& partner);

// Called when a partner's queue turns non-empty: time spent idle gives no credit.
void become_backlogged(fair_share& shares, const partner_id& partner);

// Counts work received, in tokens, here or on another owner.
void charge(fair_share& shares, const partner_id& partner, double tokens);

// How many of the queued requests are served before a new one of this partner: its own
// queue, and what the others get meanwhile by their weights.
int requests_ahead(const fair_share& shares, const std::map<partner_id, int>& queued,
                   const partner_id& partner);

// The partner to serve next. The list must not be empty.
partner_id next_partner(fair_share& shares, const std::vector<partner_id>& backlogged);

} // namespace pollenhaven

#endif
