#define BOOST_TEST_MODULE once
#include "tests/harness/background_load.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <thread>

using namespace pollenhaven::harness;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string path = "/v1/services/booking/refill";

http_answer book(const running_daemon& daemon, const std::string& key,
                 const std::string& body = "{}")
{
    return post(daemon.caller_address, path, body, {{"Idempotency-Key", key}});
}

int times_carried_out(const cluster& deployment, const std::string& key)
{
    const std::map<std::string, int> all = deployment.carried_out();
    const auto found = all.find(key);
    return found == all.end() ? 0 : found->second;
}

// The daemon whose death interrupts a booking, and how long after the booking was sent.
struct death
{
    bool owner;
    int after_ms;
};

std::ostream& operator<<(std::ostream& out, const death& value)
{
    return out << (value.owner ? "owner" : "entry") << " dies after " << value.after_ms
               << " ms";
}

const std::vector<death> deaths = {{true, 0},  {true, 5},    {true, 100}, {true, 600},
                                   {false, 0}, {false, 100}, {false, 600}};

} // namespace

// The worker takes 400 ms, so the deaths fall before the claim, before the dispatch,
// during the call, and after the answer.
BOOST_DATA_TEST_CASE(a_death_at_any_step_never_doubles,
                     boost::unit_test::data::make(deaths), dies)
{
    cluster deployment({.daemons = 3, .engines = 1});
    deployment.wait_ready();
    control(deployment.services[0], {{"delay_ms", 400}});
    const std::string owner = deployment.owner_of("worker-0");
    running_daemon* entry = nullptr;
    running_daemon* other = nullptr;
    for (running_daemon& daemon : deployment.daemons)
    {
        if (daemon.id != owner)
            (entry == nullptr ? entry : other) = &daemon;
    }
    running_daemon& victim = dies.owner ? deployment.daemon_named(owner) : *entry;
    http_answer first;
    std::thread caller([&] { first = book(*entry, "death"); });
    std::this_thread::sleep_for(milliseconds(dies.after_ms));
    victim.program->kill();
    caller.join();
    if (first.verdict() == "not_run")
    {
        BOOST_TEST(times_carried_out(deployment, "death") == 0);
    }
    if (first.verdict() == "completed")
    {
        BOOST_TEST(times_carried_out(deployment, "death") == 1);
    }
    deployment.set_instance(victim.id, "gone");
    // Sent again until there is an answer, through a daemon that lives.
    http_answer again;
    const bool answered = eventually(
        [&]
        {
            again = book(*other, "death");
            return again.verdict() == "completed" || again.verdict() == "may_have_run";
        });
    BOOST_TEST(answered, "the last answer was " << again.status << " " << again.body);
    std::this_thread::sleep_for(milliseconds(600));
    BOOST_TEST(times_carried_out(deployment, "death") <= 1);
    if (again.verdict() == "completed")
    {
        BOOST_TEST(times_carried_out(deployment, "death") == 1);
    }
}

BOOST_AUTO_TEST_CASE(duplicates_at_the_same_moment_run_once)
{
    cluster deployment({.daemons = 3, .engines = 1, .service_workers = 2});
    deployment.wait_ready();
    for (const std::string& worker : deployment.services)
        control(worker, {{"delay_ms", 100}});
    std::vector<http_answer> answers(6);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < answers.size(); ++i)
        callers.emplace_back([&, i]
                             { answers[i] = book(deployment.daemons[i % 3], "twin"); });
    for (std::thread& caller : callers)
        caller.join();
    BOOST_TEST(times_carried_out(deployment, "twin") == 1);
    for (const http_answer& answer : answers)
        BOOST_TEST(answer.verdict() != "not_run", "a twin was told that it was not run");
    BOOST_TEST(book(deployment.daemons[1], "twin").verdict() == "completed");
}

BOOST_AUTO_TEST_CASE(a_lost_reply_of_the_claim_neither_doubles_nor_blocks)
{
    cluster deployment({.daemons = 2, .engines = 1});
    deployment.wait_ready();
    for (int i = 0; i < 8; ++i)
    {
        control(deployment.key_value, {{"lose_replies", 1 + i % 3}});
        const std::string key = "lost-" + std::to_string(i);
        http_answer answer;
        BOOST_TEST(eventually(
            [&]
            {
                answer = book(deployment.daemons[static_cast<std::size_t>(i) % 2], key);
                if (answer.verdict() == "not_run")
                    BOOST_TEST(times_carried_out(deployment, key) == 0);
                return answer.verdict() == "completed";
            }));
        BOOST_TEST(times_carried_out(deployment, key) == 1);
    }
}

BOOST_AUTO_TEST_CASE(an_outage_refuses_bookings_truthfully_and_they_run_after_it)
{
    cluster deployment({.daemons = 2, .engines = 1});
    deployment.wait_ready();
    for (const char* state : {"down", "hang"})
    {
        const std::string key = std::string("outage-") + state;
        control(deployment.key_value, {{"state", state}});
        const http_answer refused = book(deployment.daemons[0], key);
        BOOST_TEST(refused.status == 503);
        BOOST_TEST(refused.verdict() == "not_run");
        BOOST_TEST(refused.headers.count("Retry-After") == 1U);
        BOOST_TEST(times_carried_out(deployment, key) == 0);
        control(deployment.key_value, {{"state", "up"}});
        BOOST_TEST(eventually(
            [&] { return book(deployment.daemons[1], key).verdict() == "completed"; }));
        BOOST_TEST(times_carried_out(deployment, key) == 1);
    }
}

BOOST_AUTO_TEST_CASE(a_lost_answer_of_the_worker_is_in_doubt_and_never_repeated)
{
    cluster deployment({.daemons = 2, .engines = 1, .service_workers = 2});
    deployment.wait_ready();
    for (const std::string& worker : deployment.services)
        control(worker, {{"lose_replies", 1}});
    const http_answer first = book(deployment.daemons[0], "doubt");
    BOOST_TEST(first.verdict() == "may_have_run");
    const http_answer again = book(deployment.daemons[1], "doubt");
    BOOST_TEST(again.verdict() == "may_have_run");
    BOOST_TEST(times_carried_out(deployment, "doubt") == 1);
}

BOOST_AUTO_TEST_CASE(a_worker_that_refuses_leaves_the_key_free)
{
    cluster deployment({.daemons = 2, .engines = 1, .service_workers = 2});
    deployment.wait_ready();
    for (const std::string& worker : deployment.services)
        control(worker, {{"refuse", true}});
    BOOST_TEST(book(deployment.daemons[0], "refused").verdict() == "not_run");
    BOOST_TEST(times_carried_out(deployment, "refused") == 0);
    for (const std::string& worker : deployment.services)
        control(worker, {{"refuse", false}});
    BOOST_TEST(eventually(
        [&] { return book(deployment.daemons[1], "refused").verdict() == "completed"; }));
    BOOST_TEST(times_carried_out(deployment, "refused") == 1);
}

BOOST_AUTO_TEST_CASE(a_key_reused_for_another_call_is_refused)
{
    cluster deployment({.daemons = 1, .engines = 1});
    deployment.wait_ready();
    BOOST_TEST(book(deployment.daemons[0], "mine", "{\"van\":1}").status == 200);
    const http_answer reused = book(deployment.daemons[0], "mine", "{\"van\":2}");
    BOOST_TEST(reused.status == 422);
    BOOST_TEST(reused.verdict() == "not_run");
    BOOST_TEST(times_carried_out(deployment, "mine") == 1);
}
