// Calls with an idempotency key run at most once, whatever dies or stays silent.

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

constexpr milliseconds usual_limit{15000};

int times_carried_out(const fleet& deployment, const std::string& key)
{
    const std::map<std::string, int> all = deployment.booking_executions();
    const auto found = all.find(key);
    return found == all.end() ? 0 : found->second;
}

void control_bookings(const fleet& deployment, const nlohmann::json& change)
{
    for (int endpoint = 0; endpoint < 2; ++endpoint)
        control_standin(deployment.booking_address(endpoint), change);
}

bool completes(const fleet& deployment, int daemon, const std::string& key)
{
    return fleet::wait_for(
        [&]
        { return deployment.send_booking_request(daemon, key).verdict() == "completed"; },
        usual_limit);
}

// Milliseconds from a call's sending to the death of the daemon that has it.
const std::vector<int> death_delays{0, 2, 5, 10, 40, 120, 250};

} // namespace

// The endpoint takes 200 ms, so that the daemon dies before, during and after its work.
BOOST_DATA_TEST_CASE(a_death_at_any_step_runs_the_call_at_most_once,
                     boost::unit_test::data::make(death_delays), delay_ms)
{
    fleet_options options;
    options.daemons = 2;
    options.engines = 1;
    fleet deployment(options);
    control_bookings(deployment, {{"delay_ms", 200}});
    http_response first;
    std::thread caller([&] { first = deployment.send_booking_request(0, "death"); });
    std::this_thread::sleep_for(milliseconds(delay_ms));
    deployment.daemon(0).kill();
    caller.join();
    if (first.verdict() == "not_run")
        BOOST_TEST(times_carried_out(deployment, "death") == 0);
    http_response again;
    const bool answered = fleet::wait_for(
        [&]
        {
            again = deployment.send_booking_request(1, "death");
            return again.verdict() == "completed" || again.verdict() == "may_have_run";
        },
        usual_limit);
    BOOST_TEST(answered, "the last answer was " << again.status << " " << again.body);
    std::this_thread::sleep_for(milliseconds(600));
    BOOST_TEST(times_carried_out(deployment, "death") <= 1);
    if (first.verdict() == "completed" || again.verdict() == "completed")
        BOOST_TEST(times_carried_out(deployment, "death") == 1);
}

BOOST_AUTO_TEST_CASE(duplicates_at_the_same_moment_run_once)
{
    const fleet deployment;
    control_bookings(deployment, {{"delay_ms", 100}});
    std::vector<http_response> answers(6);
    std::vector<std::thread> callers;
    callers.reserve(answers.size());
    for (std::size_t i = 0; i < answers.size(); ++i)
        callers.emplace_back(
            [&, i] {
                answers[i] =
                    deployment.send_booking_request(static_cast<int>(i % 3), "twin");
            });
    for (std::thread& caller : callers)
        caller.join();
    BOOST_TEST(times_carried_out(deployment, "twin") == 1);
    for (const http_response& answer : answers)
        BOOST_TEST(answer.verdict() != "not_run", "a twin was told that it was not run");
    BOOST_TEST(deployment.send_booking_request(1, "twin").verdict() == "completed");
}

BOOST_AUTO_TEST_CASE(a_lost_reply_of_the_claim_neither_doubles_nor_blocks)
{
    const fleet deployment;
    for (int i = 0; i < 8; ++i)
    {
        control_standin(deployment.store_address(), {{"lose_replies", 1 + i % 3}});
        const std::string key = "lost-" + std::to_string(i);
        http_response answer;
        BOOST_TEST(fleet::wait_for(
            [&]
            {
                answer = deployment.send_booking_request(i % 2, key);
                if (answer.verdict() == "not_run")
                    BOOST_TEST(times_carried_out(deployment, key) == 0);
                return answer.verdict() == "completed";
            },
            usual_limit));
        BOOST_TEST(times_carried_out(deployment, key) == 1);
    }
}

BOOST_AUTO_TEST_CASE(an_outage_refuses_bookings_truthfully_and_they_run_after_it)
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
            control_standin(deployment.store_proxy(daemon), {{"mode", mode}});
        const http_response refused = deployment.send_booking_request(0, key);
        BOOST_TEST(refused.status == 503);
        BOOST_TEST(refused.verdict() == "not_run");
        BOOST_TEST(refused.headers.count("Retry-After") == 1U);
        BOOST_TEST(times_carried_out(deployment, key) == 0);
        for (int daemon = 0; daemon < 2; ++daemon)
            control_standin(deployment.store_proxy(daemon), {{"mode", "pass"}});
        BOOST_TEST(completes(deployment, 1, key));
        BOOST_TEST(times_carried_out(deployment, key) == 1);
    }
}

BOOST_AUTO_TEST_CASE(a_lost_answer_of_the_endpoint_is_in_doubt_and_never_repeated)
{
    const fleet deployment;
    control_bookings(deployment, {{"lose_replies", 1}});
    const http_response first = deployment.send_booking_request(0, "doubt");
    BOOST_TEST(first.verdict() == "may_have_run");
    const http_response again = deployment.send_booking_request(1, "doubt");
    BOOST_TEST(again.verdict() == "may_have_run");
    BOOST_TEST(times_carried_out(deployment, "doubt") == 1);
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_refuses_leaves_the_key_free)
{
    const fleet deployment;
    control_bookings(deployment, {{"refuse", true}});
    BOOST_TEST(deployment.send_booking_request(0, "refused").verdict() == "not_run");
    BOOST_TEST(times_carried_out(deployment, "refused") == 0);
    control_bookings(deployment, {{"refuse", false}});
    BOOST_TEST(completes(deployment, 1, "refused"));
    BOOST_TEST(times_carried_out(deployment, "refused") == 1);
}

BOOST_AUTO_TEST_CASE(a_key_reused_for_another_call_is_refused)
{
    const fleet deployment;
    BOOST_TEST(deployment.send_booking_request(0, "mine", "{\"van\":1}").status == 200);
    http_response reused;
    // Until the first call's answer is recorded the key is in doubt.
    BOOST_TEST(fleet::wait_for(
        [&]
        {
            reused = deployment.send_booking_request(0, "mine", "{\"van\":2}");
            return reused.status == 422;
        },
        usual_limit));
    BOOST_TEST(reused.verdict() == "not_run");
    BOOST_TEST(times_carried_out(deployment, "mine") == 1);
}
