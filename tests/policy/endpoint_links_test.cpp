#include "policy/fleet/endpoint_links.hpp"

#include "policy/fleet/endpoint_selection.hpp"

#include <boost/test/unit_test.hpp>

using namespace pollenhaven;

namespace
{

constexpr instant now{seconds(1000)};

fleet_view fleet_with(int endpoints, int members)
{
    fleet_view fleet;
    fleet.self = {"daemon-0"};
    for (int number = 0; number < endpoints; ++number)
    {
        const std::string id = "i-" + std::to_string(number);
        endpoint_view& view = fleet.endpoints[{id}];
        view.record.id = {id};
        view.record.service = {"assistant"};
        view.record.address = {"127.0.0.1:1"};
        view.record.inventory.models = {{"base"}};
        view.holder = {"daemon-" + std::to_string(number % std::max(1, members))};
    }
    for (int number = 0; number < members; ++number)
    {
        const std::string id = "daemon-" + std::to_string(number);
        member_view& member = fleet.members[{id}];
        member.id = {id};
        member.ready = true;
        member.leased = true;
        member.last_message_at = now;
        member.sends_each_heartbeat = true;
        member.caller_address = {"10.0.0." + std::to_string(number) + ":1"};
        member.peer_address = {"10.0.0." + std::to_string(number) + ":2"};
    }
    return fleet;
}

bool fail(endpoint_links& links, const fleet_view& fleet, int endpoint, instant at = now)
{
    return record_connection_failure(links, fleet, {"i-" + std::to_string(endpoint)}, at);
}

} // namespace

BOOST_AUTO_TEST_SUITE(endpoint_link_states)

// Guards against a daemon that takes one dead endpoint, or failures far apart, for a cut.
BOOST_AUTO_TEST_CASE(only_several_endpoints_that_fail_together_are_a_cut)
{
    const fleet_view fleet = fleet_with(12, 1);
    endpoint_links links;
    BOOST_TEST(!fail(links, fleet, 1));
    BOOST_TEST(!fail(links, fleet, 1));
    BOOST_TEST(!fail(links, fleet, 2));
    BOOST_TEST(!fail(links, fleet, 3, now + seconds(6)));
    BOOST_TEST(!record_connection(links));
    BOOST_TEST(!fail(links, fleet, 1));
    BOOST_TEST(!fail(links, fleet, 2));
    const instant after_a_round = now + min_cut_duration;
    BOOST_TEST(fail(links, fleet, 3, after_a_round));
    BOOST_TEST(!fail(links, fleet, 4, after_a_round));
    BOOST_TEST(is_cut_off(links));
    BOOST_TEST(!is_cut_off_confirmed(links, after_a_round + milliseconds(300)));
    BOOST_TEST(is_cut_off_confirmed(links, after_a_round + milliseconds(500)));
    BOOST_TEST(record_connection(links));
    BOOST_TEST(!is_cut_off(links));
}

// Guards against a daemon that takes endpoints which crash together for a cut before its
// probes have found one that it reaches.
BOOST_AUTO_TEST_CASE(endpoints_that_crash_together_are_no_cut)
{
    const fleet_view fleet = fleet_with(12, 1);
    endpoint_links links;
    for (int endpoint = 0; endpoint < 6; ++endpoint)
        BOOST_TEST(!fail(links, fleet, endpoint, now + milliseconds(10 * endpoint)));
    BOOST_TEST(is_cut_undecided(links, now + milliseconds(60)));
    BOOST_TEST(!record_connection(links));
    BOOST_TEST(!is_cut_undecided(links, now + milliseconds(80)));
    BOOST_TEST(!fail(links, fleet, 6, now + min_cut_duration));
    BOOST_TEST(!is_cut_off(links));
}

// Guards against evidence of a crash that waits for a decision which never comes.
BOOST_AUTO_TEST_CASE(a_cut_is_decided_in_the_end)
{
    const fleet_view fleet = fleet_with(12, 1);
    endpoint_links links;
    fail(links, fleet, 0);
    BOOST_TEST(is_cut_undecided(links, now + milliseconds(300)));
    BOOST_TEST(!is_cut_undecided(links, now + seconds(2)));
    fail(links, fleet, 1);
    fail(links, fleet, 2, now + min_cut_duration);
    BOOST_REQUIRE(is_cut_off(links));
    BOOST_TEST(is_cut_undecided(links, now + milliseconds(300)));
    BOOST_TEST(!is_cut_undecided(links, now + min_cut_duration + cut_confirmation_time));
}

