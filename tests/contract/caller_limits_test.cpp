// Callers that send more than a daemon can hold, and callers that leave meanwhile.

#include "tests/contract/flow_fixture.hpp"
#include "tests/harness/raw_connection.hpp"

#include <boost/test/unit_test.hpp>

using namespace pollenhaven;
using namespace pollenhaven::contract;

namespace
{

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = 1024 * kilobyte;
// After its caller has left, an endpoint is released within this time (GONE).
constexpr milliseconds release_time{500};

std::string post_request(const std::string& path, std::size_t body_bytes = 0)
{
    return "POST " + path +
           " HTTP/1.1\r\nHost: h\r\nX-Pollenhaven-Request-Id: id-1\r\n"
           "Content-Length: " +
           std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'x');
}

} // namespace

BOOST_AUTO_TEST_SUITE(caller_limits)

// Guards against a daemon whose memory is filled by one caller that sends on while its
// request is in progress.
BOOST_AUTO_TEST_CASE(a_caller_is_read_no_further_while_its_request_is_in_progress)
{
    constexpr std::size_t sent_bytes = 64 * megabyte;
    // What the daemon holds of it and the kernel's buffers on both sides.
    constexpr std::size_t max_accepted_bytes = 16 * megabyte;
    flow_fixture test;
    test.add_endpoint("i-1", "assistant", test.first);
    test.first.scripts = {{stream_head + chunk("id: 1\ndata: a\n\n")}};
    const stream_id caller = test.connect();
    test.context.loop.send(caller, post_request("/chat/1"));
    test.run_until([&] { return contains(test.received, "data: a"); }, seconds(1));
    BOOST_REQUIRE(contains(test.received, "data: a"));
    test.context.loop.send(caller, std::string(sent_bytes, 'x'));
    test.run_until([&] { return test.context.loop.pending_output(caller) == 0; },
                   seconds(1));
    BOOST_TEST(sent_bytes - test.context.loop.pending_output(caller) <
               max_accepted_bytes);
    BOOST_TEST(test.flow.requests_in_flight() == 1U);
}

// Guards against pipelined requests that are lost or stay unread because they were more
// than the daemon reads while a request is in progress.
BOOST_AUTO_TEST_CASE(pipelined_requests_are_answered_after_reading_was_paused)
{
    constexpr int pipelined_requests = 40;
    constexpr std::size_t body_bytes = 32 * kilobyte;
    flow_fixture test;
    test.add_endpoint("i-1", "plain", test.first);
    test.first.scripts = {{""}, {ok_response}};
    const stream_id caller = test.connect();
    test.context.loop.send(caller, post_request("/once/1"));
    test.run_until([&] { return test.first.requests.size() == 1; }, seconds(1));
    for (int request = 0; request < pipelined_requests; ++request)
        test.context.loop.send(caller, post_request("/once/2", body_bytes));
    test.run_until([] { return false; }, milliseconds(100));
    test.context.loop.send(test.first.accepted.at(0),
                           replaced(ok_response, "ID", "id-1"));
    const auto answers = [&]
    {
        std::size_t count = 0;
        for (std::size_t at = test.received.find("fine"); at != std::string::npos;
             at = test.received.find("fine", at + 1))
            ++count;
        return count;
    };
    test.run_until([&] { return answers() == pipelined_requests + 1; }, seconds(3));
    BOOST_TEST(answers() == pipelined_requests + 1U);
}

