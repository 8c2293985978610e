#include "tests/contract/flow_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace pollenhaven;
using namespace pollenhaven::contract;

namespace
{

const std::string response_fields = "X-Pollenhaven-Request-Id: ID\r\n" + signature_field;
const std::string unframed_head = "HTTP/1.1 200 OK\r\n" + response_fields + "\r\n";
const std::string old_head = "HTTP/1.0 200 OK\r\n" + response_fields + "\r\n";
const std::string last_chunk = "0\r\n\r\n";
const std::string event_a = "id: 1\ndata: a\n\n";
const std::string event_b = "id: 2\ndata: b\n\n";
// An event that lacks the empty line at its end.
const std::string half_event = "id: 2\ndata: b\n";

endpoint_script closes_in_order(const std::string& bytes)
{
    return {bytes, true};
}

endpoint_script closes_with_reset(const std::string& bytes)
{
    return {bytes, false, true};
}

endpoint_script stays_open(const std::string& bytes)
{
    return {bytes};
}

std::string with_length(const std::string& body)
{
    return make_response("200 OK", signature_field, body);
}

// What the caller can tell of a response.
struct received_response
{
    bool is_complete = false;
    // The end of the body is given by a length or by chunks.
    bool has_length = false;
    std::string body;
};

received_response read_at_caller(const flow_fixture& test)
{
    http_reader reader(http_reader::message_kind::response, message_limits{});
    std::string bytes = test.received;
    read_state state = reader.read(bytes);
    if (state == read_state::partial && test.ended &&
        test.caller_end == stream_end::finished)
        state = reader.finish();
    return {state == read_state::complete, reader.has_head() && reader.has_length(),
            reader.body};
}

} // namespace

BOOST_AUTO_TEST_SUITE(response_end)

// Guards against an answer that its engine broke off and that looks complete to the
// caller (ORDER). Each row has the response of the only engine, and what the caller may
// see: only an end that the engine marked itself is passed on as one, in the engine's own
// framing.
BOOST_AUTO_TEST_CASE(a_broken_off_stream_does_not_look_complete)
{
    struct stream_end_case
    {
        const char* case_name;
        endpoint_script script;
        bool is_complete;
        bool has_length;
    };
    const std::vector<stream_end_case> rows{
        {"chunks, last chunk", stays_open(stream_head + chunk(event_a) + last_chunk),
         true, true},
        {"chunks, last chunk inside an event",
         stays_open(stream_head + chunk(event_a + half_event) + last_chunk), false, true},
        {"chunks, closed between events", closes_in_order(stream_head + chunk(event_a)),
         false, true},
        {"length", stays_open(with_length(event_a + event_b)), true, true},
        {"length, inside an event", stays_open(with_length(event_a + half_event)), false,
         true},
        {"no length, closed between events", closes_in_order(unframed_head + event_a),
         true, false},
        {"no length, closed inside an event",
         closes_in_order(unframed_head + event_a + half_event), false, false},
        {"no length, closed inside a line", closes_in_order(unframed_head + "id: 1\nda"),
         false, false},
        {"no length, closed before the first event", closes_in_order(unframed_head),
         false, false},
        {"no length, reset between events", closes_with_reset(unframed_head + event_a),
         false, false},
        {"HTTP/1.0, closed between events", closes_in_order(old_head + event_a), true,
         false},
        {"HTTP/1.0, closed inside an event",
         closes_in_order(old_head + event_a + half_event), false, false}};
    for (const stream_end_case& row : rows)
    {
        BOOST_TEST_CONTEXT(row.case_name)
        {
            flow_fixture test;
            test.add_endpoint("i-1", "assistant", test.first);
            test.first.scripts = {row.script};
            test.send_request("/chat/1");
            const received_response response = read_at_caller(test);
            BOOST_TEST(response.is_complete == row.is_complete);
            BOOST_TEST(response.has_length == row.has_length);
            if (row.is_complete)
                BOOST_TEST(response.body.starts_with(event_a));
        }
    }
}

