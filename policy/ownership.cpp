#include "policy/ownership.hpp"

#include "policy/rendezvous.hpp"

#include <vector>

namespace pollenhaven
{

namespace
{

bool is_leaving(const ownership_view& view, const member_record& member)
{
    if (member.leaving || (member.id == view.self && view.self_leaving))
        return true;
    if (!view.instances)
        return false;
    const auto listed = view.instances->find(member.id.value);
    return listed != view.instances->end() && listed->second == instance_state::leaving;
}

std::vector<daemon_id> eligible_members(const ownership_view& view)
{
    std::vector<daemon_id> eligible;
    for (const auto& [id, member] : view.members)
    {
        if (!is_leaving(view, member))
            eligible.push_back(id);
    }
    return eligible;
}

// True if the platform has removed the owner's instance.
bool is_gone(const ownership_view& view, const ownership_record& record, instant now)
{
    if (!record.listed || view.members.count(record.owner) > 0)
        return false;
    const auto absent = view.absent_since.find(record.owner);
    return absent != view.absent_since.end() && now - absent->second >= view.gone_delay;
}

bool is_listed(const ownership_view& view, const daemon_id& daemon)
{
    return view.instances && view.instances->count(daemon.value) > 0;
}

bool may_take_any(const ownership_view& view, instant now)
{
    return !view.self_leaving && (is_listed(view, view.self) ||
                                  now - view.self_started >= view.listing_patience);
}

const ownership_record* find_record(const ownership_document& document,
                                    const endpoint_id& endpoint)
{
    const auto found = document.endpoints.find(endpoint);
    return found == document.endpoints.end() ? nullptr : &found->second;
}

bool is_ours(const ownership_view& view, const ownership_record& record)
{
    return record.owner == view.self && record.incarnation == view.self_incarnation;
}

daemon_id preferred_member(const endpoint_id& endpoint,
                           const std::vector<daemon_id>& members,
                           const std::map<daemon_id, std::size_t>& held,
                           std::size_t quota)
{
    daemon_id best;
    std::uint64_t best_weight = 0;
    for (const daemon_id& member : members)
    {
        const auto count = held.find(member);
        if (count != held.end() && count->second >= quota)
            continue;
        const std::uint64_t weight = rendezvous_weight(endpoint.value, member.value);
        if (best.empty() || weight > best_weight)
        {
            best = member;
            best_weight = weight;
        }
    }
    return best;
}

} // namespace

std::map<endpoint_id, daemon_id> desired_owners(const ownership_view& view)
{
    std::map<endpoint_id, daemon_id> desired;
    const std::vector<daemon_id> members = eligible_members(view);
    if (members.empty())
        return desired;
    const std::size_t quota =
        (view.endpoints.size() + members.size() - 1) / members.size();
    std::map<daemon_id, std::size_t> held;
    for (const daemon_id& member : members)
        held[member] = 0;
    for (const auto& [endpoint, entry] : view.endpoints)
    {
        const ownership_record* record = find_record(view.current, endpoint);
        if (record == nullptr || held.count(record->owner) == 0)
            continue;
        if (held[record->owner] >= quota)
            continue;
        desired[endpoint] = record->owner;
        ++held[record->owner];
    }
    for (const auto& [endpoint, entry] : view.endpoints)
    {
        if (desired.count(endpoint) > 0)
            continue;
        const daemon_id member = preferred_member(endpoint, members, held, quota);
        desired[endpoint] = member;
        ++held[member];
    }
    return desired;
}

bool may_take_over(const ownership_view& view, const endpoint_id& endpoint,
                   const ownership_record& record, instant now)
{
    if (record.owner.empty())
        return true;
    const auto member = view.members.find(record.owner);
    // A new incarnation listens on the addresses of the old one, so the old one has
    // ended.
    if (member != view.members.end() && member->second.incarnation != record.incarnation)
        return true;
    if (record.owner == view.self && record.incarnation != view.self_incarnation)
        return true;
    if (is_gone(view, record, now))
        return true;
    const auto entry = view.endpoints.find(endpoint);
    if (entry == view.endpoints.end() || !entry->second.checks_fencing)
        return false;
    const auto missing = view.lease_missing_since.find(record.owner);
    if (missing == view.lease_missing_since.end())
        return false;
    // After an outage every lease looks lapsed; owners get time to renew before anyone
    // takes.
    return now - missing->second >= view.take_over_delay &&
           now - view.service_answering_since >= view.take_over_delay;
}

std::optional<ownership_document> plan_ownership(const ownership_view& view, instant now)
{
    ownership_document next = view.current;
    bool changed = false;
    for (const auto& [endpoint, wanted] : desired_owners(view))
    {
        const ownership_record* record = find_record(view.current, endpoint);
        if (wanted != view.self)
            continue;
        if (record != nullptr && is_ours(view, *record))
        {
            if (!record->listed && is_listed(view, view.self))
            {
                next.endpoints[endpoint].listed = true;
                changed = true;
            }
            continue;
        }
        if (!may_take_any(view, now) ||
            (record != nullptr && !may_take_over(view, endpoint, *record, now)))
            continue;
        const std::uint64_t epoch = record == nullptr ? 1 : record->epoch.value + 1;
        next.endpoints[endpoint] = {
            view.self, view.self_incarnation, {epoch}, is_listed(view, view.self)};
        changed = true;
    }
    for (const auto& [endpoint, successor] : handovers(view))
    {
        const auto idle = view.idle.find(endpoint);
        if (idle == view.idle.end() || !idle->second)
            continue;
        ownership_record& record = next.endpoints[endpoint];
        record.owner = {};
        record.incarnation = {};
        changed = true;
    }
    if (!changed)
        return std::nullopt;
    return next;
}

std::map<endpoint_id, daemon_id> handovers(const ownership_view& view)
{
    std::map<endpoint_id, daemon_id> leaving;
    const std::map<endpoint_id, daemon_id> desired = desired_owners(view);
    for (const auto& [endpoint, record] : view.current.endpoints)
    {
        if (!is_ours(view, record))
            continue;
        const auto wanted = desired.find(endpoint);
        const bool removed = view.endpoints.count(endpoint) == 0;
        if (removed || view.self_leaving)
            leaving[endpoint] = wanted == desired.end() ? daemon_id{} : wanted->second;
        else if (wanted != desired.end() && wanted->second != view.self)
            leaving[endpoint] = wanted->second;
    }
    return leaving;
}

} // namespace pollenhaven
