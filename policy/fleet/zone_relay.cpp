#include "policy/fleet/zone_relay.hpp"

#include "policy/fleet/heartbeat_audience.hpp"
#include "policy/rendezvous.hpp"

#include <map>

namespace pollenhaven
{

namespace
{

constexpr int first_relaying_version = 2;

bool can_relay(const member_view& member)
{
    return member.leased && !member.leaving &&
           member.message_version >= first_relaying_version;
}

} // namespace

relay_plan plan_relays(const fleet_view& fleet, const std::string& key, instant now)
{
    relay_plan plan;
    std::map<std::string, std::vector<daemon_id>> zones;
    std::map<std::string, std::pair<std::uint64_t, daemon_id>> relays;
    for (const auto& [id, member] : fleet.members)
    {
        if (!is_reachable_peer(fleet, member, now))
            continue;
        if (member.zone == fleet.zone)
        {
            plan.direct.push_back(id);
            continue;
        }
        zones[member.zone].push_back(id);
        if (can_relay(member))
            relays[member.zone] =
                std::max(relays[member.zone], {rendezvous_weight(key, id.value), id});
    }
    for (const auto& [zone, members] : zones)
    {
        const auto relay = relays.find(zone);
        if (relay == relays.end())
            plan.direct.insert(plan.direct.end(), members.begin(), members.end());
        else
            plan.relays.push_back(relay->second.second);
    }
    return plan;
}

std::vector<daemon_id> relay_targets(const fleet_view& fleet, const daemon_id& sender,
                                     instant now)
{
    std::vector<daemon_id> targets;
    for (const auto& [id, member] : fleet.members)
        if (member.zone == fleet.zone && id != sender &&
            is_reachable_peer(fleet, member, now))
            targets.push_back(id);
    return targets;
}

} // namespace pollenhaven
