#define BOOST_TEST_MODULE combined
#include "tests/process/checks.hpp"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <thread>

using namespace pollenhaven::harness;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

bool all_ready(const cluster& deployment, std::size_t asked)
{
    const nlohmann::json report =
        get(deployment.daemons[asked].caller_address, "/v1/endpoints").parsed();
    if (!report.is_array())
        return false;
    for (const nlohmann::json& line : report)
    {
        if (!line.value("ready", false))
            return false;
    }
    return !report.empty();
}

} // namespace

BOOST_AUTO_TEST_CASE(a_holder_paused_during_an_outage_and_woken_after_it)
{
    cluster deployment({.daemons = 4, .engines = 4, .engines_checking_fencing = 2});
    deployment.wait_ready();
    running_daemon& paused = deployment.daemons[0];
    background_load load(deployment, {deployment.daemons[1].caller_address,
                                      deployment.daemons[2].caller_address,
                                      deployment.daemons[3].caller_address});
    control(deployment.key_value, {{"state", "down"}});
    std::this_thread::sleep_for(seconds(2));
    paused.program->signal(SIGSTOP);
    std::this_thread::sleep_for(seconds(8));
    control(deployment.key_value, {{"state", "up"}});
    std::this_thread::sleep_for(seconds(8));
    paused.program->signal(SIGCONT);
    BOOST_TEST(eventually([&] { return all_ready(deployment, 1); }));
    const load_counts counts = load.stop();
    BOOST_TEST(counts.served > 50);
    check_nothing_broken(deployment, counts);
}

BOOST_AUTO_TEST_CASE(a_kill_during_another_daemons_planned_stop)
{
    cluster deployment({.daemons = 4, .engines = 4});
    deployment.wait_ready();
    background_load load(deployment, {deployment.daemons[2].caller_address,
                                      deployment.daemons[3].caller_address});
    std::this_thread::sleep_for(seconds(1));
    deployment.daemons[0].program->signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds(300));
    deployment.daemons[1].program->kill();
    deployment.set_instance(deployment.daemons[1].id, "gone");
    BOOST_TEST(deployment.daemons[0].program->wait(seconds(40)).value_or(-1) == 0);
    deployment.set_instance(deployment.daemons[0].id, "gone");
    BOOST_TEST(eventually([&] { return all_ready(deployment, 2); }));
    const load_counts counts = load.stop();
    check_nothing_broken(deployment, counts);
}

BOOST_AUTO_TEST_CASE(what_the_platform_lists_as_leaving_gets_no_new_work)
{
    cluster deployment({.daemons = 3, .engines = 3});
    deployment.wait_ready();
    background_load load(deployment, {deployment.daemons[1].caller_address,
                                      deployment.daemons[2].caller_address});
    std::this_thread::sleep_for(seconds(1));
    deployment.set_instance("engine-0", "leaving");
    deployment.set_instance(deployment.daemons[0].id, "leaving");
    // The list lags by half a second.
    std::this_thread::sleep_for(seconds(4));
    const long before = counts(deployment.engines[0]).value("generations", 0L);
    const http_answer refused =
        post(deployment.daemons[0].caller_address, "/v1/chat/completions",
             chat_body(deployment.model(0), "x", 2));
    BOOST_TEST(refused.verdict() == "not_run");
    for (int i = 0; i < 6; ++i)
    {
        const nlohmann::json entry =
            get(deployment.daemons[1].caller_address, "/v1/entry").parsed();
        BOOST_TEST(entry["address"] != deployment.daemons[0].caller_address);
    }
    std::this_thread::sleep_for(seconds(3));
    BOOST_TEST(counts(deployment.engines[0]).value("generations", 0L) == before);
    BOOST_TEST(eventually(
        [&]
        {
            for (const char* endpoint : {"engine-0", "engine-1", "engine-2", "worker-0"})
            {
                if (deployment.owner_of(endpoint, 1) == deployment.daemons[0].id)
                    return false;
            }
            return true;
        }));
    const load_counts seen = load.stop();
    BOOST_TEST(seen.cut == 0);
    check_nothing_broken(deployment, seen);
}

BOOST_AUTO_TEST_CASE(lost_replies_and_a_slow_service_under_load)
{
    cluster deployment({.daemons = 3, .engines = 2, .engines_checking_fencing = 1});
    deployment.wait_ready();
    background_load load(deployment, {deployment.daemons[0].caller_address,
                                      deployment.daemons[1].caller_address});
    control(deployment.key_value, {{"delay_ms", 400}});
    for (int i = 0; i < 10; ++i)
    {
        control(deployment.key_value, {{"lose_replies", 2}});
        std::this_thread::sleep_for(milliseconds(600));
    }
    control(deployment.key_value, {{"delay_ms", 0}, {"lose_replies", 0}});
    std::this_thread::sleep_for(seconds(2));
    const load_counts counts = load.stop();
    BOOST_TEST(counts.served > 30);
    check_nothing_broken(deployment, counts);
}
