#include "policy/fleet/heartbeat_audience.hpp"
#include "tests/policy/property.hpp"

#include <algorithm>
#include <set>

using namespace pollenhaven;

namespace
{

constexpr std::size_t max_targets = 8;

daemon_id name_of(int number)
{
    return {"daemon-" + std::to_string(number)};
}

// The view that one of `daemons` daemons in `zones` availability zones has of the others.
fleet_view view_of(int self, int daemons, int zones, instant now)
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
        member.last_message_at = now;
    }
    return fleet;
}

// Sends the first status to all, so that only the regular targets and those in turn are
// left.
void send_first_status(heartbeat_audience& audience, const fleet_view& fleet, instant now)
{
    for (int round = 0; round < 3; ++round)
        next_targets(audience, fleet, 1, false, now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(heartbeat_audiences)

// Guards against a processor that is full of heartbeats: with all to all a daemon of 195
// received 970 a second.
BOOST_AUTO_TEST_CASE(the_heartbeats_of_a_daemon_have_a_bound_in_any_fleet)
{
    const instant now(seconds(1000));
    for (const int daemons : {2, 8, 9, 10, 61, 195, 363})
    {
        std::map<daemon_id, std::size_t> received;
        for (int self = 0; self < daemons; ++self)
        {
            const fleet_view fleet = view_of(self, daemons, 5, now);
            heartbeat_audience audience;
            send_first_status(audience, fleet, now);
            const std::vector<heartbeat_target> targets =
                next_targets(audience, fleet, 1, false, now);
            BOOST_TEST(targets.size() <= max_targets, daemons);
            for (const daemon_id& neighbour : heartbeat_neighbours(fleet, now))
                ++received[neighbour];
        }
        for (const auto& [member, count] : received)
            BOOST_TEST(count <= 3 * max_targets, daemons << " " << member.value);
    }
}

// In a small fleet each daemon hears each heartbeat of all others, as before.
BOOST_AUTO_TEST_CASE(in_a_fleet_of_nine_all_peers_are_neighbours)
{
    const instant now(seconds(1000));
    const fleet_view fleet = view_of(3, 9, 3, now);
    heartbeat_audience audience;
    const std::vector<heartbeat_target> targets =
        next_targets(audience, fleet, 1, false, now);
    BOOST_TEST(targets.size() == 8U);
    BOOST_TEST(std::all_of(targets.begin(), targets.end(),
                           [](const heartbeat_target& target)
                           { return target.is_regular; }));
}

BOOST_AUTO_TEST_CASE(each_peer_hears_changes_at_once_and_the_rest_in_its_turn)
{
    check_property(
        "each peer hears a change three times at once, and is heard from in its turn",
        []
        {
            const instant now(seconds(1000));
            const int daemons = *rc::gen::inRange(2, 200);
            const int self = *rc::gen::inRange(0, daemons);
            fleet_view fleet = view_of(self, daemons, *rc::gen::inRange(1, 6), now);
            heartbeat_audience audience;
            send_first_status(audience, fleet, now);
            for (int round = 0; round < 3; ++round)
                RC_ASSERT(next_targets(audience, fleet, 2, false, now).size() ==
                          static_cast<std::size_t>(daemons - 1));
            std::set<daemon_id> heard;
            for (int round = 0; round <= daemons / 2; ++round)
                for (const heartbeat_target& target :
                     next_targets(audience, fleet, 2, false, now))
                    heard.insert(target.member);
            RC_ASSERT(heard.size() == static_cast<std::size_t>(daemons - 1));
            // A peer that restarts knows nothing any more.
            const daemon_id restarted = name_of((self + 1) % daemons);
            fleet.members.at(restarted).incarnation = {"second"};
            for (int round = 0; round < 3; ++round)
            {
                const std::vector<heartbeat_target> targets =
                    next_targets(audience, fleet, 2, false, now);
                RC_ASSERT(std::any_of(targets.begin(), targets.end(),
                                      [&](const heartbeat_target& target)
                                      { return target.member == restarted; }));
            }
        });
}

// An outage of the store counts as one only while every member confirms it.
BOOST_AUTO_TEST_CASE(all_peers_get_each_heartbeat_while_that_is_needed)
{
    const instant now(seconds(1000));
    const fleet_view fleet = view_of(0, 195, 5, now);
    heartbeat_audience audience;
    send_first_status(audience, fleet, now);
    const std::vector<heartbeat_target> targets =
        next_targets(audience, fleet, 1, true, now);
    BOOST_TEST(targets.size() == 194U);
    BOOST_TEST(targets.front().is_regular);
}

// Guards against a peer that takes a daemon for dead which only has other neighbours now.
BOOST_AUTO_TEST_CASE(a_former_neighbour_is_told_that_it_gets_no_more_heartbeats)
{
    const instant now(seconds(1000));
    fleet_view fleet = view_of(0, 9, 1, now);
    heartbeat_audience audience;
    send_first_status(audience, fleet, now);
    for (const auto& [id, member] : view_of(0, 40, 1, now).members)
        fleet.members.try_emplace(id, member);
    const std::vector<daemon_id> neighbours = heartbeat_neighbours(fleet, now);
    std::map<daemon_id, int> told;
    for (int round = 0; round < 3; ++round)
        for (const heartbeat_target& target :
             next_targets(audience, fleet, 1, false, now))
            told[target.member] += target.is_regular ? 0 : 1;
    for (int number = 1; number < 9; ++number)
        if (std::find(neighbours.begin(), neighbours.end(), name_of(number)) ==
            neighbours.end())
            BOOST_TEST(told[name_of(number)] == 3, number);
}

BOOST_AUTO_TEST_CASE(peers_that_are_gone_get_no_heartbeat)
{
    const instant now(seconds(1000));
    fleet_view fleet = view_of(0, 4, 2, now);
    fleet.members.at(name_of(1)).leased = false;
    fleet.members.at(name_of(1)).last_message_at = now - seconds(6);
    fleet.members.at(name_of(2)).leased = false;
    heartbeat_audience audience;
    BOOST_TEST(next_targets(audience, fleet, 1, false, now).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
