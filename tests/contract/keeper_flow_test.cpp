#include "tests/contract/flow_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace pollenhaven;
using namespace pollenhaven::contract;

namespace
{

const daemon_id keeper{"keeper"};
const endpoint_id preferred{"i-1"};
const endpoint_id other{"i-2"};

// A daemon before two plain endpoints whose keeper is another daemon.
struct keeper_fixture : flow_fixture
{
    // What the keeper states of the load of others; it doesn't answer without.
    std::map<endpoint_id, int> stated;
    std::size_t handled_reports = 0;

    keeper_fixture()
    {
        add_endpoints("plain");
        first.scripts = {{ok_response}};
        second.scripts = {{ok_response}};
        context.fleet.members[keeper].leased = true;
        answer_questions();
    }

    void answer_questions()
    {
        context.loop.schedule_after(milliseconds(1), [this] { answer_questions(); });
        for (; handled_reports < load_reports.size(); ++handled_reports)
        {
            const endpoint_load_message report = load_reports[handled_reports];
            for (const auto& [endpoint, question] : report.questions)
                if (stated.contains(endpoint))
                    loads.on_stated_load(
                        {keeper,
                         {{endpoint, {question.number, stated.at(endpoint), 0, {}}}}});
        }
    }

    int questions_for(const endpoint_id& endpoint) const
    {
        int questions = 0;
        for (const endpoint_load_message& report : load_reports)
            questions += report.questions.contains(endpoint) ? 1 : 0;
        return questions;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(keeper_flow)

BOOST_FIXTURE_TEST_CASE(a_request_is_counted_by_the_keeper_before_it_is_sent,
                        keeper_fixture)
{
    stated = {{preferred, 0}, {other, 0}};
    BOOST_TEST(send_request("/once/1").starts_with("HTTP/1.1 200"));
    BOOST_TEST(first.requests.size() == 1U);
    BOOST_TEST(questions_for(preferred) == 1);
    BOOST_REQUIRE(!load_reports.empty());
    BOOST_TEST(load_reports.front().loads.at(preferred).in_flight == 1);
    BOOST_TEST(load_reports.back().loads.at(preferred).in_flight == 0);
    const endpoint_view& view = context.fleet.endpoints.at(preferred);
    BOOST_TEST(view.reserved_requests == 0);
    BOOST_TEST(view.in_flight == 0);
}

// Guards against requests that all daemons send to the same endpoint, which rejects them.
BOOST_FIXTURE_TEST_CASE(a_request_goes_elsewhere_if_the_keeper_states_that_it_is_full,
                        keeper_fixture)
{
    stated = {{preferred, 9}, {other, 0}};
    BOOST_TEST(send_request("/once/1").starts_with("HTTP/1.1 200"));
    BOOST_TEST(first.requests.empty());
    BOOST_TEST(second.requests.size() == 1U);
    BOOST_TEST(context.fleet.endpoints.at(preferred).reserved_requests == 0);
    BOOST_TEST(load_reports.back().loads.begin()->second.in_flight == 0);
}

// A keeper that is paused or cut off costs a request some milliseconds, and not each one.
BOOST_FIXTURE_TEST_CASE(requests_are_sent_although_the_keeper_is_silent, keeper_fixture)
{
    const instant began = boot_clock::now();
    BOOST_TEST(send_request("/once/1").starts_with("HTTP/1.1 200"));
    BOOST_TEST((boot_clock::now() - began < milliseconds(500)));
    BOOST_TEST(send_request("/once/2").starts_with("HTTP/1.1 200"));
    BOOST_TEST(questions_for(preferred) == 2);
    BOOST_TEST(send_request("/once/3").starts_with("HTTP/1.1 200"));
    BOOST_TEST(questions_for(preferred) == 2);
    BOOST_TEST(first.requests.size() == 3U);
}

// A request that waits until an endpoint can take it asks again, and is sent when the
// keeper states that there is room.
BOOST_FIXTURE_TEST_CASE(a_request_waits_while_all_endpoints_are_full, keeper_fixture)
{
    stated = {{preferred, 9}, {other, 9}};
    context.loop.schedule_after(milliseconds(150), [this] { stated = {{preferred, 0}}; });
    BOOST_TEST(send_request("/once/1").starts_with("HTTP/1.1 200"));
    BOOST_TEST(first.requests.size() == 1U);
    BOOST_TEST(questions_for(preferred) >= 2);
}

BOOST_FIXTURE_TEST_CASE(a_caller_that_leaves_ends_the_reservation, keeper_fixture)
{
    const stream_id caller = connect();
    context.loop.send(caller, "POST /once/1 HTTP/1.1\r\nHost: h\r\n"
                              "X-Pollenhaven-Request-Id: id-1\r\n"
                              "Content-Length: 4\r\n\r\nbody");
    run_until([this] { return !load_reports.empty(); }, seconds(2));
    BOOST_TEST(context.fleet.endpoints.at(preferred).reserved_requests == 1);
    context.loop.reset(caller);
    run_until([this] { return flow.requests_in_flight() == 0; }, seconds(2));
    run_until([] { return false; }, milliseconds(20));
    BOOST_TEST(context.fleet.endpoints.at(preferred).reserved_requests == 0);
    BOOST_TEST(first.requests.size() <= 1U);
    BOOST_TEST(load_reports.back().loads.at(preferred).in_flight == 0);
}

// This daemon is the keeper: it counts what peers report and answers them.
BOOST_FIXTURE_TEST_CASE(a_keeper_answers_and_informs_those_that_wait, keeper_fixture)
{
    std::vector<stated_load_message> answers;
    endpoint_load_reports kept(
        context,
        [&](const daemon_id&, const fleet_message& message)
        { answers.push_back(std::get<stated_load_message>(message)); },
        [](const fleet_message&) {},
        [](const daemon_id&, const endpoint_id&, const endpoint_load&) {});
    const daemon_id asker{"asker"};
    kept.on_report({{"user"}, {{preferred, {4}}}, {}, 1});
    kept.on_report({asker, {{preferred, {}}}, {{preferred, {{1}, true}}}, 1});
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST(answers.front().loads.at(preferred).number.value == 1U);
    BOOST_TEST(answers.front().loads.at(preferred).in_flight == 4);
    run_until([] { return false; }, milliseconds(20));
    BOOST_TEST(answers.size() == 1U);
    kept.on_report({{"user"}, {{preferred, {3}}}, {}, 2});
    run_until([&] { return answers.size() > 1; }, seconds(1));
    BOOST_REQUIRE(answers.size() == 2U);
    BOOST_TEST(answers.back().loads.at(preferred).number.value == 0U);
    BOOST_TEST(answers.back().loads.at(preferred).in_flight == 3);
    // An endpoint that the keeper doesn't know is left out.
    kept.on_report({asker, {{{"i-9"}, {}}}, {{{"i-9"}, {{2}, true}}}, 2});
    BOOST_TEST(answers.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
