#define BOOST_TEST_MODULE ownership
#include "tests/process/checks.hpp"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <thread>

using namespace pollenhaven::harness;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<std::string> addresses(const cluster& deployment)
{
    std::vector<std::string> all;
    for (const running_daemon& daemon : deployment.daemons)
        all.push_back(daemon.caller_address);
    return all;
}

std::vector<std::string> addresses_without(const cluster& deployment,
                                           const std::string& id)
{
    std::vector<std::string> others;
    for (const running_daemon& daemon : deployment.daemons)
    {
        if (daemon.id != id)
            others.push_back(daemon.caller_address);
    }
    return others;
}

nlohmann::json epochs(const cluster& deployment, std::size_t asked = 0)
{
    nlohmann::json found = nlohmann::json::object();
    const nlohmann::json report =
        get(deployment.daemons[asked].caller_address, "/v1/endpoints").parsed();
    for (const nlohmann::json& line : report)
        found[line.value("endpoint", "")] = {line.value("owner", ""),
                                             line.value("epoch", 0)};
    return found;
}

bool may_act(const running_daemon& daemon)
{
    const nlohmann::json status = get(daemon.caller_address, "/v1/status").parsed();
    return status.is_object() && status.value("may_act", false);
}

} // namespace

// engine-0 refuses old fencing numbers, the others ignore them.
BOOST_AUTO_TEST_CASE(a_holder_paused_past_its_lease_does_no_harm)
{
    cluster deployment({.daemons = 4, .engines = 4, .engines_checking_fencing = 1});
    deployment.wait_ready();
    const std::string paused = deployment.owner_of("engine-0");
    const std::size_t asked = deployment.daemons[0].id == paused ? 1 : 0;
    const nlohmann::json before = epochs(deployment, asked);
    background_load load(deployment, addresses_without(deployment, paused));
    std::this_thread::sleep_for(seconds(1));
    deployment.daemon_named(paused).program->signal(SIGSTOP);
    const bool taken_over =
        eventually([&] { return deployment.owner_of("engine-0", asked) != paused; });
    BOOST_TEST(taken_over);
    std::this_thread::sleep_for(seconds(2));
    const nlohmann::json during = epochs(deployment, asked);
    for (const auto& [endpoint, owner] : before.items())
    {
        // What ignores fencing numbers stays with its paused holder.
        if (endpoint != "engine-0")
            BOOST_TEST(during[endpoint] == owner, endpoint << " changed hands");
    }
    deployment.daemon_named(paused).program->signal(SIGCONT);
    BOOST_TEST(eventually([&] { return may_act(deployment.daemon_named(paused)); }));
    std::this_thread::sleep_for(seconds(2));
    const load_counts counts = load.stop();
    BOOST_TEST(counts.served > 50);
    check_nothing_broken(deployment, counts);
}

BOOST_AUTO_TEST_CASE(a_key_value_outage_of_a_minute_stops_nothing_and_moves_nothing)
{
    cluster deployment({.daemons = 3, .engines = 3, .engines_checking_fencing = 2});
    deployment.wait_ready();
    const nlohmann::json before = epochs(deployment);
    background_load load(deployment, addresses(deployment));
    std::this_thread::sleep_for(seconds(1));
    control(deployment.key_value, {{"state", "down"}});
    std::this_thread::sleep_for(seconds(30));
    const int served_halfway = load.served();
    std::this_thread::sleep_for(seconds(30));
    BOOST_TEST(load.served() > served_halfway + 50);
    control(deployment.key_value, {{"state", "up"}});
    std::this_thread::sleep_for(seconds(6));
    const load_counts counts = load.stop();
    BOOST_TEST(epochs(deployment) == before);
    for (const auto& [code, times] : counts.failed)
        BOOST_TEST(code == "claim_unavailable", code << " " << times << " times");
    check_nothing_broken(deployment, counts);
}

BOOST_AUTO_TEST_CASE(a_killed_daemon_is_replaced_by_its_restart_or_by_the_others)
{
    cluster deployment({.daemons = 3, .engines = 3});
    deployment.wait_ready();
    running_daemon& first = deployment.daemons[0];
    running_daemon& second = deployment.daemons[1];
    background_load load(deployment, {deployment.daemons[2].caller_address});
    first.program->kill();
    second.program->kill();
    std::this_thread::sleep_for(seconds(1));
    deployment.start_daemon(0);
    deployment.set_instance(second.id, "gone");
    const bool replaced = eventually(
        [&]
        {
            const nlohmann::json report =
                get(deployment.daemons[2].caller_address, "/v1/endpoints").parsed();
            for (const nlohmann::json& line : report)
            {
                if (!line.value("ready", false) || line.value("owner", "") == second.id)
                    return false;
            }
            return true;
        });
    BOOST_TEST(replaced);
    const load_counts counts = load.stop();
    check_nothing_broken(deployment, counts);
}

