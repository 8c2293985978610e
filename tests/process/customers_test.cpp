// Customers' keys and quotas over several daemons while something fails.

#define BOOST_TEST_MODULE customers
#include "tests/process/checks.hpp"

#include <csignal>
#include <thread>

using namespace pollenhaven::harness;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr int status_ok = 200;
constexpr int status_unauthorized = 401;

json customer(const std::string& name, const std::vector<std::string>& keys, int rate)
{
    return {{"name", name}, {"apiKeys", keys}, {"ratePerS", rate}, {"burst", rate}};
}

int status_with_key(const fleet& deployment, int daemon, const std::string& key)
{
    static std::atomic<int> number{0};
    return post(deployment.caller_address(daemon), "/orders/1", "body",
                {{"Host", fleet_host},
                 {"X-Pollenhaven-Request-Id", request_id("key", ++number)},
                 {"Authorization", "Bearer " + key}})
        .status;
}

bool all_answer(const fleet& deployment, const std::string& key, int status)
{
    for (int daemon = 0; daemon < deployment.daemon_count(); ++daemon)
        if (status_with_key(deployment, daemon, key) != status)
            return false;
    return true;
}

// Waits until all daemons have the configuration. Before, they pass callers' fields on.
bool is_in_force(const fleet& deployment, int version)
{
    return fleet::wait_for(
        [&]
        {
            for (int daemon = 0; daemon < deployment.daemon_count(); ++daemon)
                if (deployment.read_operator_report(
                        daemon, "status")["configuration_version"] != version)
                    return false;
            return true;
        },
        seconds(5));
}

// Sends requests to all daemons for a time and returns how many ran.
int run_requests(const fleet& deployment, const std::string& key, milliseconds time)
{
    const auto end = std::chrono::steady_clock::now() + time;
    int ran = 0;
    for (int turn = 0; std::chrono::steady_clock::now() < end; ++turn)
    {
        const int daemon = turn % deployment.daemon_count();
        ran += status_with_key(deployment, daemon, key) == status_ok ? 1 : 0;
    }
    return ran;
}

} // namespace

// Guards against keys that stay good after their withdrawal (CONFIG): at daemons with the
// store, at one that the store refuses, and at one that has just started.
BOOST_AUTO_TEST_CASE(a_withdrawn_key_is_refused_by_all_daemons_within_three_seconds)
{
    fleet_options options;
    options.proxy_store = true;
    fleet deployment(options);
    deployment.write_customers(2, json::array({customer("a", {"k1", "k2"}, 0)}));
    BOOST_REQUIRE(is_in_force(deployment, 2));
    BOOST_TEST(all_answer(deployment, "k1", status_ok));
    set_store_link(deployment, 2, "cut");
    std::this_thread::sleep_for(seconds(2));
    deployment.write_customers(3, json::array({customer("a", {"k2"}, 0)}));
    BOOST_TEST(fleet::wait_for(
        [&] { return all_answer(deployment, "k1", status_unauthorized); }, seconds(3)));
    BOOST_TEST(all_answer(deployment, "k2", status_ok));
    deployment.daemon(1).kill();
    deployment.start_daemon(1);
    BOOST_TEST(fleet::wait_for(
        [&]
        {
            const int status = status_with_key(deployment, 1, "k1");
            BOOST_TEST(status != status_ok);
            return status == status_unauthorized;
        },
        seconds(5)));
    const json counts = deployment.service_counts();
    BOOST_TEST(counts["with_credentials"] == 0);
    BOOST_TEST(counts["customers"] == json::array({"a"}));
}

// Guards against a quota that begins anew when its keeper, or all daemons, are killed, or
// that a daemon uses again which was frozen with a part of it.
BOOST_AUTO_TEST_CASE(a_quota_holds_over_kills_of_all_daemons_and_a_frozen_one)
{
    constexpr int rate = 10;
    fleet deployment;
    deployment.write_customers(2, json::array({customer("a", {"k1"}, rate)}));
    BOOST_REQUIRE(is_in_force(deployment, 2));
    BOOST_TEST(all_answer(deployment, "k2", status_unauthorized));
    const auto began = std::chrono::steady_clock::now();
    int ran = run_requests(deployment, "k1", milliseconds(1500));
    BOOST_TEST(ran >= rate);
    deployment.daemon(0).signal(SIGSTOP);
    deployment.daemon(1).kill();
    deployment.daemon(2).kill();
    deployment.daemon(0).signal(SIGCONT);
    deployment.kill_all_daemons();
    BOOST_TEST(deployment.start_all_daemons());
    ran += run_requests(deployment, "k1", milliseconds(1500));
    deployment.daemon(0).signal(SIGSTOP);
    std::this_thread::sleep_for(seconds(4));
    deployment.daemon(0).signal(SIGCONT);
    ran += run_requests(deployment, "k1", milliseconds(1500));
    const double elapsed_s =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    BOOST_TEST(ran <= (rate * elapsed_s + rate) * 1.1 + 1);
}
