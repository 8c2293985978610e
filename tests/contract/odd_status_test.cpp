// Responses whose status codes HTTP doesn't have.

#include "servers/gateway/http_client.hpp"
#include "tests/contract/flow_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace pollenhaven;
using namespace pollenhaven::contract;

namespace
{

const std::vector<std::string> odd_statuses{"000", "001", "099", "600", "700", "999"};

std::string odd_response(const std::string& status, bool has_signature)
{
    return make_response(status + " Odd", has_signature ? signature_field : "", "odd");
}

} // namespace

BOOST_AUTO_TEST_SUITE(odd_statuses_of_responses)

// Guards against a caller that gets an odd status of a faulty endpoint as an answer
// (MIXED), and against one that waits for its deadline because a status below 100 is
// taken for that of an interim response.
BOOST_AUTO_TEST_CASE(a_response_with_an_odd_status_is_no_answer)
{
    for (const std::string& status : odd_statuses)
        for (const bool has_signature : {true, false})
            for (const char* const path : {"/once/1", "/look/1", "/chat/1", "/again/1"})
            {
                flow_fixture test;
                test.time_limit = milliseconds(900);
                for (const char* const service : {"plain", "assistant"})
                    test.add_endpoint(std::string("i-") + service, service, test.first);
                test.first.scripts = {{odd_response(status, has_signature)}};
                const std::string response = test.send_request(path);
                BOOST_TEST(response.starts_with("HTTP/1.1 502"),
                           status << " at " << path << ": '" << response << "'");
                BOOST_TEST(contains(response, "may_have_run"));
                BOOST_TEST(!contains(response, "odd"));
            }
}

// Guards against an odd status that ends a request which another endpoint can serve.
BOOST_AUTO_TEST_CASE(a_request_that_may_be_repeated_is_served_by_another_endpoint)
{
    for (const std::string& status : odd_statuses)
    {
        flow_fixture test;
        test.add_endpoints("plain");
        test.first.scripts = {{odd_response(status, true)}};
        test.second.scripts = {{ok_response}};
        const std::string response = test.send_request("/look/1");
        BOOST_TEST(response.starts_with("HTTP/1.1 200"), status << ": " << response);
    }
}

// Guards against an odd status behind an interim response.
BOOST_AUTO_TEST_CASE(an_odd_status_after_an_interim_response_is_no_answer)
{
    flow_fixture test;
    test.time_limit = milliseconds(900);
    test.add_endpoint("i-1", "plain", test.first);
    test.first.scripts = {{"HTTP/1.1 100 Continue\r\n\r\n" + odd_response("700", true)}};
    const std::string response = test.send_request("/once/1");
    BOOST_TEST(response.starts_with("HTTP/1.1 502"), response);
}

// Guards against an odd status that is taken for an answer of the store, of an engine's
// report or of its orders, which all come through this client.
BOOST_AUTO_TEST_CASE(a_call_that_is_answered_with_an_odd_status_has_no_response)
{
    for (const std::string& status : odd_statuses)
    {
        event_loop loop;
        scripted_endpoint endpoint(loop);
        endpoint.scripts = {{odd_response(status, true)}};
        http_client client(loop, endpoint.address);
        std::optional<http_result> result;
        client.call("GET / HTTP/1.1\r\nHost: h\r\n\r\n", milliseconds(900),
                    [&](const http_result& answered) { result = answered; });
        loop.run([&] { return result.has_value(); });
        BOOST_TEST(!result->has_response, status);
        BOOST_TEST(!result->not_sent, status);
    }
}

BOOST_AUTO_TEST_SUITE_END()
