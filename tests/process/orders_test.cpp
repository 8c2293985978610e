// Which daemon may send orders to an engine while daemons are paused, killed or stopped,
// and while the store can't be reached.

#define BOOST_TEST_MODULE orders
#include "tests/process/checks.hpp"

#include <csignal>
#include <thread>

using namespace pollenhaven::harness;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

std::vector<int> all_daemons(const fleet& deployment)
{
    std::vector<int> all;
    all.reserve(static_cast<std::size_t>(deployment.daemon_count()));
    for (int daemon = 0; daemon < deployment.daemon_count(); ++daemon)
        all.push_back(daemon);
    return all;
}

std::vector<int> daemons_without(const fleet& deployment, int excluded)
{
    std::vector<int> others = all_daemons(deployment);
    std::erase(others, excluded);
    return others;
}

int daemon_number(const std::string& id)
{
    return std::stoi(id.substr(id.find('-') + 1));
}

} // namespace

BOOST_AUTO_TEST_CASE(a_holder_paused_past_its_lease_breaks_no_guarantees)
{
    fleet_options options;
    options.daemons = 4;
    options.engines = 4;
    fleet deployment(options);
    const std::string paused_holder =
        settled_holders(deployment, options.engines).at("i-0");
    const int number = daemon_number(paused_holder);
    const int observer = number == 0 ? 1 : 0;
    background_traffic traffic(deployment, daemons_without(deployment, number));
    std::this_thread::sleep_for(seconds(1));
    deployment.daemon(number).signal(SIGSTOP);
    BOOST_TEST(fleet::wait_for(
        [&]
        { return holders_by_engine(deployment, observer).at("i-0") != paused_holder; },
        seconds(15)));
    std::this_thread::sleep_for(seconds(4));
    deployment.daemon(number).signal(SIGCONT);
    BOOST_TEST(fleet::wait_for(
        [&] { return serves_adapter(deployment, number, "woken"); }, seconds(15)));
    std::this_thread::sleep_for(seconds(2));
    const traffic_counts counts = traffic.stop();
    BOOST_TEST(counts.served > 50);
    check_delivery_guarantees(deployment, counts);
    check_fencing_tokens_never_decrease(deployment, 4);
}

BOOST_AUTO_TEST_CASE(a_store_outage_of_a_minute_interrupts_no_chats_and_changes_no_holder)
{
    const fleet deployment;
    const std::map<std::string, std::string> before =
        settled_holders(deployment, fleet_options{}.engines);
    background_traffic traffic(deployment, all_daemons(deployment));
    std::this_thread::sleep_for(seconds(1));
    deployment.set_store_down(true);
    std::this_thread::sleep_for(seconds(30));
    const int served_halfway = traffic.served();
    BOOST_TEST(serves_adapter(deployment, 0, "new-in-outage"));
    std::this_thread::sleep_for(seconds(30));
    BOOST_TEST(traffic.served() > served_halfway + 50);
    deployment.set_store_down(false);
    std::this_thread::sleep_for(seconds(6));
    const traffic_counts counts = traffic.stop();
    BOOST_TEST((holders_by_engine(deployment, 0) == before));
    for (const auto& [code, count] : counts.failures_by_code)
        BOOST_TEST(code == "claim_unavailable", code << " " << count << " times");
    check_delivery_guarantees(deployment, counts);
}

BOOST_AUTO_TEST_CASE(
    engines_of_killed_daemons_return_to_a_restarted_one_or_are_taken_over)
{
    fleet_options options;
    options.engines = 3;
    fleet deployment(options);
    background_traffic traffic(deployment, {2});
    deployment.daemon(0).kill();
    deployment.daemon(1).kill();
    std::this_thread::sleep_for(seconds(1));
    deployment.start_daemon(0);
    const bool replaced = fleet::wait_for(
        [&]
        {
            for (const auto& [engine, holder] : holders_by_engine(deployment, 2))
                if (holder == "daemon-1")
                    return false;
            return true;
        },
        seconds(20));
    BOOST_TEST(replaced);
    BOOST_TEST(fleet::wait_for([&] { return serves_adapter(deployment, 0, "after"); },
                               seconds(10)));
    check_delivery_guarantees(deployment, traffic.stop());
    check_fencing_tokens_never_decrease(deployment, 3);
}

