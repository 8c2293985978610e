#include "tests/contract/flow_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <sys/socket.h>

using namespace pollenhaven;
using namespace pollenhaven::contract;

BOOST_AUTO_TEST_SUITE(fleet_flow)

// Each row has the response of the preferred endpoint, the status that the caller
// receives, and the number of requests that each endpoint gets. The second endpoint
// always succeeds.
BOOST_AUTO_TEST_CASE(responses_of_plain_endpoints_determine_status_and_retries)
{
    struct service_response_case
    {
        const char* case_name;
        const char* path;
        endpoint_script script;
        const char* status;
        std::size_t first_requests;
        std::size_t second_requests;
    };
    const std::vector<service_response_case> rows{
        {"complete response", "/once/1", {ok_response}, "200", 1, 0},
        {"not executed, retried on the other endpoint",
         "/once/1",
         {not_executed_response},
         "200",
         1,
         1},
        {"no response, may have run", "/once/1", {"", true}, "502", 1, 0},
        {"no response, idempotent", "/look/1", {"", true}, "200", 1, 1},
        {"truncated response",
         "/once/1",
         {"HTTP/1.1 200 OK\r\nX-Pollenhaven-Request-Id: ID\r\n" + signature_field +
              "Content-Length: 9\r\n\r\nfi",
          true},
         "502",
         1,
         0},
        {"truncated response, idempotent",
         "/look/1",
         {"HTTP/1.1 200 OK\r\nX-Pollenhaven-Request-Id: ID\r\n" + signature_field +
              "Content-Length: 9\r\n\r\nfi",
          true},
         "200",
         1,
         1},
        {"no length, orderly shutdown",
         "/once/1",
         {"HTTP/1.1 200 OK\r\nX-Pollenhaven-Request-Id: ID\r\n" + signature_field +
              "\r\nfine",
          true},
         "200",
         1,
         0},
        {"no length, reset",
         "/once/1",
         {"HTTP/1.1 200 OK\r\nX-Pollenhaven-Request-Id: ID\r\n" + signature_field +
              "\r\nfine",
          false, true},
         "502",
         1,
         0},
        {"preceded by the response to another request",
         "/once/1",
         {replaced(ok_response, "ID", "other") + ok_response},
         "200",
         1,
         0},
        {"success without signature",
         "/once/1",
         {make_response("200 OK", "", "odd")},
         "502",
         1,
         0},
        {"not HTTP", "/once/1", {"\x01\x02 odd bytes\r\n\r\n"}, "502", 1, 0},
        {"unknown transfer coding",
         "/once/1",
         {"HTTP/1.1 200 OK\r\nX-Pollenhaven-Request-Id: ID\r\n" + signature_field +
              "Transfer-Encoding: xchunked\r\n\r\nfine",
          true},
         "502",
         1,
         0},
        {"transfer coding beside a length",
         "/once/1",
         {"HTTP/1.1 200 OK\r\nX-Pollenhaven-Request-Id: ID\r\n" + signature_field +
          "Transfer-Encoding: identity\r\nContent-Length: 4\r\n\r\nfine"},
         "502",
         1,
         0},
        {"interim response with a transfer coding",
         "/once/1",
         {"HTTP/1.1 103 Early\r\nTransfer-Encoding: identity\r\n\r\n" + ok_response},
         "502",
         1,
         0},
        {"failure is forwarded",
         "/once/1",
         {make_response("500 Error", signature_field, "bad")},
         "500",
         1,
         0},
        {"failure, idempotent",
         "/look/1",
         {make_response("500 Error", signature_field, "bad")},
         "200",
         1,
         1},
        {"another instance at the address",
         "/once/1",
         {make_response("421 Misdirected", "X-Pollenhaven-Instance-Id: i-9\r\n", "")},
         "200",
         1,
         1}};
    for (const service_response_case& row : rows)
    {
        flow_fixture test;
        test.add_endpoints("plain");
        test.first.scripts = {row.script};
        test.second.scripts = {{ok_response}};
        const std::string response = test.send_request(row.path);
        BOOST_TEST(response.starts_with(std::string("HTTP/1.1 ") + row.status),
                   row.case_name << ": " << response);
        BOOST_TEST(test.first.requests.size() == row.first_requests, row.case_name);
        BOOST_TEST(test.second.requests.size() == row.second_requests, row.case_name);
        if (std::string(row.status) == "200")
        {
            BOOST_TEST(contains(response, "fine"), row.case_name);
            BOOST_TEST(contains(response, "Server-Signature"), row.case_name);
        }
    }
}

