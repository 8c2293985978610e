#include "policy/fleet/zone_relay.hpp"
#include "tests/policy/property.hpp"

#include <algorithm>
#include <set>

using namespace pollenhaven;

namespace
{

daemon_id name_of(int number)
{
    return {"daemon-" + std::to_string(number)};
}

fleet_view view_of(int self, int daemons, int zones)
{
    fleet_view fleet;
    fleet.self = name_of(self);
    fleet.zone = std::to_string(self % zones);
    for (int number = 0; number < daemons; ++number)
    {
        member_view& member = fleet.members[name_of(number)];
        member.id = name_of(number);
        member.zone = std::to_string(number % zones);
        member.peer_address = {"127.0.0.1:1"};
        member.leased = true;
        member.message_version = message_version;
    }
    return fleet;
}

// The daemons that get a message of daemon `self`, directly or through relays, and how
// often.
std::multiset<daemon_id> receivers_of(const fleet_view& fleet, int daemons, int zones,
                                      const std::string& key, instant now)
{
    const relay_plan plan = plan_relays(fleet, key, now);
    std::multiset<daemon_id> received(plan.direct.begin(), plan.direct.end());
    for (const daemon_id& relay : plan.relays)
    {
        received.insert(relay);
        const int number = std::stoi(relay.value.substr(relay.value.find('-') + 1));
        fleet_view view = view_of(number, daemons, zones);
        for (const daemon_id& target : relay_targets(view, fleet.self, now))
            received.insert(target);
    }
    return received;
}

} // namespace

BOOST_AUTO_TEST_SUITE(zone_relays)

BOOST_AUTO_TEST_CASE(a_relayed_message_reaches_every_peer_once)
{
    check_property(
        "a relayed message reaches every peer once and crosses to each zone once",
        []
        {
            const instant now(seconds(1000));
            const int daemons = *rc::gen::inRange(1, 250);
            const int zones = *rc::gen::inRange(1, 7);
            const fleet_view fleet =
                view_of(*rc::gen::inRange(0, daemons), daemons, zones);
            const std::string key = std::to_string(*rc::gen::inRange(0, 1000));
            const std::multiset<daemon_id> received =
                receivers_of(fleet, daemons, zones, key, now);
            RC_ASSERT(received.size() == static_cast<std::size_t>(daemons - 1));
            RC_ASSERT(std::set<daemon_id>(received.begin(), received.end()).size() ==
                      received.size());
            RC_ASSERT(plan_relays(fleet, key, now).relays.size() <
                      static_cast<std::size_t>(zones));
        });
}

// A relay that stands still must not keep a zone from all messages of an engine.
BOOST_AUTO_TEST_CASE(messages_with_other_keys_get_other_relays)
{
    const instant now(seconds(1000));
    const fleet_view fleet = view_of(0, 195, 5);
    std::set<daemon_id> relays;
    for (int sequence = 0; sequence < 100; ++sequence)
        for (const daemon_id& relay :
             plan_relays(fleet, "i-1/" + std::to_string(sequence), now).relays)
            relays.insert(relay);
    BOOST_TEST(relays.size() > 80U);
}

// Daemons of the release before don't relay.
BOOST_AUTO_TEST_CASE(a_zone_without_a_relay_gets_messages_directly)
{
    const instant now(seconds(1000));
    fleet_view fleet = view_of(0, 8, 2);
    for (auto& [id, member] : fleet.members)
        member.message_version = 1;
    BOOST_TEST(plan_relays(fleet, "key", now).relays.empty());
    BOOST_TEST(plan_relays(fleet, "key", now).direct.size() == 7U);
    fleet.members.at(name_of(3)).message_version = 2;
    BOOST_REQUIRE(plan_relays(fleet, "key", now).relays.size() == 1U);
    BOOST_TEST(plan_relays(fleet, "key", now).relays.front().value == "daemon-3");
    fleet.members.at(name_of(3)).leaving = true;
    BOOST_TEST(plan_relays(fleet, "key", now).relays.empty());
}

BOOST_AUTO_TEST_SUITE_END()