// The store still answers the other daemons, so this is no store outage: they must take
// over the engines of the disconnected daemon, which goes on serving its own callers.
BOOST_AUTO_TEST_CASE(
    if_one_daemon_loses_the_store_it_still_serves_and_others_take_its_engines)
{
    fleet_options options;
    options.engines = 3;
    options.proxy_store = true;
    const fleet deployment(options);
    background_traffic traffic(deployment, all_daemons(deployment));
    std::this_thread::sleep_for(seconds(1));
    control_standin(deployment.store_proxy_control_address(0), {{"mode", "cut"}});
    std::this_thread::sleep_for(seconds(12));
    for (const auto& [engine, holder] : holders_by_engine(deployment, 1))
        BOOST_TEST(holder != "daemon-0",
                   engine << " still has the disconnected daemon as its holder");
    const int served = traffic.served();
    BOOST_TEST(serves_adapter(deployment, 0, "new-while-cut"));
    std::this_thread::sleep_for(seconds(2));
    BOOST_TEST(traffic.served() > served);
    control_standin(deployment.store_proxy_control_address(0), {{"mode", "pass"}});
    const traffic_counts counts = traffic.stop();
    for (const auto& [code, count] : counts.failures_by_code)
        BOOST_TEST(code == "claim_unavailable", code << " " << count << " times");
    check_delivery_guarantees(deployment, counts);
    check_fencing_tokens_never_decrease(deployment, 3);
}

BOOST_AUTO_TEST_CASE(a_daemon_without_store_and_peers_sends_no_orders)
{
    fleet_options options;
    options.proxy_store = true;
    fleet deployment(options);
    BOOST_TEST(serves_adapter(deployment, 0, "resident"));
    control_standin(deployment.store_proxy_control_address(0), {{"mode", "cut"}});
    deployment.daemon(1).signal(SIGSTOP);
    deployment.daemon(2).signal(SIGSTOP);
    // The lease lasts two seconds.
    std::this_thread::sleep_for(seconds(3));
    const std::size_t before =
        deployment.received_orders(0).size() + deployment.received_orders(1).size();
    const http_response refused =
        deployment.send_openai_chat(0, "base/new", "anyone?", 4);
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.verdict() == "not_run");
    BOOST_TEST(deployment.received_orders(0).size() +
                   deployment.received_orders(1).size() ==
               before);
    control_standin(deployment.store_proxy_control_address(0), {{"mode", "pass"}});
    deployment.daemon(1).signal(SIGCONT);
    deployment.daemon(2).signal(SIGCONT);
    BOOST_TEST(fleet::wait_for([&] { return serves_adapter(deployment, 0, "later"); },
                               seconds(20)));
    check_fencing_tokens_never_decrease(deployment, 2);
}

BOOST_AUTO_TEST_CASE(
    a_planned_stop_under_traffic_interrupts_nothing_and_hands_engines_over)
{
    fleet_options options;
    options.engines = 3;
    options.event_interval_ms = 15;
    fleet deployment(options);
    background_traffic traffic(deployment, {1, 2});
    stream_response long_stream;
    std::thread caller(
        [&] {
            long_stream =
                stream_chat(deployment.caller_address(0), "base/load-1", "long", 250);
        });
    std::this_thread::sleep_for(seconds(1));
    deployment.daemon(0).signal(SIGTERM);
    std::this_thread::sleep_for(seconds(3));
    // Three seconds after SIGTERM the daemon accepts no new requests, and the other
    // daemons no longer direct callers to it.
    const http_response refused =
        deployment.send_openai_chat(0, "base/load-1", "too late", 4);
    BOOST_TEST((refused.status == 503 || refused.status == 0));
    for (int i = 0; i < 6; ++i)
    {
        const nlohmann::json entry =
            get(deployment.caller_address(1), "/v1/entry").parsed();
        BOOST_TEST(entry["address"] != deployment.caller_address(0));
    }
    caller.join();
    BOOST_TEST(long_stream.done);
    BOOST_TEST(long_stream.text == expected_text("base/load-1", "long", 250));
    BOOST_TEST(deployment.daemon(0).wait(seconds(30)).value_or(-1) == 0);
    BOOST_TEST(fleet::wait_for(
        [&]
        {
            for (const auto& [engine, holder] : holders_by_engine(deployment, 1))
                if (holder == "daemon-0")
                    return false;
            return true;
        },
        seconds(15)));
    const traffic_counts counts = traffic.stop();
    BOOST_TEST(counts.truncated == 0);
    check_delivery_guarantees(deployment, counts);
    check_fencing_tokens_never_decrease(deployment, 3);
}
