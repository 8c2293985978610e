#include "policy/fleet/stream_copies.hpp"

#include "policy/fleet/heartbeat_audience.hpp"
#include "policy/rendezvous.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace pollenhaven
{

namespace
{

// Each copied stream has a copy at one daemon beside the one that wrote its record.
constexpr int max_lost_daemons = 1;

bool may_hold_copies(const fleet_view& fleet, const member_view& member, instant now)
{
    return member.leased && !member.leaving &&
           member.message_version >= first_copying_version &&
           is_reachable_peer(fleet, member, now);
}

// Returns true if the member may have run at that time or later.
bool may_have_run_since(const member_view& member, instant time)
{
    return member.leased || member.last_message_at >= time ||
           (member.lease_ended_at && *member.lease_ended_at >= time);
}

// Returns the last copy of each run of a writer.
std::map<std::pair<daemon_id, incarnation_id>, stream_copy>
last_copies(const stream_answers& answers)
{
    std::map<std::pair<daemon_id, incarnation_id>, stream_copy> copies;
    for (const auto& [member, answer] : answers)
    {
        if (!answer.statement.copy)
            continue;
        const stream_copy& copy = *answer.statement.copy;
        const auto [place, is_new] =
            copies.try_emplace({copy.writer, copy.incarnation}, copy);
        if (!is_new && place->second.number < copy.number)
            place->second = copy;
    }
    return copies;
}

} // namespace

std::vector<daemon_id> copy_holders(const fleet_view& fleet, instant now)
{
    using candidate = std::pair<std::uint64_t, daemon_id>;
    std::map<std::string, std::vector<candidate>> zones;
    for (const auto& [id, member] : fleet.members)
        if (may_hold_copies(fleet, member, now))
            zones[member.zone].emplace_back(rendezvous_weight(fleet.self.value, id.value),
                                            id);
    std::vector<std::tuple<std::size_t, bool, candidate>> order;
    for (auto& [zone, candidates] : zones)
    {
        std::sort(candidates.rbegin(), candidates.rend());
        for (std::size_t rank = 0; rank < candidates.size(); ++rank)
            order.emplace_back(rank, zone == fleet.zone, candidates.at(rank));
    }
    std::sort(order.begin(), order.end());
    std::vector<daemon_id> holders;
    holders.reserve(order.size());
    for (const auto& [rank, is_own_zone, chosen] : order)
        holders.push_back(chosen.second);
    return holders;
}

std::optional<software_version> stated_version(const stream_answers& answers)
{
    std::set<software_version> begun;
    for (const auto& [member, answer] : answers)
        if (answer.statement.own)
            begun.insert(*answer.statement.own);
    std::set<software_version> copied;
    for (const auto& [writer, copy] : last_copies(answers))
        copied.insert(copy.version);
    const std::set<software_version>& versions = begun.empty() ? copied : begun;
    if (versions.size() != 1)
        return std::nullopt;
    return *versions.begin();
}

bool is_without_record(const fleet_view& fleet, const stream_answers& answers,
                       instant restored_at, instant started)
{
    const instant copied_at = restored_at - max_restored_copy_age;
    if (started > copied_at)
        return false;
    for (const auto& [member, answer] : answers)
        if (answer.statement.own || answer.statement.copy)
            return false;
    int lost = 0;
    for (const auto& [id, member] : fleet.members)
    {
        if (id == fleet.self || !may_have_run_since(member, copied_at))
            continue;
        const auto answer = answers.find(id);
        const bool remembers =
            answer != answers.end() &&
            answer->second.received - answer->second.statement.uptime <= copied_at;
        lost += remembers ? 0 : 1;
    }
    return lost <= max_lost_daemons;
}

} // namespace pollenhaven
