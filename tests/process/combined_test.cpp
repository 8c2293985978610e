// The delivery guarantees hold under several faults that overlap or follow each other.

#define BOOST_TEST_MODULE combined
#include "tests/process/checks.hpp"

#include <csignal>
#include <thread>

using namespace pollenhaven::harness;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_CASE(a_holder_paused_in_a_store_outage_and_resumed_after_it)
{
    fleet_options options;
    options.daemons = 4;
    options.engines = 4;
    fleet deployment(options);
    background_traffic traffic(deployment, {1, 2, 3});
    deployment.set_store_down(true);
    std::this_thread::sleep_for(seconds(2));
    deployment.daemon(0).signal(SIGSTOP);
    std::this_thread::sleep_for(seconds(8));
    deployment.set_store_down(false);
    std::this_thread::sleep_for(seconds(8));
    deployment.daemon(0).signal(SIGCONT);
    for (int adapter = 0; adapter < 6; ++adapter)
        BOOST_TEST(fleet::wait_for(
            [&]
            { return serves_adapter(deployment, 1, "late-" + std::to_string(adapter)); },
            seconds(15)));
    const traffic_counts counts = traffic.stop();
    BOOST_TEST(counts.served > 50);
    check_delivery_guarantees(deployment, counts);
    check_fencing_tokens_never_decrease(deployment, 4);
}

BOOST_AUTO_TEST_CASE(a_daemon_killed_while_another_one_shuts_down)
{
    fleet_options options;
    options.daemons = 4;
    options.engines = 4;
    fleet deployment(options);
    background_traffic traffic(deployment, {2, 3});
    std::this_thread::sleep_for(seconds(1));
    deployment.daemon(0).signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds(300));
    deployment.daemon(1).kill();
    BOOST_TEST(deployment.daemon(0).wait(seconds(40)).value_or(-1) == 0);
    BOOST_TEST(fleet::wait_for(
        [&]
        {
            for (const auto& [engine, holder] : holders_by_engine(deployment, 2))
                if (holder == "daemon-0" || holder == "daemon-1")
                    return false;
            return true;
        },
        seconds(20)));
    check_delivery_guarantees(deployment, traffic.stop());
    check_fencing_tokens_never_decrease(deployment, 4);
}

BOOST_AUTO_TEST_CASE(lost_store_responses_and_a_slow_store_under_traffic)
{
    const fleet deployment;
    background_traffic traffic(deployment, {0, 1});
    control_standin(deployment.store_address(), {{"delay_ms", 400}});
    for (int i = 0; i < 10; ++i)
    {
        control_standin(deployment.store_address(), {{"lose_replies", 2}});
        std::this_thread::sleep_for(milliseconds(600));
    }
    control_standin(deployment.store_address(), {{"delay_ms", 0}, {"lose_replies", 0}});
    std::this_thread::sleep_for(seconds(2));
    const traffic_counts counts = traffic.stop();
    BOOST_TEST(counts.served > 30);
    check_delivery_guarantees(deployment, counts);
    check_fencing_tokens_never_decrease(deployment, 2);
}