// Guards against a resumable stream that ends although another engine could go on: its
// engine broke off inside an event, in a framing that hides it.
BOOST_AUTO_TEST_CASE(a_stream_that_ends_inside_an_event_is_resumed)
{
    struct resume_case
    {
        const char* case_name;
        endpoint_script first;
        endpoint_script second;
        bool is_complete;
    };
    const std::string rest = chunk(event_b) + last_chunk;
    const std::vector<resume_case> rows{
        {"no length", closes_in_order(unframed_head + event_a + half_event),
         stays_open(stream_head + rest), true},
        {"no length, twice", closes_in_order(unframed_head + event_a + half_event),
         closes_in_order(unframed_head + event_b), true},
        {"no length, broken off twice",
         closes_in_order(unframed_head + event_a + half_event),
         closes_in_order(unframed_head + half_event), false},
        {"last chunk", stays_open(stream_head + chunk(event_a + half_event) + last_chunk),
         stays_open(stream_head + rest), true},
        {"length", stays_open(with_length(event_a + half_event)),
         stays_open(stream_head + rest), true},
        {"chunks, then no length", closes_in_order(stream_head + chunk(event_a)),
         closes_in_order(unframed_head + event_b), true}};
    for (const resume_case& row : rows)
    {
        BOOST_TEST_CONTEXT(row.case_name)
        {
            flow_fixture test;
            test.add_endpoints("assistant");
            test.first.scripts = {row.first};
            test.second.scripts = {row.second};
            test.send_request("/again/1");
            const received_response response = read_at_caller(test);
            BOOST_TEST(response.is_complete == row.is_complete);
            BOOST_REQUIRE(test.second.requests.size() == 1U);
            BOOST_TEST(contains(test.second.requests[0], "Last-Event-Id: 1"));
            BOOST_TEST(response.body == (row.is_complete ? event_a + event_b : event_a));
        }
    }
}

// Guards against a plain response whose length nobody stated and that gets one on the
// way, so that its caller can't tell that the endpoint may have been cut off.
BOOST_AUTO_TEST_CASE(a_response_without_a_length_gets_none_on_the_way)
{
    for (const char* path : {"/once/1", "/look/1"})
    {
        flow_fixture test;
        test.add_endpoint("i-1", "plain", test.first);
        test.first.scripts = {closes_in_order(unframed_head + "fine")};
        test.send_request(path);
        const received_response response = read_at_caller(test);
        BOOST_TEST(response.is_complete, path);
        BOOST_TEST(!response.has_length, path);
        BOOST_TEST(response.body == "fine", path);
    }
}

// Guards against a JSON answer on a streaming route that is taken for an unfinished
// event.
BOOST_AUTO_TEST_CASE(a_body_that_is_no_event_stream_has_no_events_to_complete)
{
    flow_fixture test;
    test.add_endpoint("i-1", "assistant", test.first);
    test.first.scripts = {stays_open(make_response(
        "200 OK", signature_field + "Content-Type: application/json\r\n", "{}"))};
    test.send_request("/chat/1");
    const received_response response = read_at_caller(test);
    BOOST_TEST(response.is_complete);
    BOOST_TEST(response.body == "{}");
}

// Guards against a daemon that ends because the store's answer to the search for a late
// claim was cut off: without a length, its orderly end hides that.
BOOST_AUTO_TEST_CASE(a_cut_off_store_answer_ends_neither_the_daemon_nor_the_search)
{
    flow_fixture test;
    test.context.settings.store_address = test.first.address;
    idempotency_claims claims(test.context);
    const std::string cut_off = "HTTP/1.1 200 OK\r\n\r\n{\"items\":[";
    test.first.scripts = {closes_in_order(""), closes_in_order(cut_off)};
    std::optional<claim_decision> decision;
    claims.claim({"key", {}}, [&](const claim_decision& made) { decision = made; });
    const auto searched_twice = [&] { return test.first.requests.size() >= 4; };
    BOOST_CHECK_NO_THROW(test.run_until(searched_twice, milliseconds(3000)));
    BOOST_REQUIRE(decision.has_value());
    BOOST_TEST((decision->outcome == claim_outcome::unavailable));
    BOOST_TEST(searched_twice());
}

BOOST_AUTO_TEST_SUITE_END()
