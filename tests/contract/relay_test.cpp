#include "tests/contract/flow_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace pollenhaven;
using namespace pollenhaven::contract;

namespace
{

// A daemon that is cut off from its endpoints, with one peer, which the first scripted
// endpoint plays. The other one is an endpoint that must get nothing.
struct cut_off_fixture : flow_fixture
{
    cut_off_fixture()
    {
        add_endpoint("i-1", "plain", second);
        add_endpoint("i-2", "assistant", second);
        second.scripts = {{ok_response}};
        context.links.cut_off_since = context.loop.now();
        member_view& peer = context.fleet.members[{"peer"}];
        peer.id = {"peer"};
        peer.ready = true;
        peer.peer_address = first.address;
        peer.last_message_at = context.loop.now() + seconds(10);
    }
};

std::string refusal_of_a_peer()
{
    return "HTTP/1.1 503 Service Unavailable\r\nX-Verdict: not_run\r\n"
           "Retry-After: 1.5\r\nContent-Length: 4\r\n\r\nfull";
}

} // namespace

BOOST_AUTO_TEST_SUITE(relays)

// Guards against callers of a cut-off daemon who are not served (RECOVER): the peer gets
// the request with the time that is left, and its response is passed on as it is.
BOOST_AUTO_TEST_CASE(a_request_of_a_cut_off_daemon_is_answered_by_its_peer)
{
    cut_off_fixture test;
    test.first.scripts = {{ok_response}};
    const std::string response =
        test.send_request("/once/1", "X-Pollenhaven-Deadline-Ms: 900\r\nX-Own: 1\r\n");
    BOOST_TEST(response.starts_with("HTTP/1.1 200"));
    BOOST_TEST(contains(response, "X-Pollenhaven-Server-Signature: sig"));
    BOOST_TEST(response.ends_with("fine"));
    BOOST_REQUIRE(test.first.requests.size() == 1U);
    BOOST_TEST(contains(test.first.requests[0], "X-Own: 1"));
    BOOST_TEST(contains(test.first.requests[0], "X-Pollenhaven-Request-Id: id-1"));
    BOOST_TEST(!contains(test.first.requests[0], "Deadline-Ms: 900\r\nX"));
    BOOST_TEST(test.second.requests.empty());
}

// A refusal says truthfully that the request has not run, over both daemons, and when to
// come back.
BOOST_AUTO_TEST_CASE(the_refusal_of_a_peer_is_passed_on)
{
    cut_off_fixture test;
    test.first.scripts = {{refusal_of_a_peer()}};
    const std::string response = test.send_request("/once/1");
    BOOST_TEST(response.starts_with("HTTP/1.1 503"));
    BOOST_TEST(contains(response, "X-Verdict: not_run"));
    BOOST_TEST(contains(response, "Retry-After: 1.5"));
    BOOST_TEST(test.first.requests.size() == 1U);
}

// Guards against the same promise of a peer of an earlier release, which passes it on
// from an endpoint (REFUSED).
BOOST_AUTO_TEST_CASE(a_promise_that_an_endpoint_made_to_a_peer_is_not_passed_on)
{
    for (const std::string& signature : {signature_field, std::string()})
    {
        cut_off_fixture test;
        test.first.scripts = {{make_response("503 Unavailable", signature, "ran")}};
        const std::string response = test.send_request("/once/1");
        BOOST_TEST(response.starts_with("HTTP/1.1 502"), response);
        BOOST_TEST(contains(response, "may_have_run"));
        BOOST_TEST(test.first.requests.size() == 1U);
    }
}

// A peer that is lost may have had the request run: it isn't sent again, whatever its
// route allows, because the peer may have used all attempts.
BOOST_AUTO_TEST_CASE(a_request_whose_peer_is_lost_may_have_run)
{
    for (const char* const path : {"/once/1", "/look/1"})
    {
        cut_off_fixture test;
        test.first.scripts = {{"", true}};
        const std::string response = test.send_request(path);
        BOOST_TEST(response.starts_with("HTTP/1.1 502"));
        BOOST_TEST(contains(response, "may_have_run"));
        BOOST_TEST(test.first.requests.size() == 1U);
        BOOST_TEST(test.second.requests.empty());
    }
}

// A peer that can't be reached hasn't had the request; another one gets it.
BOOST_AUTO_TEST_CASE(a_request_goes_to_another_peer_if_the_first_one_is_not_reached)
{
    cut_off_fixture test;
    test.first.scripts = {{ok_response}};
    for (int number = 0; number < 6; ++number)
    {
        const daemon_id id{"dead-" + std::to_string(number)};
        member_view& dead = test.context.fleet.members[id];
        dead = test.context.fleet.members.at({"peer"});
        dead.id = id;
        dead.peer_address = free_address();
    }
    BOOST_TEST(test.send_request("/once/1").starts_with("HTTP/1.1 200"));
    BOOST_TEST(test.first.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_stream_is_relayed_and_a_broken_off_one_is_not_completed)
{
    cut_off_fixture test;
    test.first.scripts = {{stream_head + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n"},
                          {stream_head + chunk("id: 1\ndata: a\n\n"), true}};
    const std::string whole = test.send_request("/chat/1");
    BOOST_TEST(contains(whole, "data: a"));
    BOOST_TEST(whole.ends_with("0\r\n\r\n"));
    const std::string broken_off = test.send_request("/again/1");
    BOOST_TEST(contains(broken_off, "data: a"));
    BOOST_TEST(!broken_off.ends_with("0\r\n\r\n"));
}

// Guards against a circle of two daemons that are both cut off.
BOOST_AUTO_TEST_CASE(a_request_of_a_peer_is_not_relayed_again)
{
    cut_off_fixture test;
    test.address = free_address();
    test.callers.listen(test.address, peer_roles());
    const std::string response = test.send_request("/once/1");
    BOOST_TEST(response.starts_with("HTTP/1.1 503"));
    BOOST_TEST(contains(response, "not_run"));
    BOOST_TEST(test.first.requests.empty());
}

// Guards against a stream that is lost with the links although a peer can go on with it.
BOOST_AUTO_TEST_CASE(a_resumable_stream_goes_on_at_a_peer_when_the_links_are_lost)
{
    cut_off_fixture test;
    test.context.links.cut_off_since.reset();
    test.second.scripts = {{stream_head + chunk("id: 1\ndata: a\n\n")}};
    test.first.scripts = {{stream_head + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n"}};
    test.context.loop.schedule_after(
        milliseconds(100),
        [&]
        {
            test.context.links.cut_off_since = test.context.loop.now();
            test.context.loop.schedule_after(cut_confirmation_time,
                                             [&] { test.flow.on_links_changed(); });
        });
    const std::string response = test.send_request("/again/1");
    BOOST_TEST(contains(response, "data: a"));
    BOOST_TEST(contains(response, "data: b"));
    BOOST_REQUIRE(test.first.requests.size() == 1U);
    BOOST_TEST(contains(test.first.requests[0], "Last-Event-Id: 1"));
    BOOST_TEST(contains(test.first.requests[0], "Resumes: id-1"));
}

BOOST_AUTO_TEST_SUITE_END()
