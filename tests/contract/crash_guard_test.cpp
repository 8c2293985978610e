#include "core/plugin_registry.hpp"
#include "servers/gateway/crash_guard.hpp"
#include "tests/harness/process.hpp"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace pollenhaven;

namespace
{

// A crash guard, and what it sends to each of its peers.
struct guard_fixture
{
    gateway_context context;
    std::map<std::string, int> times_told;
    std::size_t bytes_sent = 0;
    crash_guard guard;

    static gateway_settings settings()
    {
        gateway_settings result;
        result.id = {"daemon"};
        return result;
    }

    guard_fixture()
        : context(settings(),
                  plugin_registry<platform_dialect>::instance().make("fleet", "")),
          guard(
              context, [this](const fleet_message& message) { on_sent(message); },
              [](const fleet_message&) {})
    {
    }

    endpoint_view& add_engine(const std::string& id)
    {
        endpoint_view& engine = context.fleet.endpoints[{id}];
        engine.record.id = {id};
        engine.record.address = {"127.0.0.1:" + std::to_string(harness::free_port())};
        return engine;
    }

    void on_sent(const fleet_message& message)
    {
        bytes_sent += encode(message).size();
        for (const auto& [fingerprint, crashes] :
             std::get<suspects_message>(message).crashes)
            ++times_told[fingerprint];
    }

    // Cuts off a request at the engine, with content of its own.
    void cut_off_request(const endpoint_id& engine, std::size_t number)
    {
        http_exchange exchange;
        exchange.endpoint = engine;
        exchange.head.target = "/" + engine.value;
        exchange.body = "prompt " + std::to_string(number);
        guard.on_cut_off(exchange);
    }

    void run_for(milliseconds duration)
    {
        const instant end = context.loop.now() + duration;
        context.loop.run([&] { return context.loop.now() >= end; });
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(crash_guards)

// Guards against links that are full for seconds after a crash of several engines: each
// daemon sent all suspects that it knew, three times for each crash, to all others.
BOOST_FIXTURE_TEST_CASE(crashes_of_many_engines_at_once_do_not_flood_the_peers,
                        guard_fixture)
{
    // The target for the control traffic of a daemon, in bytes a second.
    constexpr std::size_t max_bytes_per_second = 10'000;
    constexpr std::size_t engines = 14;
    constexpr std::size_t requests = 3;
    constexpr seconds duration{2};
    for (std::size_t engine = 0; engine < engines; ++engine)
    {
        const endpoint_id id{"i-" + std::to_string(engine)};
        for (std::size_t request = 0; request < requests; ++request)
            cut_off_request(id, request);
        guard.on_endpoint_lost(id);
    }
    run_for(duration);
    BOOST_TEST(bytes_sent <= max_bytes_per_second * duration.count());
    // Datagrams can be lost, so every suspect is told three times.
    BOOST_TEST(times_told.size() == engines * requests);
    for (const auto& [fingerprint, times] : times_told)
        BOOST_TEST(times >= 3, fingerprint);
}

// Guards against a crash that nobody notices: the only probe was accepted by the kernel
// for a process that was about to end.
BOOST_FIXTURE_TEST_CASE(an_engine_that_stops_listening_after_the_first_probe_has_crashed,
                        guard_fixture)
{
    constexpr milliseconds dying_time{30};
    endpoint_view& engine = add_engine("i-1");
    context.loop.listen(engine.record.address, [](stream_id) {});
    cut_off_request({"i-1"}, 1);
    context.loop.schedule_after(dying_time, [this] { context.loop.stop_listening(); });
    run_for(milliseconds(500));
    BOOST_TEST(times_told.size() == 1U);
}

// Guards against a crash that one daemon doesn't notice although a peer names it.
BOOST_FIXTURE_TEST_CASE(a_crash_that_a_peer_names_counts_for_requests_cut_off_here,
                        guard_fixture)
{
    endpoint_view& engine = add_engine("i-1");
    context.loop.listen(engine.record.address, [](stream_id) {});
    cut_off_request({"i-1"}, 1);
    guard.merge_suspects({{"peer"}, {{"other", 1}}, {{"other", {{{"i-1"}, 0}}}}});
    run_for(milliseconds(500));
    BOOST_TEST(times_told.size() == 1U);
}

// An engine that goes on listening has not crashed; its requests are no suspects.
BOOST_FIXTURE_TEST_CASE(an_engine_that_goes_on_listening_has_not_crashed, guard_fixture)
{
    endpoint_view& engine = add_engine("i-1");
    context.loop.listen(engine.record.address, [](stream_id) {});
    cut_off_request({"i-1"}, 1);
    run_for(milliseconds(800));
    BOOST_TEST(times_told.empty());
}

BOOST_AUTO_TEST_SUITE_END()
