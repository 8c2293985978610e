// Engines that fall silent in the middle of an answer, for a while or for good.

#include "tests/contract/flow_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace pollenhaven;
using namespace pollenhaven::contract;

namespace
{

const std::string event_a = "id: 1\ndata: a\n\n";
const std::string event_b = "id: 2\ndata: b\n\n";
const std::string last_chunk = "0\r\n\r\n";
// A sound engine may fall silent for a second or so.
constexpr milliseconds pause_of_a_sound_engine{1500};
// Callers give up a stream of these routes after a gap of this length.
constexpr milliseconds callers_gap{2000};

// Endpoints that answer in several parts, with routes that allow for their pauses.
struct silent_fixture : flow_fixture
{
    silent_fixture()
    {
        constexpr milliseconds route_timeout{8000};
        routing_table table = *context.routing;
        for (route& changed : table.routes)
            changed.timeout = route_timeout;
        context.routing = std::make_shared<const routing_table>(table);
        time_limit = route_timeout;
    }

    // Has the endpoint send `begin` at once and `rest` after the pause.
    void answer_in_two_parts(scripted_endpoint& endpoint, const std::string& begin,
                             milliseconds pause, const std::string& rest)
    {
        endpoint.respond = [this, begin, pause, rest](stream_id from, const std::string&,
                                                      const std::string& id)
        {
            context.loop.send(from, replaced(begin, "ID", id));
            context.loop.schedule_after(
                pause, [this, from, rest, id]
                { context.loop.send(from, replaced(rest, "ID", id)); });
        };
    }

    void break_off_after_first_event(scripted_endpoint& endpoint)
    {
        endpoint.scripts = {{stream_head + chunk(event_a), false, true}};
    }

    std::string send_and_measure(const std::string& path)
    {
        const instant begin = boot_clock::now();
        std::string response = send_request(path);
        elapsed = to_milliseconds(boot_clock::now() - begin);
        return response;
    }

    milliseconds elapsed{0};
};

bool is_whole_stream(const std::string& response)
{
    return contains(response, event_a) && contains(response, event_b) &&
           response.ends_with(last_chunk);
}

} // namespace

BOOST_AUTO_TEST_SUITE(silent_engines)

// Guards against a second run of a stream whose engine is sound and falls silent for a
// second or so.
BOOST_AUTO_TEST_CASE(a_stream_of_an_engine_that_pauses_is_not_run_again)
{
    silent_fixture test;
    test.add_endpoints("assistant");
    test.answer_in_two_parts(test.first, stream_head + chunk(event_a),
                             pause_of_a_sound_engine, chunk(event_b) + last_chunk);
    test.second.scripts = {{stream_head + chunk(event_b) + last_chunk}};
    BOOST_TEST(is_whole_stream(test.send_request("/again/1")));
    BOOST_TEST(test.second.requests.empty());
}

// Guards against a stream that is cut off because of a pause of its engine, although no
// other engine can go on with it.
BOOST_AUTO_TEST_CASE(a_stream_is_not_cut_off_because_its_only_engine_pauses)
{
    silent_fixture test;
    test.add_endpoint("i-1", "assistant", test.first);
    test.answer_in_two_parts(test.first, stream_head + chunk(event_a),
                             callers_gap - milliseconds(100),
                             chunk(event_b) + last_chunk);
    BOOST_TEST(is_whole_stream(test.send_request("/again/1")));
}

// Guards against a request that is failed because its only endpoint hasn't begun its
// answer yet.
BOOST_AUTO_TEST_CASE(a_request_is_not_failed_because_its_only_endpoint_pauses)
{
    silent_fixture test;
    test.add_endpoint("i-1", "plain", test.first);
    test.answer_in_two_parts(test.first, "", pause_of_a_sound_engine, ok_response);
    BOOST_TEST(test.send_request("/look/1").starts_with("HTTP/1.1 200"));
}

// Guards against a stream that its caller gives up because its engine is silent for good
// and another one goes on with it too late.
BOOST_AUTO_TEST_CASE(a_silent_stream_is_resumed_before_its_caller_gives_up)
{
    silent_fixture test;
    test.add_endpoints("assistant");
    test.first.scripts = {{stream_head + chunk(event_a)}};
    test.second.scripts = {{stream_head + chunk(event_b) + last_chunk}};
    BOOST_TEST(is_whole_stream(test.send_and_measure("/again/1")));
    BOOST_TEST(test.elapsed.count() < callers_gap.count());
    BOOST_TEST(test.second.requests.size() == 1U);
}

// Guards against a stream that is cut off because no other engine has a place for it when
// its engine breaks it off, although one has soon after.
BOOST_AUTO_TEST_CASE(a_resumed_stream_waits_for_a_place)
{
    silent_fixture test;
    test.add_endpoints("assistant");
    test.break_off_after_first_event(test.first);
    test.second.scripts = {{stream_head + chunk(event_b) + last_chunk}};
    endpoint_view& other = test.context.fleet.endpoints.at({"i-2"});
    other.backoff_until = test.context.loop.now() + milliseconds(800);
    BOOST_TEST(is_whole_stream(test.send_request("/again/1")));
    BOOST_TEST(test.second.requests.size() == 1U);
}

// As above, with no engine of the software version that began the stream.
BOOST_AUTO_TEST_CASE(a_resumed_stream_waits_for_its_software_version)
{
    silent_fixture test;
    test.add_endpoints("assistant");
    test.break_off_after_first_event(test.first);
    test.second.scripts = {{stream_head + chunk(event_b) + last_chunk}};
    const auto view = [&](const char* id) -> endpoint_view&
    { return test.context.fleet.endpoints.at({id}); };
    view("i-1").record.software = {"v1"};
    view("i-2").record.software = {"v1"};
    view("i-2").draining = true;
    test.context.loop.schedule_after(milliseconds(100),
                                     [&] { view("i-1").gone_at = boot_clock::now(); });
    test.context.loop.schedule_after(milliseconds(800),
                                     [&] { view("i-2").draining = false; });
    BOOST_TEST(is_whole_stream(test.send_request("/again/1")));
    BOOST_TEST(test.second.requests.size() == 1U);
}

// Guards against a stream that is never ended although no engine can go on with it, and
// against one that is ended while its caller still waits.
BOOST_AUTO_TEST_CASE(a_stream_that_finds_no_place_is_ended_when_its_caller_gives_up)
{
    silent_fixture test;
    test.add_endpoints("assistant");
    test.break_off_after_first_event(test.first);
    constexpr seconds longer_than_the_test{60};
    test.context.fleet.endpoints.at({"i-2"}).backoff_until =
        test.context.loop.now() + longer_than_the_test;
    const std::string response = test.send_and_measure("/again/1");
    BOOST_TEST(contains(response, event_a));
    BOOST_TEST(!response.ends_with(last_chunk));
    BOOST_TEST(test.ended);
    BOOST_TEST(test.elapsed.count() >= callers_gap.count());
    // The route's timeout is several times as long.
    BOOST_TEST(test.elapsed.count() < 2 * callers_gap.count());
}

BOOST_AUTO_TEST_SUITE_END()