// Guards against an endpoint that works on for a caller that has left, because the
// caller's close lies behind bytes that the daemon doesn't read (GONE).
BOOST_AUTO_TEST_CASE(a_caller_that_left_is_noticed_behind_unread_bytes)
{
    for (const std::size_t pipelined_bytes : {1 * kilobyte, 66 * kilobyte, 96 * kilobyte})
        for (const bool resets : {false, true})
        {
            BOOST_TEST_CONTEXT(pipelined_bytes << " bytes, " << resets)
            {
                flow_fixture test;
                test.add_endpoint("i-1", "plain", test.first);
                test.first.scripts = {{""}};
                const stream_id caller = test.connect();
                test.context.loop.send(caller, post_request("/once/1"));
                test.run_until([&] { return test.first.requests.size() == 1; },
                               seconds(1));
                test.context.loop.send(caller, std::string(pipelined_bytes, 'x'));
                test.run_until([&]
                               { return test.context.loop.pending_output(caller) == 0; },
                               seconds(1));
                test.run_until([] { return false; }, milliseconds(50));
                BOOST_TEST(test.context.loop.pending_output(caller) == 0U);
                BOOST_TEST(test.flow.requests_in_flight() == 1U);
                if (resets)
                    test.context.loop.reset(caller);
                else
                    test.context.loop.close(caller);
                test.run_until([&] { return test.first.closed_by_daemon == 1; },
                               release_time);
                BOOST_TEST(test.first.closed_by_daemon == 1);
                BOOST_TEST(test.flow.requests_in_flight() == 0U);
            }
        }
}