// Guards against callers who send a booking again because an endpoint that ran it
// answered with a status that promises the opposite (REFUSED, bookings made twice).
BOOST_AUTO_TEST_CASE(
    a_status_that_promises_what_its_endpoint_does_not_state_is_not_passed_on)
{
    for (const std::string status : {"503 Unavailable", "429 Many", "408 Timeout"})
        for (const std::string& signature : {signature_field, std::string()})
        {
            const std::string answer =
                make_response(status, signature + "Retry-After: 0.1\r\n", "ran");
            for (const std::string path : {"/once/1", "/chat/1"})
            {
                flow_fixture test;
                test.add_endpoints(path == "/chat/1" ? "assistant" : "plain");
                test.first.scripts = {{answer}};
                test.second.scripts = {{ok_response}};
                const std::string response = test.send_request(path);
                BOOST_TEST(response.starts_with("HTTP/1.1 502"), status << response);
                BOOST_TEST(contains(response, "may_have_run"), status);
                BOOST_TEST(!contains(response, "Server-Signature"), status);
                BOOST_TEST(test.second.requests.empty(), status);
            }
            flow_fixture repeated;
            repeated.add_endpoints("plain");
            repeated.first.scripts = {{answer}};
            repeated.second.scripts = {{ok_response}};
            BOOST_TEST(repeated.send_request("/look/1").starts_with("HTTP/1.1 200"),
                       status);
        }
}