BOOST_AUTO_TEST_CASE(a_fleet_with_one_endpoint_is_cut_off_if_its_probe_fails_too)
{
    const fleet_view fleet = fleet_with(1, 1);
    endpoint_links links;
    BOOST_TEST(!fail(links, fleet, 0));
    BOOST_TEST(fail(links, fleet, 0, now + min_cut_duration));
}

BOOST_AUTO_TEST_CASE(probes_go_to_endpoints_that_have_not_failed_first)
{
    const fleet_view fleet = fleet_with(6, 1);
    endpoint_links links;
    for (const int endpoint : {0, 1, 2, 3})
        fail(links, fleet, endpoint);
    for (std::uint64_t seed = 0; seed < 20; ++seed)
    {
        const std::vector<endpoint_id> probed =
            endpoints_to_probe(links, fleet, 3, seed, now);
        BOOST_REQUIRE(probed.size() == 3U);
        BOOST_TEST(!links.failed.contains(probed[0]));
        BOOST_TEST(!links.failed.contains(probed[1]));
        BOOST_TEST(links.failed.contains(probed[2]));
    }
}

// Guards against relaying to a daemon that is cut off too, and back to the daemon itself.
BOOST_AUTO_TEST_CASE(requests_are_relayed_to_all_peers_that_reach_endpoints)
{
    fleet_view fleet = fleet_with(3, 8);
    for (const int cut_off : {0, 1, 2, 3})
        fleet.members.at({"daemon-" + std::to_string(cut_off)}).cut_off = true;
    fleet.members.at({"daemon-4"}).leaving = true;
    fleet.members.at({"daemon-5"}).last_message_at = now - seconds(3);
    std::map<daemon_id, int> relayed;
    for (std::uint64_t request = 0; request < 200; ++request)
        ++relayed[*choose_relay(fleet, request, {}, now)];
    BOOST_TEST(relayed.size() == 2U);
    BOOST_TEST(relayed.at({"daemon-6"}) > 60);
    BOOST_TEST(relayed.at({"daemon-7"}) > 60);
    BOOST_TEST(!choose_relay(fleet, 1, {{"daemon-6"}, {"daemon-7"}}, now));
}

BOOST_AUTO_TEST_CASE(callers_are_sent_to_other_daemons_unless_most_are_cut_off)
{
    fleet_view fleet = fleet_with(1, 4);
    fleet.members.at({"daemon-1"}).cut_off = true;
    BOOST_TEST(caller_addresses(fleet, 1, now).size() == 3U);
    fleet.members.at({"daemon-0"}).cut_off = true;
    BOOST_TEST(caller_addresses(fleet, 1, now).size() == 2U);
    fleet.members.at({"daemon-2"}).cut_off = true;
    BOOST_TEST(caller_addresses(fleet, 1, now).size() == 4U);
}

// Guards against loads that nobody can order, because the holder of the engine is cut
// off.
BOOST_AUTO_TEST_CASE(loads_are_requested_at_engines_whose_holder_reaches_them)
{
    fleet_view fleet = fleet_with(4, 4);
    for (const int cut_off : {0, 1, 2})
        fleet.members.at({"daemon-" + std::to_string(cut_off)}).cut_off = true;
    dispatch_query query;
    query.service = {"assistant"};
    query.model = {"base"};
    for (int adapter = 0; adapter < 20; ++adapter)
    {
        query.adapter = {"base/a" + std::to_string(adapter)};
        BOOST_TEST(choose_engine_for_load(fleet, query, now)->value == "i-3");
    }
}

BOOST_AUTO_TEST_CASE(silence_is_suspicious_only_while_requests_wait)
{
    endpoint_links links;
    links.last_heard_at = now;
    BOOST_TEST(!is_silence_suspicious(links, true, now + milliseconds(400)));
    BOOST_TEST(is_silence_suspicious(links, true, now + milliseconds(600)));
    BOOST_TEST(!is_silence_suspicious(links, false, now + milliseconds(600)));
}

BOOST_AUTO_TEST_SUITE_END()