// Guards against a daemon whose memory is filled by large requests that wait for their
// endpoints, and against small requests that are refused because of them.
BOOST_AUTO_TEST_CASE(large_requests_in_progress_are_bounded_and_small_ones_served)
{
    constexpr std::size_t callers = 20;
    constexpr std::size_t body_bytes = 3 * megabyte;
    // The smallest instance has 160 MB, and a request may be held four times.
    constexpr std::size_t max_total_bytes = 160 * megabyte / 4;
    flow_fixture test;
    test.add_endpoint("i-1", "plain", test.first);
    test.add_endpoint("i-2", "assistant", test.second);
    test.first.scripts = {{""}};
    test.second.scripts = {{stream_head + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n"}};
    test.context.fleet.endpoints.at({"i-1"}).record.slots = callers;
    for (std::size_t caller = 0; caller < callers; ++caller)
        test.context.loop.send(test.connect(), post_request("/once/1", body_bytes));
    const auto refused = [&] { return contains(test.received, "request_bytes"); };
    test.run_until([&] { return test.flow.requests_in_flight() == callers; },
                   milliseconds(1000));
    BOOST_TEST(test.flow.requests_in_flight() * body_bytes <= max_total_bytes);
    BOOST_TEST(refused());
    BOOST_TEST(contains(test.received, "HTTP/1.1 503"));
    BOOST_TEST(contains(test.received, "X-Verdict: not_run"));
    BOOST_TEST(contains(test.received, "Retry-After: "));
    const stream_id small = test.connect();
    test.context.loop.send(small, post_request("/chat/1"));
    test.run_until([&] { return contains(test.received, "data: a"); }, milliseconds(300));
    BOOST_TEST(contains(test.received, "data: a"));
}

// Guards against a daemon whose memory is filled by the responses to one caller that
// sends request after request and reads nothing.
BOOST_AUTO_TEST_CASE(a_caller_that_reads_no_response_gets_no_further_ones)
{
    constexpr std::size_t response_bytes = megabyte;
    constexpr int requests = 100;
    // What the kernel's buffers hold on both sides, and the daemon itself.
    constexpr int max_responses = 16;
    flow_fixture test;
    int responses = 0;
    std::optional<http_server> server;
    server.emplace(
        test.context,
        [&](stream_id caller, const http_head&, const std::string&)
        {
            ++responses;
            server->send_response(caller, 200, "", std::string(response_bytes, 'x'));
        },
        [](stream_id) {});
    test.address = free_address();
    server->listen(test.address, caller_roles());
    const stream_id caller = test.connect();
    test.context.loop.pause_reading(caller);
    for (int request = 0; request < requests; ++request)
        test.context.loop.send(caller, post_request("/"));
    test.run_until([&] { return responses == requests; }, milliseconds(500));
    BOOST_TEST(responses <= max_responses);
    // Once the caller reads, all of its requests are answered.
    test.context.loop.resume_reading(caller);
    test.run_until([&] { return test.received.size() > requests * response_bytes; },
                   seconds(5));
    BOOST_TEST(responses == requests);
    BOOST_TEST(test.received.size() > requests * response_bytes);
}

// Guards against a request that runs although its caller gave up before the daemon read
// it, as callers of a busy daemon do (GONE).
BOOST_AUTO_TEST_CASE(a_request_whose_caller_has_left_is_not_passed_on)
{
    flow_fixture test;
    test.add_endpoint("i-1", "plain", test.first);
    test.first.scripts = {
        {make_response("200 OK", signature_field + "Keep-Alive: timeout=5\r\n", "fine")}};
    // There is a connection to the endpoint on which a request is sent at once.
    test.send_request("/once/1");
    BOOST_REQUIRE(test.first.requests.size() == 1U);
    {
        harness::raw_connection caller(test.address.value);
        caller.send(post_request("/once/2"), seconds(1));
    }
    test.run_until([] { return false; }, milliseconds(300));
    BOOST_TEST(test.first.requests.size() == 1U);
    BOOST_TEST(test.flow.requests_in_flight() == 0U);
}

// Guards against a caller that shuts its sending side after its request and then gets no
// response at all, although it reads on. Each row has what the daemon has done by then.
// The request ends in any case, since nothing tells such a caller from one that has left.
BOOST_AUTO_TEST_CASE(
    a_caller_that_shuts_its_sending_side_learns_what_became_of_its_request)
{
    struct shut_case
    {
        const char* case_name;
        bool has_endpoint;
        std::size_t pipelined_bytes;
        const char* status;
        const char* verdict_line;
    };
    for (const shut_case& row :
         {shut_case{"sent", true, 0, "HTTP/1.1 502", "X-Verdict: may_have_run\r\n"},
          shut_case{"sent, unread bytes", true, 96 * kilobyte, "HTTP/1.1 502",
                    "X-Verdict: may_have_run\r\n"},
          shut_case{"waits", false, 0, "HTTP/1.1 503", "X-Verdict: not_run\r\n"}})
    {
        BOOST_TEST_CONTEXT(row.case_name)
        {
            flow_fixture test;
            if (row.has_endpoint)
                test.add_endpoint("i-1", "plain", test.first);
            test.first.scripts = {{""}};
            harness::raw_connection caller(test.address.value);
            caller.send(post_request("/once/1"), seconds(1));
            test.run_until(
                [&]
                {
                    return test.first.requests.size() == 1 ||
                           (!row.has_endpoint && test.flow.requests_in_flight() == 1);
                },
                seconds(1));
            caller.send(std::string(row.pipelined_bytes, 'x'), seconds(1));
            caller.shut_sending_side();
            test.run_until([&] { return test.flow.requests_in_flight() == 0; },
                           release_time);
            BOOST_TEST(test.flow.requests_in_flight() == 0U);
            test.run_until([] { return false; }, milliseconds(50));
            BOOST_TEST(test.first.closed_by_daemon == (row.has_endpoint ? 1 : 0));
            const std::string response = caller.read_until("}}", seconds(1));
            BOOST_TEST(response.starts_with(row.status), response);
            BOOST_TEST(contains(response, row.verdict_line));
            BOOST_TEST(contains(response, "caller_left"));
        }
    }
}

// Guards against a response that is cut off because its caller shut its sending side
// while the rest of it was on the way.
BOOST_AUTO_TEST_CASE(a_response_that_is_being_sent_survives_the_end_of_the_input)
{
    constexpr std::size_t response_bytes = 20 * megabyte;
    flow_fixture test;
    std::optional<http_server> server;
    server.emplace(
        test.context,
        [&](stream_id caller, const http_head&, const std::string&)
        { server->send_response(caller, 200, "", std::string(response_bytes, 'x')); },
        [](stream_id) {});
    test.address = free_address();
    server->listen(test.address, caller_roles());
    harness::raw_connection caller(test.address.value);
    caller.send(post_request("/"), seconds(1));
    test.run_until([] { return false; }, milliseconds(100));
    caller.shut_sending_side();
    const instant limit = boot_clock::now() + seconds(3);
    std::size_t received = 0;
    while (received < response_bytes && boot_clock::now() < limit)
    {
        test.run_until([] { return false; }, milliseconds(1));
        received = caller.read_until("none", milliseconds(1)).size();
    }
    BOOST_TEST(received > response_bytes);
}

BOOST_AUTO_TEST_SUITE_END()