// As above, for a stream that its caller resumes and for one that has begun.
BOOST_AUTO_TEST_CASE(a_resumed_stream_does_not_end_with_a_promise_that_nothing_ran)
{
    const std::string answer = make_response("503 Unavailable", signature_field, "ran");
    flow_fixture test;
    test.add_endpoints("assistant");
    test.first.scripts = {{answer}};
    test.second.scripts = {{answer}};
    BOOST_TEST(test.send_request("/again/1", "Last-Event-Id: 3\r\nResumes: id-0\r\n")
                   .starts_with("HTTP/1.1 502"));
    flow_fixture begun;
    begun.add_endpoints("assistant");
    begun.first.scripts = {{stream_head + chunk("id: 1\ndata: a\n\n"), true}};
    begun.second.scripts = {{answer}};
    const std::string response = begun.send_request("/again/1");
    BOOST_TEST(contains(response, "data: a"));
    BOOST_TEST(!contains(response, "503"));
    BOOST_TEST(!response.ends_with("0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(a_connection_with_unexpected_bytes_is_not_reused)
{
    for (const std::string& bytes : {ok_response, ok_response + "HTTP/1.1 200 OK\r\n"})
    {
        flow_fixture test;
        test.add_endpoint("i-1", "plain", test.first);
        test.first.scripts = {{bytes}, {ok_response}};
        test.send_request("/once/1");
        test.send_request("/once/2");
        BOOST_TEST(test.first.requests.size() == 2U);
        BOOST_TEST(test.first.connections == (bytes == ok_response ? 1 : 2));
    }
}

BOOST_AUTO_TEST_CASE(a_request_is_retried_when_its_endpoint_refuses_the_connection)
{
    flow_fixture test;
    test.add_endpoints("plain");
    test.context.fleet.endpoints.at({"i-1"}).record.address = free_address();
    test.second.scripts = {{ok_response}};
    const std::string response = test.send_request("/once/1");
    BOOST_TEST(response.starts_with("HTTP/1.1 200"));
    BOOST_TEST(!accepts_requests(test.context.fleet.endpoints.at({"i-1"}),
                                 test.context.loop.now()));
}

BOOST_AUTO_TEST_CASE(an_interrupted_stream_ends_without_its_last_chunk)
{
    flow_fixture test;
    test.add_endpoint("i-1", "assistant", test.first);
    test.first.scripts = {{stream_head + chunk("id: 1\ndata: a\n\n"), true}};
    const std::string response = test.send_request("/chat/1");
    BOOST_TEST(contains(response, "data: a"));
    BOOST_TEST(!contains(response, "0\r\n\r\n"));
    BOOST_TEST(test.ended);
}

BOOST_AUTO_TEST_CASE(a_resumable_stream_is_resumed_after_its_last_complete_event)
{
    flow_fixture test;
    test.add_endpoints("assistant");
    test.first.scripts = {
        {stream_head + chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"), true}};
    test.second.scripts = {{stream_head + chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n"}};
    const std::string response = test.send_request("/again/1");
    BOOST_REQUIRE(test.second.requests.size() == 1U);
    BOOST_TEST(contains(test.second.requests[0], "Last-Event-Id: 2"));
    BOOST_TEST(contains(response, "data: c"));
    BOOST_TEST(contains(response, "0\r\n\r\n"));
    // The incomplete event of the first endpoint isn't forwarded.
    BOOST_TEST(!contains(response, "id: 3\nda\r\n"));
    BOOST_TEST(response.find("HTTP/1.1") == response.rfind("HTTP/1.1"));
}

// Guards against one answer with events of two software versions, after an engine has
// crashed in the middle of a stream (ORDER).
BOOST_AUTO_TEST_CASE(a_stream_is_not_resumed_at_an_engine_of_another_software_version)
{
    flow_fixture test;
    test.add_endpoints("assistant");
    test.context.fleet.endpoints.at({"i-1"}).record.software = {"v1"};
    test.context.fleet.endpoints.at({"i-2"}).record.software = {"v2"};
    test.context.fleet.base_versions[{"assistant"}].version = {"v1"};
    test.first.scripts = {{stream_head + chunk("id: 1\ndata: a\n\n"), true}};
    test.second.scripts = {{stream_head + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n"}};
    const std::string response = test.send_request("/again/1");
    BOOST_TEST(contains(response, "data: a"));
    BOOST_TEST(test.second.requests.empty());
    BOOST_TEST(!response.ends_with("0\r\n\r\n"));
}

// Guards against the text of an error in the middle of a stream, and against a stream
// that hangs because the error doesn't end (ORDER, MIXED).
BOOST_AUTO_TEST_CASE(a_failure_does_not_continue_a_stream_and_ends_it_at_once)
{
    flow_fixture test;
    test.add_endpoints("assistant");
    test.first.scripts = {{stream_head + chunk("id: 1\ndata: a\n\n"), true}};
    test.second.scripts = {{"HTTP/1.1 500 Failed\r\nX-Pollenhaven-Request-Id: ID\r\n" +
                            signature_field + "Content-Length: 900\r\n\r\nno adapter"}};
    const instant began = boot_clock::now();
    const std::string response = test.send_request("/again/1");
    BOOST_TEST(contains(response, "data: a"));
    BOOST_TEST(!contains(response, "no adapter"));
    BOOST_TEST(!response.ends_with("0\r\n\r\n"));
    BOOST_TEST((boot_clock::now() - began < milliseconds(1000)));
}

// As above, with an answer that says success and is no stream.
BOOST_AUTO_TEST_CASE(a_success_that_is_no_event_stream_does_not_continue_a_stream)
{
    flow_fixture test;
    test.add_endpoints("assistant");
    test.first.scripts = {{stream_head + chunk("id: 1\ndata: a\n\n"), true}};
    test.second.scripts = {
        {make_response("200 OK", signature_field + "Content-Type: application/json\r\n",
                       "{\"error\":\"no adapter\"}")}};
    const std::string response = test.send_request("/again/1");
    BOOST_TEST(contains(response, "data: a"));
    BOOST_TEST(!contains(response, "no adapter"));
    BOOST_TEST(!response.ends_with("0\r\n\r\n"));
}

// Guards against requests at an endpoint that has stated in a response that it shuts down
// and whose store entry doesn't say so yet (DRAIN).
BOOST_AUTO_TEST_CASE(an_endpoint_whose_response_says_that_it_leaves_gets_nothing_more)
{
    flow_fixture test;
    test.add_endpoints("plain");
    test.first.scripts = {{make_response(
        "200 OK", signature_field + "Server-Leaving: 1\r\nKeep-Alive: timeout=10\r\n",
        "fine")}};
    test.second.scripts = {{ok_response}};
    BOOST_TEST(test.send_request("/once/1").starts_with("HTTP/1.1 200"));
    BOOST_TEST(test.send_request("/once/1").starts_with("HTTP/1.1 200"));
    BOOST_TEST(test.first.requests.size() == 1U);
    BOOST_TEST(test.second.requests.size() == 1U);
    BOOST_TEST(test.first.closed_by_daemon == 1);
}

// Guards against requests at an endpoint that has asked this daemon to wait (BUDGET), and
// against keeping callers waiting who can't be served in time.
BOOST_AUTO_TEST_CASE(an_endpoint_that_refuses_with_a_delay_gets_nothing_until_then)
{
    flow_fixture test;
    test.add_endpoint("i-1", "plain", test.first);
    test.first.scripts = {
        {replaced(not_executed_response, "Content-", "Retry-After: 1.2\r\nContent-")},
        {ok_response}};
    const instant began = boot_clock::now();
    const std::string refused = test.send_request("/once/1");
    BOOST_TEST(refused.starts_with("HTTP/1.1 503"));
    BOOST_TEST((boot_clock::now() - began < milliseconds(500)));
    BOOST_TEST(!contains(refused, "Retry-After: 0."));
    BOOST_TEST(test.first.requests.size() == 1U);
    test.run_until([] { return false; }, milliseconds(1200));
    BOOST_TEST(test.send_request("/once/1").starts_with("HTTP/1.1 200"));
}

// Guards against an earlier refusal, written once more, that is taken for the answer to a
// request which runs (REFUSED, TWICE).
BOOST_AUTO_TEST_CASE(a_refusal_without_an_id_on_a_kept_connection_is_not_trusted)
{
    flow_fixture test;
    test.add_endpoints("plain");
    const std::string kept =
        make_response("200 OK", signature_field + "Keep-Alive: timeout=10\r\n", "fine");
    test.first.scripts = {
        {kept},
        {replaced(not_executed_response, "X-Pollenhaven-Request-Id: ID\r\n", "")}};
    test.second.scripts = {{ok_response}};
    BOOST_TEST(test.send_request("/once/1").starts_with("HTTP/1.1 200"));
    BOOST_TEST(test.first.connections == 1);
    const std::string response = test.send_request("/once/1");
    BOOST_TEST(test.first.requests.size() == 2U);
    BOOST_TEST(response.starts_with("HTTP/1.1 502"));
    BOOST_TEST(contains(response, "may_have_run"));
    BOOST_TEST(test.second.requests.empty());
}

// As above: both sends of a request have its id, so the second one goes over a connection
// on which nothing of the first one can come.
BOOST_AUTO_TEST_CASE(a_refused_request_is_sent_again_on_a_new_connection)
{
    flow_fixture test;
    test.add_endpoints("plain");
    const std::string kept =
        make_response("200 OK", signature_field + "Keep-Alive: timeout=10\r\n", "fine");
    test.first.scripts = {{not_executed_response}};
    test.second.scripts = {{kept}};
    test.context.fleet.endpoints.at({"i-1"}).draining = true;
    BOOST_TEST(test.send_request("/once/1").starts_with("HTTP/1.1 200"));
    test.context.fleet.endpoints.at({"i-1"}).draining = false;
    BOOST_TEST(test.send_request("/once/1").starts_with("HTTP/1.1 200"));
    BOOST_TEST(test.first.requests.size() == 1U);
    BOOST_TEST(test.second.requests.size() == 2U);
    BOOST_TEST(test.second.connections == 2);
}

BOOST_AUTO_TEST_CASE(a_request_that_waits_for_its_adapter_requests_one_load)
{
    flow_fixture test;
    test.add_endpoint("i-1", "assistant", test.first);
    endpoint_view& view = test.context.fleet.endpoints.at({"i-1"});
    view.record.inventory.models = {{"base"}};
    view.holder = {"daemon"};
    test.first.scripts = {{stream_head + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n"}};
    test.context.loop.schedule_after(
        milliseconds(60),
        [&]
        {
            view.adapters[{"base/a1"}] = {{1}, test.context.loop.now(), {}, 0, false};
            test.flow.dispatch_waiting();
        });
    const std::string response =
        test.send_request("/chat/1", "X-Pollenhaven-Model: base/a1\r\n");
    BOOST_TEST(response.starts_with("HTTP/1.1 200"));
    BOOST_TEST(test.load_requests.size() == 1U);
    BOOST_TEST(test.first.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_that_no_engine_can_serve_is_refused_with_retry_after)
{
    flow_fixture test;
    const instant start = boot_clock::now();
    const std::string response =
        test.send_request("/chat/1", "X-Pollenhaven-Model: base/a1\r\n");
    BOOST_TEST(response.starts_with("HTTP/1.1 503"));
    BOOST_TEST(contains(response, "Retry-After: "));
    // The refusal comes well before the route's timeout of 1500 ms.
    BOOST_TEST((boot_clock::now() - start < milliseconds(1000)));
}

BOOST_AUTO_TEST_CASE(a_request_without_a_response_fails_at_its_deadline)
{
    flow_fixture test;
    test.add_endpoint("i-1", "plain", test.first);
    test.first.scripts = {{""}};
    const std::string response =
        test.send_request("/once/1", "X-Pollenhaven-Deadline-Ms: 300\r\n");
    BOOST_TEST(response.starts_with("HTTP/1.1 504"));
}

BOOST_AUTO_TEST_CASE(
    requests_without_a_route_a_valid_deadline_or_a_configuration_are_rejected)
{
    flow_fixture test;
    BOOST_TEST(test.send_request("/none/").starts_with("HTTP/1.1 404"));
    BOOST_TEST(test.send_request("/once/1", "X-Pollenhaven-Deadline-Ms: soon\r\n")
                   .starts_with("HTTP/1.1 400"));
    test.context.routing = nullptr;
    BOOST_TEST(test.send_request("/none/").starts_with("HTTP/1.1 503"));
}

BOOST_AUTO_TEST_CASE(a_disconnect_of_the_caller_cancels_its_request)
{
    flow_fixture test;
    test.add_endpoint("i-1", "plain", test.first);
    test.first.scripts = {{""}};
    const stream_id caller = test.connect();
    test.context.loop.send(caller, "POST /once/1 HTTP/1.1\r\nHost: h\r\n"
                                   "X-Pollenhaven-Request-Id: id-1\r\n"
                                   "Content-Length: 0\r\n\r\n");
    test.run_until([&] { return test.first.requests.size() == 1; }, seconds(1));
    test.context.loop.close(caller);
    test.run_until([&] { return test.first.closed_by_daemon == 1; }, milliseconds(300));
    BOOST_TEST(test.first.closed_by_daemon == 1);
    BOOST_TEST(test.disconnected_callers == 1);
    BOOST_TEST(test.flow.requests_in_flight() == 0U);
}

// Regression test for a fault seen at both sites: when the daemon itself holds the
// engine, a load request announces the new inventory while the request that needs it is
// still being dispatched, and the announcement dispatched that request a second time.
BOOST_AUTO_TEST_CASE(a_request_is_sent_once_when_its_load_request_triggers_a_dispatch)
{
    flow_fixture test;
    test.add_endpoint("i-1", "assistant", test.first);
    endpoint_view& view = test.context.fleet.endpoints.at({"i-1"});
    view.record.inventory.models = {{"base"}};
    view.holder = {"daemon"};
    view.adapters[{"base/a1"}] = {{1}, test.context.loop.now(), {}, 0, true};
    // The engine is so busy that a replica of the adapter is requested on another engine.
    view.record.slots = 16;
    view.in_flight = 12;
    view.in_flight_by_adapter[{"base/a1"}] = 12;
    test.add_endpoint("i-2", "assistant", test.second);
    endpoint_view& other = test.context.fleet.endpoints.at({"i-2"});
    other.record.inventory.models = {{"base"}};
    other.holder = {"daemon"};
    test.first.scripts = {{stream_head + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n"}};
    test.second.scripts = test.first.scripts;
    test.on_load_request = [&] { test.flow.dispatch_waiting(); };
    test.send_request("/chat/1", "X-Pollenhaven-Model: base/a1\r\n");
    BOOST_TEST(test.load_requests.size() == 1U);
    BOOST_TEST(test.first.requests.size() + test.second.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(requests_on_one_connection_are_answered_in_order)
{
    flow_fixture test;
    test.add_endpoint("i-1", "plain", test.first);
    test.first.scripts = {{make_response("200 OK", signature_field, "one")},
                          {make_response("200 OK", signature_field, "two")}};
    const stream_id caller = test.connect();
    const std::string request = "POST /once/1 HTTP/1.1\r\nHost: h\r\n"
                                "X-Pollenhaven-Request-Id: id-1\r\n"
                                "Content-Length: 0\r\n\r\n";
    test.context.loop.send(caller, request + request);
    test.run_until([&] { return contains(test.received, "two"); }, seconds(2));
    BOOST_TEST(test.received.find("one") < test.received.find("two"));
}

BOOST_AUTO_TEST_CASE(a_slow_request_head_gets_408_and_an_idle_connection_is_closed)
{
    flow_fixture test;
    routing_table table = *test.context.routing;
    table.limits.header_timeout = milliseconds(50);
    table.limits.idle_timeout = milliseconds(50);
    test.context.routing = std::make_shared<const routing_table>(table);
    const stream_id caller = test.connect();
    test.context.loop.send(caller, "POST /once/1 HT");
    test.run_until([] { return false; }, milliseconds(120));
    test.callers.close_idle(false);
    test.run_until([&] { return test.ended; }, milliseconds(200));
    BOOST_TEST(test.received.starts_with("HTTP/1.1 408"));
    test.ended = false;
    test.connect();
    test.run_until([] { return false; }, milliseconds(120));
    test.callers.close_idle(false);
    test.run_until([&] { return test.ended; }, milliseconds(200));
    BOOST_TEST(test.ended);
}

// Guards against a daemon that runs out of memory, or a request that is held to its
// deadline, because an endpoint sends bytes that are no response without end. Each row
// has the beginning of the response and what follows without end.
BOOST_AUTO_TEST_CASE(
    endless_bytes_from_an_endpoint_end_the_request_in_bounded_time_and_space)
{
    struct endless_case
    {
        const char* case_name;
        const char* path;
        const char* service;
        std::string begin;
        std::string repeated;
        const char* status;
    };
    // A quarter of the memory of a small instance, of which the kernel's buffers between
    // two local sockets take a good part.
    constexpr std::size_t max_bytes = 40'000'000;
    constexpr milliseconds max_time{1000};
    const std::string plain_head =
        "HTTP/1.1 200 OK\r\nX-Pollenhaven-Request-Id: ID\r\n" + signature_field;
    const std::vector<endless_case> rows{
        {"header fields", "/once/1", "plain", "HTTP/1.1 200 OK\r\n", "A: b\r\n", "502"},
        {"one header field", "/once/1", "plain", "HTTP/1.1 200 OK\r\nA: ", "b", "502"},
        {"no head", "/once/1", "plain", "", "odd", "502"},
        {"interim responses", "/once/1", "plain", "", "HTTP/1.1 100 Continue\r\n\r\n",
         "502"},
        {"responses to other requests", "/once/1", "plain", "",
         make_response("200 OK", signature_field, "other"), "502"},
        {"body without length", "/once/1", "plain", plain_head + "\r\n", "body", "502"},
        {"chunks", "/once/1", "plain", plain_head + "Transfer-Encoding: chunked\r\n\r\n",
         "4\r\nbody\r\n", "502"},
        {"chunk extension", "/once/1", "plain",
         plain_head + "Transfer-Encoding: chunked\r\n\r\n4;", "a", "502"},
        {"trailer fields", "/once/1", "plain",
         plain_head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", "502"},
        {"a body after a failure", "/chat/1", "assistant",
         "HTTP/1.1 500 Error\r\nX-Pollenhaven-Request-Id: ID\r\n" + signature_field +
             "\r\n",
         "body", "502"},
        {"an event without end", "/again/1", "assistant", stream_head, "4\r\nbody\r\n",
         "200"},
        {"a header field of a stream", "/chat/1", "assistant",
         "HTTP/1.1 200 OK\r\nA: ", "b", "502"}};
    for (const endless_case& row : rows)
    {
        BOOST_TEST_CONTEXT(row.case_name)
        {
            flow_fixture test;
            test.add_endpoint("i-1", row.service, test.first);
            test.first.scripts = {{row.begin, false, false, false, row.repeated}};
            const instant began = boot_clock::now();
            const std::string response = test.send_request(row.path);
            BOOST_TEST(to_milliseconds(boot_clock::now() - began).count() <
                       max_time.count());
            BOOST_TEST(response.starts_with("HTTP/1.1 " + std::string(row.status)));
            BOOST_TEST(!response.ends_with("0\r\n\r\n"));
            BOOST_TEST(test.first.repeated_bytes <= max_bytes);
            BOOST_TEST(test.first.closed_by_daemon >= 1);
        }
    }
}

// Guards against a daemon that runs out of memory because a faulty endpoint answers many
// requests with endless bytes at once, and with it the requests of all others (LOST).
BOOST_AUTO_TEST_CASE(
    endless_bytes_in_many_responses_stay_within_the_memory_of_the_instance)
{
    constexpr int callers = 50;
    constexpr int bytes_per_mb = 1 << 20;
    struct endless_case
    {
        const char* path;
        const char* status;
        const char* expected;
    };
    for (const endless_case& row :
         std::vector<endless_case>{{"/look/1", "200 OK", "HTTP/1.1 200"},
                                   {"/once/1", "500 Error", "HTTP/1.1 502"}})
    {
        flow_fixture test;
        test.context.settings.memory_mb = 160;
        test.add_endpoints("plain");
        for (auto& [id, view] : test.context.fleet.endpoints)
            view.record.slots = callers;
        test.first.scripts = {{"HTTP/1.1 " + std::string(row.status) +
                                   "\r\nX-Pollenhaven-Request-Id: ID\r\n" +
                                   signature_field + "\r\n",
                               false, false, false, "body"}};
        test.second.scripts = {{ok_response}};
        std::map<std::uint64_t, std::string> responses;
        for (int number = 0; number < callers; ++number)
        {
            stream_handlers handlers;
            handlers.readable = [&](stream_id id)
            { responses[id.value] += std::exchange(test.context.loop.input(id), ""); };
            const stream_id caller = test.context.loop.connect(test.address, handlers);
            test.context.loop.send(
                caller, "POST " + std::string(row.path) +
                            " HTTP/1.1\r\nHost: h\r\nX-Pollenhaven-Request-Id: id-" +
                            std::to_string(number) + "\r\nContent-Length: 4\r\n\r\nbody");
        }
        std::size_t most_held = 0;
        test.run_until(
            [&]
            {
                most_held = std::max(most_held, test.flow.held_response_bytes());
                return responses.size() == callers;
            },
            seconds(2));
        BOOST_TEST(test.first.requests.size() >= callers / 2);
        BOOST_TEST(most_held <= 16 * bytes_per_mb, most_held);
        // Those that the other endpoint got are served.
        int answered = 0;
        for (const auto& [id, response] : responses)
            answered +=
                response.starts_with(row.expected) || response.starts_with("HTTP/1.1 200")
                    ? 1
                    : 0;
        BOOST_TEST(answered == callers, row.path << ": " << answered << " answered");
    }
}

// Guards against a daemon that runs out of memory because an endpoint sends a stream
// faster than its caller reads it, here without end.
BOOST_AUTO_TEST_CASE(a_stream_is_read_no_faster_than_its_caller_reads_it)
{
    // As above.
    constexpr std::size_t max_bytes = 40'000'000;
    flow_fixture test;
    test.add_endpoint("i-1", "assistant", test.first);
    test.first.scripts = {
        {stream_head, false, false, false, chunk("id: 1\ndata: a\n\n")}};
    // This caller never reads.
    const file_descriptor caller = connect_to(test.address);
    test.run_until([] { return false; }, milliseconds(50));
    const std::string request = "POST /chat/1 HTTP/1.1\r\nHost: h\r\n"
                                "X-Pollenhaven-Request-Id: id-1\r\n"
                                "Content-Length: 0\r\n\r\n";
    BOOST_REQUIRE(::send(caller.number(), request.data(), request.size(), 0) ==
                  static_cast<ssize_t>(request.size()));
    test.run_until([] { return false; }, milliseconds(1200));
    BOOST_TEST(test.first.requests.size() == 1U);
    BOOST_TEST(test.first.repeated_bytes <= max_bytes);
    // The request still ends at its deadline.
    test.run_until([&] { return test.flow.requests_in_flight() == 0; },
                   milliseconds(1000));
    BOOST_TEST(test.flow.requests_in_flight() == 0U);
    test.run_until([&] { return test.first.closed_by_daemon > 0; }, milliseconds(200));
    BOOST_TEST(test.first.closed_by_daemon >= 1);
}

// Guards against a stream that hangs until its caller gives up: connections go silent
// together, the one that carries it and the idle one at the engine that could resume it.
BOOST_AUTO_TEST_CASE(a_silent_stream_is_resumed_on_a_connection_that_was_not_open_before)
{
    flow_fixture test;
    test.add_endpoints("assistant");
    routing_table table = *test.context.routing;
    for (route& changed : table.routes)
        changed.timeout = milliseconds(4000);
    test.context.routing = std::make_shared<const routing_table>(table);
    // Leaves an idle connection to the second endpoint.
    const std::string kept_head =
        replaced(stream_head, "Transfer-", "Keep-Alive: timeout=10\r\nTransfer-");
    test.second.scripts = {{kept_head + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n"},
                           {stream_head + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n"}};
    test.context.fleet.endpoints.at({"i-1"}).draining = true;
    BOOST_TEST(contains(test.send_request("/again/1"), "data: a"));
    test.context.fleet.endpoints.at({"i-1"}).draining = false;
    test.second.silence_open_connections();
    // The first endpoint sends one event and nothing more.
    test.first.scripts = {{stream_head + chunk("id: 1\ndata: a\n\n")}};
    const std::string response = test.send_request("/again/1");
    BOOST_TEST(test.first.requests.size() == 1U);
    BOOST_TEST(contains(response, "data: a"));
    BOOST_TEST(contains(response, "data: b"));
    BOOST_TEST(response.ends_with("0\r\n\r\n"));
}

// Guards against a stream that hangs although nothing can resume it any more: its last
// attempt went silent too.
BOOST_AUTO_TEST_CASE(a_stream_whose_last_attempt_goes_silent_ends_in_bounded_time)
{
    flow_fixture test;
    test.add_endpoints("assistant");
    routing_table table = *test.context.routing;
    for (route& changed : table.routes)
        changed.timeout = milliseconds(20'000);
    test.context.routing = std::make_shared<const routing_table>(table);
    test.first.scripts = {{stream_head + chunk("id: 1\ndata: a\n\n")}};
    // The second endpoint says nothing at all.
    test.second.scripts = {{""}};
    const stream_id caller = test.connect();
    test.context.loop.send(caller, "POST /again/1 HTTP/1.1\r\nHost: h\r\n"
                                   "X-Pollenhaven-Request-Id: id-1\r\n"
                                   "Content-Length: 0\r\n\r\n");
    test.run_until([&] { return test.ended; }, seconds(8));
    BOOST_TEST(test.ended);
    BOOST_TEST(test.second.requests.size() == 1U);
    BOOST_TEST(contains(test.received, "data: a"));
    BOOST_TEST(!test.received.ends_with("0\r\n\r\n"));
}

BOOST_AUTO_TEST_SUITE_END()
