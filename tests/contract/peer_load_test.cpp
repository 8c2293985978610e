#include "servers/gateway/fleet_watcher.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

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
BOOST_FIXTURE_TEST_CASE(a_report_replaces_the_load_of_its_sender, peer_load_fixture)
{
    apply_endpoint_load(fleet, {peer, {{engine, {3}}, {other_engine, {2}}}, {}}, now);
    BOOST_TEST(in_flight(engine) == 3);
    BOOST_TEST(in_flight(other_engine) == 2);
    apply_endpoint_load(fleet, {peer, {{other_engine, {5}}}, {}}, now);
    BOOST_TEST(in_flight(engine) == 3);
    BOOST_TEST(in_flight(other_engine) == 5);
    apply_endpoint_load(fleet, {peer, {{engine, {}}, {other_engine, {}}}, {}}, now);
    BOOST_TEST(in_flight(engine) == 0);
    BOOST_TEST(in_flight(other_engine) == 0);
}

// Datagrams overtake each other. A load that has ended must not come back.
BOOST_FIXTURE_TEST_CASE(a_report_that_was_overtaken_changes_nothing, peer_load_fixture)
{
    apply_endpoint_load(fleet, {peer, {{engine, {}}}, {}, 8}, now);
    apply_endpoint_load(fleet, {peer, {{engine, {3}}}, {}, 7}, now);
    BOOST_TEST(in_flight(engine) == 0);
    apply_endpoint_load(fleet, {peer, {{engine, {2}}}, {}, 9}, now);
    BOOST_TEST(in_flight(engine) == 2);
    // The sender's clock has started anew.
    now += seconds(2);
    apply_endpoint_load(fleet, {peer, {{engine, {1}}}, {}, 1}, now);
    BOOST_TEST(in_flight(engine) == 1);
}

// The last report of a peer that is gone, or whose reports are lost, must not count for
// long.
BOOST_FIXTURE_TEST_CASE(a_load_that_is_not_reported_again_expires, peer_load_fixture)
{
    apply_endpoint_load(fleet, {peer, {{engine, {3}}}, {}}, now);
    stated_load_message stated;
    stated.loads[other_engine].in_flight = 4;
    apply_stated_load(fleet, stated, now);
    now += milliseconds(1400);
    BOOST_TEST(in_flight(engine) == 3);
    BOOST_TEST(in_flight(other_engine) == 4);
    now += milliseconds(200);
    BOOST_TEST(in_flight(engine) == 0);
    BOOST_TEST(in_flight(other_engine) == 0);
}

BOOST_FIXTURE_TEST_CASE(a_heartbeat_leaves_the_loads_as_they_are, peer_load_fixture)
{
    apply_endpoint_load(fleet, {peer, {{engine, {3}}}, {}}, now);
    heartbeat_message heartbeat;
    heartbeat.sender = peer;
    heartbeat.ready = true;
    apply_heartbeat(fleet, std::get<heartbeat_message>(decode(encode(heartbeat))), now);
    BOOST_TEST(in_flight(engine) == 3);
    BOOST_TEST(fleet.members.at(peer).ready);
}

// Daemons of the release before send their loads to all, in heartbeats and in reports
// without counts by adapter, and side by side with this release.
BOOST_FIXTURE_TEST_CASE(loads_of_daemons_of_an_earlier_release_count, peer_load_fixture)
{
    nlohmann::json beat = nlohmann::json::from_msgpack(encode(heartbeat_message{peer}));
    beat.erase("partial");
    beat["use"] = {{engine.value, {3, 900, {{"base/a1", 2}}, {{"base/a2", 1}}}}};
    std::string bytes;
    nlohmann::json::to_msgpack(beat, bytes);
    apply_heartbeat(fleet, std::get<heartbeat_message>(decode(bytes)), now);
    BOOST_TEST(in_flight(engine) == 3);
    BOOST_TEST(fleet.members.at(peer).sends_each_heartbeat);
    const adapter_id adapter{"base/a1"};
    BOOST_TEST(adapter_requests_in_flight(fleet.endpoints.at(engine), adapter, now) == 2);

    nlohmann::json report{{"kind", "use"}, {"format", 1}, {"from", peer.value}};
    report["counts"] = {{engine.value, {4, 0}}};
    bytes.clear();
    nlohmann::json::to_msgpack(report, bytes);
    apply_endpoint_load(fleet, std::get<endpoint_load_message>(decode(bytes)), now);
    BOOST_TEST(in_flight(engine) == 4);
}

// The keeper states the load without the asker's own, which the asker knows better.
BOOST_FIXTURE_TEST_CASE(a_keeper_states_the_load_of_all_but_the_asker, peer_load_fixture)
{
    const adapter_id adapter{"base/a1"};
    endpoint_view& kept = fleet.endpoints.at(engine);
    kept.in_flight = 2;
    kept.reserved_requests = 1;
    kept.pending_prefill_tokens = 100;
    kept.in_flight_by_adapter[adapter] = 2;
    apply_endpoint_load(fleet, {peer, {{engine, {3, 900, {{adapter, 3}}}}}, {}}, now);
    apply_endpoint_load(fleet, {{"third"}, {{engine, {4, 50, {{adapter, 1}}}}}, {}}, now);
    const peer_load load = load_without(kept, peer, now);
    BOOST_TEST(load.in_flight == 7);
    BOOST_TEST(load.pending_prefill_tokens == 150);
    BOOST_TEST(load.by_adapter.at(adapter) == 3);
    BOOST_TEST(total_in_flight(kept, now) == 10);
}

BOOST_AUTO_TEST_SUITE_END()
