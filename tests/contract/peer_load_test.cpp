#include "servers/gateway/fleet_watcher.hpp"

#include <boost/test/unit_test.hpp>

using namespace pollenhaven;

namespace
{

const daemon_id peer{"peer"};
const endpoint_id engine{"engine"};
const endpoint_id other_engine{"other"};

struct peer_load_fixture
{
    fleet_view fleet;
    instant now = instant(seconds(1000));

    peer_load_fixture()
    {
        fleet.endpoints[engine].record.id = engine;
        fleet.endpoints[other_engine].record.id = other_engine;
    }

    int in_flight(const endpoint_id& endpoint) const
    {
        return total_in_flight(fleet.endpoints.at(endpoint), now);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(peer_loads)

// Guards against engines that look busy because a peer's load is never removed.
BOOST_FIXTURE_TEST_CASE(a_heartbeat_replaces_all_loads_of_its_sender, peer_load_fixture)
{
    apply_endpoint_load(fleet, {peer, {{engine, {3, 0}}, {other_engine, {2, 0}}}}, now);
    BOOST_TEST(in_flight(engine) == 3);
    BOOST_TEST(in_flight(other_engine) == 2);
    heartbeat_message heartbeat;
    heartbeat.sender = peer;
    heartbeat.endpoint_loads[other_engine] = {5, 0, {}, {}};
    apply_heartbeat(fleet, heartbeat, now);
    BOOST_TEST(in_flight(engine) == 0);
    BOOST_TEST(in_flight(other_engine) == 5);
    heartbeat.endpoint_loads.clear();
    apply_heartbeat(fleet, heartbeat, now);
    BOOST_TEST(in_flight(other_engine) == 0);
}

BOOST_FIXTURE_TEST_CASE(a_heartbeat_without_loads_leaves_them_as_they_are,
                        peer_load_fixture)
{
    apply_endpoint_load(fleet, {peer, {{engine, {3, 0}}}}, now);
    heartbeat_message heartbeat;
    heartbeat.sender = peer;
    heartbeat.ready = true;
    heartbeat.has_endpoint_loads = false;
    apply_heartbeat(fleet, std::get<heartbeat_message>(decode(encode(heartbeat))), now);
    BOOST_TEST(in_flight(engine) == 3);
    BOOST_TEST(fleet.members.at(peer).ready);
    // Loads must be reported before they expire at the peers, after 1.5 s.
    for (const int members : {1, 8, 61, 81, 360})
        BOOST_TEST(
            (heartbeats_per_load_report(members) * heartbeat_interval <= seconds(1)));
    BOOST_TEST(heartbeats_per_load_report(8) == 1);
}

// Guards against a processor that is full of peer messages: each daemon receives those of
// all others, whose number is the square of the number of daemons.
BOOST_AUTO_TEST_CASE(the_load_messages_that_a_daemon_receives_have_a_bound)
{
    // What eight daemons send each other at most.
    constexpr double max_messages_per_second = 8 / 0.005 * 1.1;
    for (const int members : {1, 8, 61, 81, 360})
    {
        const double interval_s = to_seconds(endpoint_load_interval(members, true));
        BOOST_TEST(members / interval_s <= max_messages_per_second, members);
    }
    BOOST_TEST((endpoint_load_interval(8, true) == milliseconds(5)));
    // A plain service with three endpoints of six slots looks full for as long as its
    // peers don't know that a request of 60 ms has ended.
    BOOST_TEST((endpoint_load_interval(81, false) == milliseconds(5)));
}

BOOST_AUTO_TEST_SUITE_END()
