// A deployment from end to end: serving, configuration, takeover of engines and planned
// stops.

#define BOOST_TEST_MODULE fleet
#include "tests/harness/fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <fstream>
#include <set>
#include <thread>

using namespace pollenhaven::harness;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

bool is_complete_stream(const http_response& response, int events)
{
    const std::string last = "id: " + std::to_string(events) + "\n";
    return response.status == 200 && response.body.find(last) != std::string::npos;
}

// Sends chats on the adapter until one is served. Returns the time that this took, or the
// limit.
milliseconds time_until_served(const fleet& deployment, int daemon,
                               const std::string& adapter, milliseconds limit)
{
    const auto start = std::chrono::steady_clock::now();
    int request = 0;
    const bool served = fleet::wait_for(
        [&]
        {
            const std::string id = adapter + "-" + std::to_string(++request);
            return deployment.send_platform_chat(daemon, id, adapter).status == 200;
        },
        limit);
    const auto elapsed = std::chrono::steady_clock::now() - start;
    return served ? std::chrono::duration_cast<milliseconds>(elapsed) : limit;
}

std::set<std::string> holders_in_received_orders(const fleet& deployment, int engines)
{
    std::set<std::string> holders;
    for (int engine = 0; engine < engines; ++engine)
        for (const nlohmann::json& order : deployment.received_orders(engine))
            holders.insert(order["holder"].get<std::string>());
    return holders;
}

} // namespace

BOOST_AUTO_TEST_CASE(service_and_adapter_requests_are_served_through_each_daemon)
{
    const fleet deployment;
    for (int daemon = 0; daemon < 3; ++daemon)
    {
        const std::string name = std::to_string(daemon);
        const http_response plain =
            deployment.send_platform_request(daemon, "plain-" + name);
        BOOST_TEST(plain.status == 200);
        BOOST_TEST(plain.body == "answer of i-plain");
        BOOST_TEST(is_complete_stream(
            deployment.send_platform_chat(daemon, "chat-" + name, "a" + name), 5));
    }
    // More adapters than the engines have slots for, so some are evicted; each request is
    // served and runs once.
    for (int adapter = 0; adapter < 20; ++adapter)
        BOOST_TEST(is_complete_stream(
            deployment.send_platform_chat(adapter % 3, "many-" + std::to_string(adapter),
                                          "b" + std::to_string(adapter)),
            5));
    BOOST_TEST(deployment.max_executions_per_request() == 1);
    BOOST_TEST(deployment.adapter_slot_overflows() == 0);
    BOOST_TEST(get(deployment.caller_address(0), "/v1/resolve?name=fleet.test")
                   .parsed()["addrs"]
                   .size() == 3U);
}

BOOST_AUTO_TEST_CASE(
    a_new_configuration_is_applied_and_older_or_malformed_ones_are_ignored)
{
    const fleet deployment;
    BOOST_TEST(deployment.send_platform_request(0, "early", "/extra/1").status == 404);
    deployment.write_configuration(5, "/extra/");
    for (int daemon = 0; daemon < 3; ++daemon)
        BOOST_TEST(fleet::wait_for(
            [&]
            {
                return deployment
                           .send_platform_request(
                               daemon, "later-" + std::to_string(daemon), "/extra/1")
                           .status == 200;
            },
            milliseconds(2000)));
    deployment.write_configuration(4);
    deployment.put_store_item("op/config", "not a configuration");
    std::this_thread::sleep_for(milliseconds(500));
    BOOST_TEST(deployment.send_platform_request(0, "still", "/extra/1").status == 200);
}

BOOST_AUTO_TEST_CASE(malformed_store_entries_are_ignored)
{
    const fleet deployment;
    deployment.put_store_item("servers/i-odd", "not an entry");
    deployment.put_store_item("servers/i-odd-2",
                              {{"service", "orders"}, {"state", "ready"}});
    deployment.put_store_item(
        "servers/i-odd-3",
        {{"service", "orders"}, {"addr", "nowhere"}, {"state", "ready"}});
    deployment.put_store_item(
        "servers/i-odd-4",
        {{"service", "orders"}, {"addr", "host.name:80"}, {"state", "ready"}});
    deployment.put_store_item("pollenhaven/members/odd",
                              {{"callers", 1}, {"peers", "nowhere"}});
    deployment.put_store_item("pollenhaven/orders/i-odd", "not an entry");
    std::this_thread::sleep_for(milliseconds(1500));
    for (int request = 0; request < 6; ++request)
        BOOST_TEST(
            deployment
                .send_platform_request(request % 3, "plain-" + std::to_string(request))
                .status == 200);
    BOOST_TEST(deployment.all_ready());
}