BOOST_AUTO_TEST_CASE(a_daemon_cut_off_from_the_service_alone_is_renewed_by_its_peers)
{
    cluster deployment({.daemons = 3,
                        .engines = 3,
                        .engines_checking_fencing = 3,
                        .relay_key_value = true});
    deployment.wait_ready();
    const nlohmann::json before = epochs(deployment, 1);
    background_load load(deployment, addresses(deployment));
    control(deployment.daemons[0].key_value_relay, {{"mode", "cut"}});
    std::this_thread::sleep_for(seconds(12));
    BOOST_TEST(epochs(deployment, 1) == before);
    BOOST_TEST(may_act(deployment.daemons[0]));
    control(deployment.daemons[0].key_value_relay, {{"mode", "pass"}});
    const load_counts counts = load.stop();
    for (const auto& [code, times] : counts.failed)
        BOOST_TEST(code == "claim_unavailable", code << " " << times << " times");
    check_nothing_broken(deployment, counts);
}

BOOST_AUTO_TEST_CASE(a_daemon_that_reaches_neither_service_nor_peers_stops_taking_work)
{
    cluster deployment(
        {.daemons = 3, .engines = 3, .relay_key_value = true, .relay_peers = true});
    deployment.wait_ready();
    // The others' addresses are cut too, so that the first daemon reaches none of them.
    for (const running_daemon& daemon : deployment.daemons)
        control(daemon.peer_relay, {{"mode", "cut"}});
    control(deployment.daemons[0].key_value_relay, {{"mode", "cut"}});
    BOOST_TEST(eventually([&] { return !may_act(deployment.daemons[0]); }, seconds(15)));
    const http_answer refused =
        post(deployment.daemons[0].caller_address, "/v1/chat/completions",
             chat_body(deployment.model(0), "anyone?", 4));
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.verdict() == "not_run");
    control(deployment.daemons[0].key_value_relay, {{"mode", "pass"}});
    for (const running_daemon& daemon : deployment.daemons)
        control(daemon.peer_relay, {{"mode", "pass"}});
    BOOST_TEST(eventually([&] { return may_act(deployment.daemons[0]); }));
}

BOOST_AUTO_TEST_CASE(a_planned_stop_under_load_cuts_off_nothing_and_hands_over)
{
    cluster deployment({.daemons = 3, .engines = 3});
    deployment.wait_ready();
    running_daemon& leaving = deployment.daemons[0];
    background_load load(deployment, {deployment.daemons[1].caller_address,
                                      deployment.daemons[2].caller_address});
    const std::string model = deployment.model(1);
    stream_answer long_answer;
    std::thread caller(
        [&] { long_answer = stream_chat(leaving.caller_address, model, "long", 400); });
    std::this_thread::sleep_for(seconds(1));
    leaving.program->signal(SIGTERM);
    std::this_thread::sleep_for(seconds(3));
    // Three seconds on, it takes no new work, and nobody is sent to it.
    const http_answer refused = post(leaving.caller_address, "/v1/chat/completions",
                                     chat_body(model, "too late", 4));
    BOOST_TEST((refused.status == 503 || refused.status == 0));
    for (int i = 0; i < 6; ++i)
    {
        const nlohmann::json entry =
            get(deployment.daemons[1].caller_address, "/v1/entry").parsed();
        BOOST_TEST(entry["address"] != leaving.caller_address);
    }
    caller.join();
    BOOST_TEST(long_answer.done);
    BOOST_TEST(long_answer.text == expected_text(model, "long", 400));
    BOOST_TEST(leaving.program->wait(seconds(30)).value_or(-1) == 0);
    const nlohmann::json after = epochs(deployment, 1);
    for (const auto& [endpoint, owner] : after.items())
        BOOST_TEST(owner[0] != leaving.id, endpoint << " was not handed over");
    const load_counts counts = load.stop();
    BOOST_TEST(counts.cut == 0);
    check_nothing_broken(deployment, counts);
}
