#define BOOST_TEST_MODULE connections
#include "tests/harness/background_load.hpp"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace pollenhaven::harness;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace

BOOST_AUTO_TEST_CASE(a_silent_engine_connection_is_resumed_where_it_stopped)
{
    cluster deployment({.daemons = 2, .engines = 1, .relay_engines = true});
    deployment.wait_ready();
    stream_answer answer;
    std::thread caller(
        [&]
        {
            answer = stream_chat(deployment.daemons[0].caller_address,
                                 deployment.model(1), "silent", 200);
        });
    std::this_thread::sleep_for(seconds(1));
    control(deployment.engine_relays[0], {{"mode", "silence_open"}});
    caller.join();
    BOOST_TEST(answer.done);
    BOOST_TEST(answer.text == expected_text(deployment.model(1), "silent", 200));
    BOOST_TEST(deployment.engine_total("generations") == 1);
    BOOST_TEST(deployment.engine_total("resumed") >= 1);
}

BOOST_AUTO_TEST_CASE(a_silent_peer_connection_is_replaced_and_its_streams_resumed)
{
    cluster deployment({.daemons = 2, .engines = 2, .relay_peers = true});
    deployment.wait_ready();
    // Asked through the daemon that does not own the engine.
    const std::string owner = deployment.owner_of("engine-0");
    const running_daemon& entry =
        deployment.daemons[deployment.daemons[0].id == owner ? 1 : 0];
    std::vector<stream_answer> answers(8);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < answers.size(); ++i)
        callers.emplace_back(
            [&, i]
            {
                answers[i] =
                    stream_chat(entry.caller_address,
                                deployment.model(static_cast<int>(i)), "peer", 200);
            });
    std::this_thread::sleep_for(milliseconds(1500));
    for (const running_daemon& daemon : deployment.daemons)
        control(daemon.peer_relay, {{"mode", "silence_open"}});
    for (std::thread& caller : callers)
        caller.join();
    for (std::size_t i = 0; i < answers.size(); ++i)
    {
        BOOST_TEST(answers[i].done, "stream " << i << " ended with " << answers[i].error);
        BOOST_TEST(answers[i].text ==
                   expected_text(deployment.model(static_cast<int>(i)), "peer", 200));
    }
    BOOST_TEST(deployment.engine_total("generated_twice") == 0);
}

BOOST_AUTO_TEST_CASE(a_silent_watch_is_replaced)
{
    cluster deployment({.daemons = 1, .engines = 1, .relay_key_value = true});
    deployment.wait_ready();
    control(deployment.daemons[0].key_value_relay, {{"mode", "silence_open"}});
    const std::string more = deployment.write_file(
        "more.toml",
        "[[adapter]]\nname = \"new\"\nversions = [\"v1\"]\npartner = \"suva\"\n");
    BOOST_TEST(deployment.control_tool(
                   {"config", "apply", "--section", "more", "--file", more}) == 0);
    BOOST_TEST(eventually(
        [&]
        {
            return post(deployment.daemons[0].caller_address, "/v1/chat/completions",
                        chat_body("new@v1", "x", 2))
                       .status == 200;
        }));
}

BOOST_AUTO_TEST_CASE(an_engine_that_restarts_empty_serves_again)
{
    cluster deployment({.daemons = 2, .engines = 2});
    deployment.wait_ready();
    background_load load(deployment, {deployment.daemons[0].caller_address,
                                      deployment.daemons[1].caller_address});
    std::this_thread::sleep_for(seconds(1));
    control(deployment.engines[0], {{"restart", true}});
    std::this_thread::sleep_for(seconds(5));
    const int served = load.served();
    std::this_thread::sleep_for(seconds(2));
    BOOST_TEST(load.served() > served);
    const load_counts counts = load.stop();
    BOOST_TEST(counts.wrong == 0);
    BOOST_TEST(broken_promises(deployment, counts) == 0);
    BOOST_TEST(deployment.engine_total("evicted_in_use") == 0);
}

BOOST_AUTO_TEST_CASE(a_wrong_adapter_is_never_delivered)
{
    cluster deployment({.daemons = 1, .engines = 2});
    deployment.wait_ready();
    control(deployment.engines[0], {{"wrong_adapter", true}});
    for (int i = 0; i < 8; ++i)
    {
        const http_answer answer =
            post(deployment.daemons[0].caller_address, "/v1/chat/completions",
                 chat_body(deployment.model(i), "who?", 4));
        BOOST_TEST(
            (answer.status != 200 || answer.parsed()["model"] == deployment.model(i)));
        BOOST_TEST(answer.body.find("other@v1/") == std::string::npos);
        BOOST_TEST(answer.status == 200);
    }
}

BOOST_AUTO_TEST_CASE(a_failed_load_is_told_at_once_and_tried_elsewhere)
{
    cluster deployment({.daemons = 1, .engines = 2});
    deployment.wait_ready();
    control(deployment.engines[0], {{"fail_loads", 2}});
    for (int i = 0; i < 4; ++i)
    {
        const http_answer answer =
            post(deployment.daemons[0].caller_address, "/v1/chat/completions",
                 chat_body(deployment.model(i), "load", 4));
        BOOST_TEST(answer.status == 200);
    }
}

BOOST_AUTO_TEST_CASE(
    a_request_that_crashes_engines_stops_after_two_and_spares_the_innocent)
{
    cluster deployment({.daemons = 3, .engines = 4});
    deployment.wait_ready();
    for (const std::string& engine : deployment.engines)
        control(engine, {{"crash_marker", "poison"}});
    background_load load(deployment, {deployment.daemons[0].caller_address});
    std::this_thread::sleep_for(seconds(2));
    for (int i = 0; i < 9; ++i)
    {
        const running_daemon& asked = deployment.daemons[static_cast<std::size_t>(i) % 3];
        const stream_answer answer =
            stream_chat(asked.caller_address, deployment.model(1), "poison", 8);
        BOOST_TEST(!answer.done);
        std::this_thread::sleep_for(milliseconds(200));
    }
    BOOST_TEST(deployment.engine_total("crashes") <= 2);
    std::this_thread::sleep_for(seconds(3));
    const int served = load.served();
    std::this_thread::sleep_for(seconds(2));
    BOOST_TEST(load.served() > served);
    const load_counts counts = load.stop();
    BOOST_TEST(counts.failed.count("request_blocked") == 0U);
    BOOST_TEST(counts.wrong == 0);
}
