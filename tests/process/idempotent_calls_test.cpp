// Calls with an idempotency key run at most once, whichever process is killed and
// whichever response is lost.

#define BOOST_TEST_MODULE once
#include "tests/harness/fleet.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <thread>

using namespace pollenhaven::harness;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr milliseconds verdict_timeout{15000};

int execution_count(const fleet& deployment, const std::string& key)
{
    const std::map<std::string, int> all = deployment.booking_executions();
    const auto found = all.find(key);
    return found == all.end() ? 0 : found->second;
}

void control_booking_endpoints(const fleet& deployment, const nlohmann::json& change)
{
    for (int endpoint = 0; endpoint < 2; ++endpoint)
        control_standin(deployment.booking_address(endpoint), change);
}

bool booking_completes(const fleet& deployment, int daemon, const std::string& key)
{
    return fleet::wait_for(
        [&]
        { return deployment.send_booking_request(daemon, key).verdict() == "completed"; },
        verdict_timeout);
}

// Time in milliseconds from sending a call until the daemon that received it is killed.
const std::vector<int> kill_delays_ms{0, 2, 5, 10, 40, 120, 250};

} // namespace

// The endpoint takes 200 ms for a call, so the delays kill the daemon before, during and
// after the execution.
BOOST_DATA_TEST_CASE(a_call_runs_at_most_once_if_its_daemon_is_killed_at_any_step,
                     boost::unit_test::data::make(kill_delays_ms), delay_ms)
{
    fleet_options options;
    options.daemons = 2;
    options.engines = 1;
    fleet deployment(options);
    control_booking_endpoints(deployment, {{"delay_ms", 200}});
    http_response first;
    std::thread caller([&]
                       { first = deployment.send_booking_request(0, "killed-daemon"); });
    std::this_thread::sleep_for(milliseconds(delay_ms));
    deployment.daemon(0).kill();
    caller.join();
    if (first.verdict() == "not_run")
        BOOST_TEST(execution_count(deployment, "killed-daemon") == 0);
    http_response again;
    const bool got_verdict = fleet::wait_for(
        [&]
        {
            again = deployment.send_booking_request(1, "killed-daemon");
            return again.verdict() == "completed" || again.verdict() == "may_have_run";
        },
        verdict_timeout);
    BOOST_TEST(got_verdict,
               "the last response was " << again.status << " " << again.body);
    std::this_thread::sleep_for(milliseconds(600));
    BOOST_TEST(execution_count(deployment, "killed-daemon") <= 1);
    if (first.verdict() == "completed" || again.verdict() == "completed")
        BOOST_TEST(execution_count(deployment, "killed-daemon") == 1);
}

BOOST_AUTO_TEST_CASE(concurrent_duplicates_run_once)
{
    const fleet deployment;
    control_booking_endpoints(deployment, {{"delay_ms", 100}});
    std::vector<http_response> responses(6);
    std::vector<std::thread> callers;
    callers.reserve(responses.size());
    for (std::size_t i = 0; i < responses.size(); ++i)
        callers.emplace_back(
            [&, i]
            {
                responses[i] =
                    deployment.send_booking_request(static_cast<int>(i % 3), "duplicate");
            });
    for (std::thread& caller : callers)
        caller.join();
    BOOST_TEST(execution_count(deployment, "duplicate") == 1);
    for (const http_response& response : responses)
        BOOST_TEST(response.verdict() != "not_run",
                   "a duplicate of an executed call was reported as not run");
    BOOST_TEST(deployment.send_booking_request(1, "duplicate").verdict() == "completed");
}

BOOST_AUTO_TEST_CASE(a_lost_response_to_the_claim_neither_repeats_nor_blocks_the_call)
{
    const fleet deployment;
    for (int i = 0; i < 8; ++i)
    {
        control_standin(deployment.store_address(), {{"lose_replies", 1 + i % 3}});
        const std::string key = "lost-" + std::to_string(i);
        http_response response;
        BOOST_TEST(fleet::wait_for(
            [&]
            {
                response = deployment.send_booking_request(i % 2, key);
                if (response.verdict() == "not_run")
                    BOOST_TEST(execution_count(deployment, key) == 0);
                return response.verdict() == "completed";
            },
            verdict_timeout));
        BOOST_TEST(execution_count(deployment, key) == 1);
    }
}

BOOST_AUTO_TEST_CASE(bookings_are_refused_as_not_run_in_a_store_outage_and_run_after_it)
{
    fleet_options options;
    options.daemons = 2;
    options.engines = 1;
    options.proxy_store = true;
    const fleet deployment(options);
    for (const char* mode : {"cut", "silent"})
    {
        const std::string key = std::string("outage-") + mode;
        for (int daemon = 0; daemon < 2; ++daemon)
            control_standin(deployment.store_proxy_control_address(daemon),
                            {{"mode", mode}});
        const http_response refused = deployment.send_booking_request(0, key);
        BOOST_TEST(refused.status == 503);
        BOOST_TEST(refused.verdict() == "not_run");
        BOOST_TEST(refused.headers.count("Retry-After") == 1U);
        BOOST_TEST(execution_count(deployment, key) == 0);
        for (int daemon = 0; daemon < 2; ++daemon)
            control_standin(deployment.store_proxy_control_address(daemon),
                            {{"mode", "pass"}});
        BOOST_TEST(booking_completes(deployment, 1, key));
        BOOST_TEST(execution_count(deployment, key) == 1);
    }
}

BOOST_AUTO_TEST_CASE(a_call_whose_response_is_lost_may_have_run_and_is_not_repeated)
{
    const fleet deployment;
    control_booking_endpoints(deployment, {{"lose_replies", 1}});
    const http_response first = deployment.send_booking_request(0, "lost-response");
    BOOST_TEST(first.verdict() == "may_have_run");
    const http_response again = deployment.send_booking_request(1, "lost-response");
    BOOST_TEST(again.verdict() == "may_have_run");
    BOOST_TEST(execution_count(deployment, "lost-response") == 1);
}

BOOST_AUTO_TEST_CASE(a_call_refused_by_its_endpoint_can_be_repeated_with_its_key)
{
    const fleet deployment;
    control_booking_endpoints(deployment, {{"refuse", true}});
    BOOST_TEST(deployment.send_booking_request(0, "refused").verdict() == "not_run");
    BOOST_TEST(execution_count(deployment, "refused") == 0);
    control_booking_endpoints(deployment, {{"refuse", false}});
    BOOST_TEST(booking_completes(deployment, 1, "refused"));
    BOOST_TEST(execution_count(deployment, "refused") == 1);
}

BOOST_AUTO_TEST_CASE(an_idempotency_key_reused_for_another_call_is_rejected)
{
    const fleet deployment;
    BOOST_TEST(deployment.send_booking_request(0, "reused", "{\"van\":1}").status == 200);
    http_response reused;
    // Until the response to the first call is recorded, calls with its key are answered
    // with the verdict may_have_run.
    BOOST_TEST(fleet::wait_for(
        [&]
        {
            reused = deployment.send_booking_request(0, "reused", "{\"van\":2}");
            return reused.status == 422;
        },
        verdict_timeout));
    BOOST_TEST(reused.verdict() == "not_run");
    BOOST_TEST(execution_count(deployment, "reused") == 1);
}