// Guards against a deeply nested entry of another writer, which ended each daemon that
// read it, running or just started.
BOOST_AUTO_TEST_CASE(daemons_run_and_start_beside_a_deeply_nested_entry)
{
    fleet deployment;
    const std::string deep_list = std::string(300'000, '[') + std::string(300'000, ']');
    deployment.put_store_item(
        "servers/i-deep",
        R"({"service":"orders","addr":"127.0.0.1:9","state":"ready","models":)" +
            deep_list + "}");
    std::this_thread::sleep_for(milliseconds(2000));
    for (int daemon = 0; daemon < 3; ++daemon)
        BOOST_TEST(deployment.daemon(daemon).running());
    deployment.start_daemon(0);
    BOOST_TEST(fleet::wait_for([&] { return deployment.all_ready(); }, seconds(5)));
    std::this_thread::sleep_for(milliseconds(2000));
    for (int request = 0; request < 6; ++request)
        BOOST_TEST(
            deployment
                .send_platform_request(request % 3, "plain-" + std::to_string(request))
                .status == 200);
    for (int daemon = 0; daemon < 3; ++daemon)
        BOOST_TEST(deployment.daemon(daemon).running());
}

// Guards against a caller who ends a daemon with a deeply nested body.
BOOST_AUTO_TEST_CASE(a_daemon_keeps_running_after_a_deeply_nested_body)
{
    fleet deployment;
    const std::string deep_list = std::string(300'000, '[') + std::string(300'000, ']');
    deployment.send_booking_request(0, "key-1", R"({"parts":)" + deep_list + "}");
    BOOST_TEST(deployment.daemon(0).running());
    BOOST_TEST(deployment.send_openai_chat(0, "base/a1", "hello", 5).status == 200);
}

// Another writer replaces an engine's entry by one that can't be read. Guards against
// requests that are still sent to that engine, and against an engine that gets none after
// it has registered again.
BOOST_AUTO_TEST_CASE(an_engine_whose_entry_becomes_odd_gets_no_requests)
{
    for (const std::string odd :
         {"not an entry", R"({"service":"assistant","addr":"127.0.0.1:99999",)"
                          R"("state":"ready"})"})
    {
        const fleet deployment;
        deployment.send_platform_chat(0, "warm-1", "a1");
        deployment.send_platform_chat(0, "warm-2", "a2");
        deployment.put_store_item("servers/i-0", odd);
        std::this_thread::sleep_for(milliseconds(2000));
        const int before = deployment.engine_counts(0)["runs"].get<int>();
        for (int request = 0; request < 12; ++request)
            BOOST_TEST(is_complete_stream(
                deployment.send_platform_chat(request % 3,
                                              "late-" + std::to_string(request),
                                              "a" + std::to_string(request % 4)),
                5));
        BOOST_TEST(deployment.engine_counts(0)["runs"].get<int>() == before);
        deployment.set_engine_state(0, "ready");
        int request = 0;
        BOOST_TEST(fleet::wait_for(
            [&]
            {
                const std::string name = std::to_string(++request);
                deployment.send_platform_chat(request % 3, "again-" + name, "c" + name);
                return deployment.engine_counts(0)["runs"].get<int>() > before;
            },
            seconds(10)));
    }
}

// Guards against bytes in a caller's header that aren't UTF-8 and end the daemons that
// write them into an order, a record or a report.
BOOST_AUTO_TEST_CASE(daemons_keep_running_after_names_that_are_not_utf8)
{
    fleet_options options;
    options.stream_attempts = 2;
    options.resumable_chats = true;
    options.engine_software = {"v1", "v2"};
    fleet deployment(options);
    for (const std::string odd : {"\xff\xfe", "\xc3", "\xed\xa0\x80"})
        for (int daemon = 0; daemon < 3; ++daemon)
        {
            deployment.send_platform_chat(daemon, "id-" + odd + std::to_string(daemon),
                                          "a1");
            deployment.send_platform_chat(daemon, "odd-" + std::to_string(daemon),
                                          "a" + odd);
            deployment.send_platform_chat(daemon, "parts-" + std::to_string(daemon), "a1",
                                          odd + ":5,ab:5");
            get(deployment.operator_address(daemon), "/v1/endpoints");
        }
    std::this_thread::sleep_for(milliseconds(1000));
    for (int daemon = 0; daemon < 3; ++daemon)
    {
        BOOST_TEST(deployment.daemon(daemon).running());
        BOOST_TEST(
            is_complete_stream(deployment.send_platform_chat(
                                   daemon, "after-" + std::to_string(daemon), "a1"),
                               5));
    }
}

// Another writer replaces the entry that names an engine's holder. Guards against an
// engine that no daemon can claim after that.
BOOST_AUTO_TEST_CASE(an_engine_is_claimed_again_after_its_holder_entry_became_odd)
{
    fleet_options options;
    options.engines = 1;
    fleet deployment(options);
    BOOST_TEST(deployment.send_platform_chat(0, "before", "a1").status == 200);
    deployment.put_store_item("pollenhaven/orders/i-0", "not an entry");
    std::this_thread::sleep_for(milliseconds(500));
    // A takeover of the engine of a lost daemon takes up to 9 s.
    BOOST_TEST(time_until_served(deployment, 0, "a2", seconds(15)).count() < 10'000);
    // No daemon has seen the entry before.
    deployment.kill_all_daemons();
    deployment.put_store_item("pollenhaven/orders/i-0", "not an entry");
    BOOST_REQUIRE(deployment.start_all_daemons());
    BOOST_TEST(time_until_served(deployment, 0, "a3", seconds(15)).count() < 10'000);
}

BOOST_AUTO_TEST_CASE(a_draining_engine_gets_no_requests_after_two_seconds)
{
    const fleet deployment;
    deployment.send_platform_chat(0, "warm-1", "a1");
    deployment.send_platform_chat(0, "warm-2", "a2");
    deployment.set_engine_state(0, "draining");
    std::this_thread::sleep_for(milliseconds(2000));
    const int before = deployment.engine_counts(0)["runs"].get<int>();
    for (int request = 0; request < 12; ++request)
        BOOST_TEST(is_complete_stream(
            deployment.send_platform_chat(request % 3, "late-" + std::to_string(request),
                                          "a" + std::to_string(request % 4)),
            5));
    BOOST_TEST(deployment.engine_counts(0)["runs"].get<int>() == before);
}

BOOST_AUTO_TEST_CASE(a_planned_stop_interrupts_no_stream)
{
    fleet_options options;
    options.events_per_stream = 60;
    options.event_interval_ms = 20;
    fleet deployment(options);
    deployment.send_platform_chat(0, "warm", "a1");
    std::atomic<int> complete_streams{0};
    std::vector<std::jthread> callers;
    callers.reserve(6);
    for (int request = 0; request < 6; ++request)
        callers.emplace_back(
            [&, request]
            {
                const http_response response = deployment.send_platform_chat(
                    0, "stream-" + std::to_string(request), "a1");
                complete_streams += is_complete_stream(response, 60) ? 1 : 0;
            });
    std::this_thread::sleep_for(milliseconds(500));
    deployment.daemon(0).signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds(100));
    BOOST_TEST(get(deployment.caller_address(0), "/v1/readyz").status != 200);
    BOOST_TEST(get(deployment.caller_address(1), "/v1/resolve?name=fleet.test")
                   .parsed()["addrs"]
                   .size() == 2U);
    callers.clear();
    BOOST_TEST(complete_streams == 6);
    const std::optional<int> code = deployment.daemon(0).wait(seconds(8));
    BOOST_REQUIRE(code.has_value());
    BOOST_TEST(*code == 0);
}

BOOST_AUTO_TEST_CASE(a_killed_daemon_that_restarts_sends_orders_to_its_engines_again)
{
    fleet_options options;
    options.daemons = 1;
    fleet deployment(options);
    BOOST_TEST(deployment.send_platform_chat(0, "before", "a1").status == 200);
    deployment.daemon(0).kill();
    deployment.start_daemon(0);
    BOOST_REQUIRE(fleet::wait_for([&] { return deployment.all_ready(); }, seconds(5)));
    // The daemon needs two seconds to find the other members. As the engines were its
    // own, it need not wait until the orders of another holder have expired.
    BOOST_TEST(time_until_served(deployment, 0, "a2", seconds(6)).count() < 4000);
    BOOST_TEST(deployment.adapter_slot_overflows() == 0);
}

BOOST_AUTO_TEST_CASE(engines_of_a_killed_daemon_are_taken_over)
{
    fleet_options options;
    options.daemons = 2;
    options.engines = 4;
    fleet deployment(options);
    int before = 0;
    BOOST_REQUIRE(fleet::wait_for(
        [&]
        {
            const std::string name = std::to_string(++before);
            deployment.send_platform_chat(0, "before-" + name, "a" + name);
            return holders_in_received_orders(deployment, 4).size() == 2;
        },
        seconds(10)));
    deployment.daemon(1).kill();
    // 2 s until the lease ends, 2 s of grace for a restart, 3 s between the orders of two
    // holders, and time to claim the engines.
    std::this_thread::sleep_for(seconds(9));
    const auto count_engines_with_survivor_orders = [&]
    {
        std::set<int> engines;
        for (int engine = 0; engine < 4; ++engine)
            for (const nlohmann::json& order : deployment.received_orders(engine))
                if (order["holder"] == "daemon-0")
                    engines.insert(engine);
        return engines.size();
    };
    int request = 0;
    BOOST_TEST(fleet::wait_for(
        [&]
        {
            const std::string name = std::to_string(++request);
            deployment.send_platform_chat(0, "after-" + name, "c" + name);
            return count_engines_with_survivor_orders() == 4;
        },
        seconds(15)));
    BOOST_TEST(deployment.adapter_slot_overflows() == 0);
    BOOST_TEST(deployment.max_executions_per_request() == 1);
}

BOOST_AUTO_TEST_CASE(adapters_are_loaded_during_a_store_outage)
{
    const fleet deployment;
    BOOST_TEST(deployment.send_platform_chat(0, "before", "a1").status == 200);
    deployment.set_store_down(true);
    // The wait goes well past the end of the lease, which lasts two seconds.
    std::this_thread::sleep_for(seconds(4));
    BOOST_TEST(is_complete_stream(deployment.send_platform_chat(0, "resident", "a1"), 5));
    BOOST_TEST(time_until_served(deployment, 1, "a2", seconds(3)).count() < 1500);
    deployment.set_store_down(false);
    std::this_thread::sleep_for(seconds(3));
    BOOST_TEST(time_until_served(deployment, 2, "a3", seconds(3)).count() < 1500);
}

BOOST_AUTO_TEST_CASE(a_holder_resumed_after_its_takeover_sends_no_orders)
{
    fleet_options options;
    options.daemons = 2;
    options.engines = 1;
    fleet deployment(options);
    deployment.send_platform_chat(0, "before", "a1");
    const std::string holder = *holders_in_received_orders(deployment, 1).begin();
    const int paused_daemon = holder == "daemon-0" ? 0 : 1;
    deployment.daemon(paused_daemon).signal(SIGSTOP);
    std::this_thread::sleep_for(seconds(9));
    BOOST_TEST(
        time_until_served(deployment, 1 - paused_daemon, "a2", seconds(8)).count() <
        8000);
    deployment.daemon(paused_daemon).signal(SIGCONT);
    for (int request = 0; request < 8; ++request)
        deployment.send_platform_chat(request % 2, "woken-" + std::to_string(request),
                                      "c" + std::to_string(request));
    // No order of the earlier holder may follow the first one of its successor.
    bool taken_over = false;
    for (const nlohmann::json& order : deployment.received_orders(0))
    {
        const bool from_earlier_holder = order["holder"] == holder;
        taken_over = taken_over || !from_earlier_holder;
        BOOST_TEST(!(taken_over && from_earlier_holder));
    }
    BOOST_TEST(taken_over);
}

BOOST_AUTO_TEST_CASE(a_new_version_is_served_and_the_old_one_is_not)
{
    const fleet deployment;
    BOOST_TEST(deployment.send_platform_chat(0, "old", "a1").status == 200);
    deployment.put_store_item("op/version/base.a1",
                              {{"model", "base"}, {"adapter", "a1"}, {"version", 2}});
    std::this_thread::sleep_for(milliseconds(500));
    BOOST_TEST(time_until_served(deployment, 0, "a1", seconds(4)).count() < 3000);
    bool version_loaded = false;
    for (int engine = 0; engine < 2; ++engine)
        for (const nlohmann::json& order : deployment.received_orders(engine))
            version_loaded = version_loaded || (order.value("adapter", "") == "a1" &&
                                                order.value("version", 0) == 2);
    BOOST_TEST(version_loaded);
}

BOOST_AUTO_TEST_CASE(a_watch_resyncs_when_the_store_has_dropped_its_history)
{
    const fleet deployment;
    deployment.write_configuration(2, "/extra/");
    control_standin(deployment.store_address(), {{"forget", true}});
    deployment.set_engine_state(1, "draining");
    BOOST_TEST(fleet::wait_for(
        [&]
        { return deployment.send_platform_request(0, "late", "/extra/1").status == 200; },
        milliseconds(2000)));
}

BOOST_AUTO_TEST_CASE(invalid_settings_are_reported_with_file_line_and_key)
{
    const std::string path = make_temp_directory() + "/wrong.toml";
    std::ofstream(path) << "[daemon]\nid = \"d\"\nzone = 7\n";
    process daemon(program_path("pollenhavend"), {"--check", "--settings", path},
                   path + ".log");
    const std::optional<int> code = daemon.wait(seconds(5));
    BOOST_REQUIRE(code.has_value());
    BOOST_TEST(*code == 2);
    std::ifstream log(path + ".log");
    const std::string text((std::istreambuf_iterator<char>(log)),
                           std::istreambuf_iterator<char>());
    BOOST_TEST(text.find(path + ":3: daemon.zone") != std::string::npos, text);
}
