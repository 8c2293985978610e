#include "policy/fleet/endpoint_links.hpp"

#include "policy/rendezvous.hpp"

#include <algorithm>

namespace pollenhaven
{

namespace
{

// One endpoint may crash at any time, and another one at the same time.
constexpr std::size_t failures_of_a_cut = 3;
// Failures that are further apart than this have different causes.
constexpr milliseconds failure_window{5000};
// Probes decide earlier than this, unless there is nothing to probe.
constexpr milliseconds max_decision_time{1500};
// Endpoints that are under load send something to a daemon much more often.
constexpr milliseconds suspicious_silence{500};

std::vector<endpoint_id> usable_endpoints(const fleet_view& fleet, instant now)
{
    std::vector<endpoint_id> usable;
    for (const auto& [id, endpoint] : fleet.endpoints)
        if (!endpoint.draining && !is_gone(endpoint, now) &&
            !endpoint.record.address.empty())
            usable.push_back(id);
    return usable;
}

} // namespace

bool is_cut_off(const endpoint_links& links)
{
    return links.cut_off_since.has_value();
}

bool is_cut_off_confirmed(const endpoint_links& links, instant now)
{
    return links.cut_off_since && now - *links.cut_off_since >= cut_confirmation_time;
}

bool is_cut_undecided(const endpoint_links& links, instant now)
{
    return !links.failed.empty() && !is_cut_off_confirmed(links, now) &&
           now - links.first_failure_at < max_decision_time;
}

bool is_silence_suspicious(const endpoint_links& links, bool waits_for_endpoints,
                           instant now)
{
    return waits_for_endpoints && !is_cut_off(links) &&
           now - links.last_heard_at > suspicious_silence;
}

bool record_connection(endpoint_links& links)
{
    const bool was_cut_off = is_cut_off(links);
    links.failed.clear();
    links.cut_off_since.reset();
    return was_cut_off;
}

bool record_connection_failure(endpoint_links& links, const fleet_view& fleet,
                               const endpoint_id& endpoint, instant now)
{
    if (now - links.first_failure_at > failure_window && !is_cut_off(links))
        links.failed.clear();
    if (links.failed.empty())
        links.first_failure_at = now;
    links.failed.insert(endpoint);
    const std::size_t required = std::min(
        failures_of_a_cut, std::max<std::size_t>(1, usable_endpoints(fleet, now).size()));
    // Endpoints that crash together fail at once; then a probe finds another one.
    if (is_cut_off(links) || links.failed.size() < required ||
        now - links.first_failure_at < min_cut_duration)
        return false;
    links.cut_off_since = now;
    return true;
}

std::vector<endpoint_id> endpoints_to_probe(const endpoint_links& links,
                                            const fleet_view& fleet, std::size_t count,
                                            std::uint64_t seed, instant now)
{
    std::vector<endpoint_id> candidates = usable_endpoints(fleet, now);
    const std::string key = std::to_string(seed);
    const auto rank = [&](const endpoint_id& id)
    { return std::pair(links.failed.contains(id), rendezvous_weight(key, id.value)); };
    std::sort(candidates.begin(), candidates.end(),
              [&](const endpoint_id& left, const endpoint_id& right)
              { return rank(left) < rank(right); });
    candidates.resize(std::min(candidates.size(), count));
    return candidates;
}

std::optional<daemon_id> choose_relay(const fleet_view& fleet, std::uint64_t request_hash,
                                      const std::set<daemon_id>& excluded, instant now)
{
    const std::string key = std::to_string(request_hash);
    std::optional<daemon_id> best;
    std::uint64_t highest = 0;
    for (const auto& [id, member] : fleet.members)
    {
        if (id == fleet.self || !is_usable_by_callers(member, now) || member.cut_off ||
            member.peer_address.empty() || excluded.contains(id))
            continue;
        const std::uint64_t weight = rendezvous_weight(key, id.value);
        if (best && weight <= highest)
            continue;
        best = id;
        highest = weight;
    }
    return best;
}

} // namespace pollenhaven
