// Callers and endpoints that read slowly what the daemon sends to them.

#include "policy/fleet/response_memory.hpp"
#include "tests/contract/flow_fixture.hpp"
#include "tests/harness/raw_connection.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>

using namespace pollenhaven;
using namespace pollenhaven::contract;
using pollenhaven::harness::raw_connection;

namespace
{

constexpr int receive_buffer = 4096;
constexpr std::size_t body_bytes = 52'000;
// Longer than the kernel's limit on unconfirmed output.
constexpr seconds pause_time{7};
constexpr seconds long_timeout{14};

struct slow_fixture : flow_fixture
{
    std::vector<std::thread> threads;
    std::atomic<int> running{0};
    std::atomic<int> whole{0};
    // Ends the callers that read nothing.
    std::atomic<bool> may_end{false};

    explicit slow_fixture(seconds timeout = long_timeout)
    {
        add_endpoints("plain");
        routing_table table = *context.routing;
        for (route& changed : table.routes)
            changed.timeout = timeout;
        context.routing = std::make_shared<const routing_table>(table);
    }

    ~slow_fixture()
    {
        may_end = true;
        for (std::thread& thread : threads)
            thread.join();
    }

    // Lets both endpoints answer with this response.
    void respond_with(const std::string& response)
    {
        first.scripts = {{response}};
        second.scripts = {{response}};
    }

    std::size_t requests() const
    {
        return first.requests.size() + second.requests.size();
    }

    // Starts a caller that sends a request and reads its response with `read`, which
    // returns false if the connection ends early.
    void start_caller(const std::string& fields,
                      const std::function<bool(raw_connection&)>& read)
    {
        ++running;
        const std::string id = "id-" + std::to_string(threads.size());
        threads.emplace_back(
            [this, fields, read, id]
            {
                raw_connection caller(address.value, receive_buffer);
                caller.send("POST /look/1 HTTP/1.1\r\nHost: h\r\n"
                            "X-Pollenhaven-Request-Id: " +
                                id + "\r\n" + fields + "Content-Length: 4\r\n\r\nbody",
                            seconds(1));
                whole += read(caller) ? 1 : 0;
                --running;
            });
    }

    void run_until_callers_end(milliseconds limit)
    {
        run_until(
            [this]
            {
                flow.dispatch_waiting();
                return running == 0;
            },
            limit);
    }
};

bool is_whole(const raw_connection& caller)
{
    const std::size_t head_end = caller.received().find("\r\n\r\n");
    return head_end != std::string::npos &&
           caller.received().size() >= head_end + body_bytes;
}

// Reads a little at a time and never pauses for longer.
bool read_steadily(raw_connection& caller)
{
    constexpr std::size_t bytes_per_read = 700;
    constexpr milliseconds between_reads{100};
    while (!is_whole(caller))
    {
        std::this_thread::sleep_for(between_reads);
        if (!caller.read_some(bytes_per_read, seconds(2)))
            return false;
    }
    return true;
}

bool read_after_pause(raw_connection& caller)
{
    std::this_thread::sleep_for(pause_time);
    while (!is_whole(caller))
        if (!caller.read_some(body_bytes, seconds(2)))
            return false;
    return true;
}

std::string response_of(std::size_t bytes, const std::string& fields = "")
{
    return make_response("200 OK", signature_field + fields, std::string(bytes, 'x'));
}

} // namespace

BOOST_AUTO_TEST_SUITE(slow_readers)

// Guards against answers that are cut off although their callers confirm all that reaches
// them (LOST): they read slowly, or pause, on a connection that is kept or that ends with
// the response.
BOOST_AUTO_TEST_CASE(a_caller_that_reads_slowly_gets_its_whole_answer)
{
    slow_fixture test;
    test.respond_with(response_of(body_bytes));
    for (const char* const fields : {"", "Connection: close\r\n"})
        for (int caller = 0; caller < 2; ++caller)
        {
            test.start_caller(fields, read_steadily);
            test.start_caller(fields, read_after_pause);
        }
    test.run_until_callers_end(long_timeout + seconds(2));
    BOOST_TEST(test.running == 0);
    BOOST_TEST(test.whole == 8);
}

// Guards against the same where the daemon is cut off from the endpoints and passes the
// requests to a peer.
BOOST_AUTO_TEST_CASE(a_caller_that_reads_slowly_gets_its_answer_through_a_peer)
{
    slow_fixture test;
    test.context.links.cut_off_since = test.context.loop.now();
    member_view& peer = test.context.fleet.members[{"peer"}];
    peer.id = {"peer"};
    peer.ready = true;
    peer.peer_address = test.first.address;
    peer.last_message_at = test.context.loop.now() + seconds(10);
    test.respond_with(response_of(body_bytes));
    for (int caller = 0; caller < 2; ++caller)
    {
        test.start_caller("", read_steadily);
        test.start_caller("", read_after_pause);
    }
    test.run_until_callers_end(long_timeout + seconds(2));
    BOOST_TEST(test.whole == 4);
    BOOST_TEST(test.second.requests.empty());
}

// Guards against connections that are held for ever for callers that don't read.
BOOST_AUTO_TEST_CASE(a_caller_that_reads_nothing_is_left_after_its_deadline)
{
    constexpr seconds timeout{6};
    slow_fixture test(timeout);
    test.respond_with(response_of(body_bytes));
    test.start_caller("",
                      [&](raw_connection& caller)
                      {
                          while (!test.may_end)
                              std::this_thread::sleep_for(milliseconds(20));
                          while (!is_whole(caller))
                              if (!caller.read_some(body_bytes, seconds(1)))
                                  return false;
                          return true;
                      });
    test.run_until([&] { return test.requests() > 0; }, seconds(2));
    test.run_until([] { return false; }, timeout - seconds(1));
    BOOST_TEST(test.callers.connections() == 1U);
    test.run_until([&] { return test.callers.connections() == 0; }, seconds(3));
    BOOST_TEST(test.callers.connections() == 0U);
    test.may_end = true;
    test.run_until_callers_end(seconds(3));
    BOOST_TEST(test.whole == 0);
}

// Guards against memory without a bound for callers that don't read, and against callers
// beside them that aren't served.
BOOST_AUTO_TEST_CASE(what_is_held_for_slow_callers_has_a_bound_and_fast_ones_are_served)
{
    constexpr std::size_t large_bytes = 6'000'000;
    slow_fixture test;
    test.context.settings.memory_mb = 160;
    test.respond_with(response_of(large_bytes));
    std::int64_t ended = 0;
    for (std::size_t caller = 1; caller <= 12; ++caller)
    {
        test.start_caller("",
                          [&test](raw_connection&)
                          {
                              while (!test.may_end)
                                  std::this_thread::sleep_for(milliseconds(20));
                              return false;
                          });
        test.run_until(
            [&]
            { return test.requests() == caller && test.flow.requests_in_flight() == 0; },
            seconds(3));
        test.run_until([] { return false; }, milliseconds(50));
        ended += test.context.loop.take_statistics().unread_streams_ended;
        BOOST_TEST(test.context.loop.unread_output() <= held_response_limit(160));
    }
    BOOST_TEST(ended > 0);
    const std::string served = test.send_request("/look/1");
    BOOST_TEST(served.starts_with("HTTP/1.1 200"));
    test.may_end = true;
    test.run_until_callers_end(seconds(3));
}

// Guards against a request that is given up because its endpoint takes its time to read
// the body.
BOOST_AUTO_TEST_CASE(an_endpoint_that_pauses_before_it_reads_a_body_answers)
{
    slow_fixture test;
    const std::string body(3'000'000, 'x');
    event_loop& loop = test.context.loop;
    test.first.respond =
        [&loop](stream_id from, const std::string&, const std::string& id)
    {
        loop.pause_reading(from);
        loop.schedule_after(pause_time, [&loop, from] { loop.resume_reading(from); });
        loop.schedule_after(pause_time + seconds(1), [&loop, from, id]
                            { loop.send(from, replaced(ok_response, "ID", id)); });
    };
    const stream_id caller = test.connect();
    loop.send(caller, "POST /once/1 HTTP/1.1\r\nHost: h\r\n"
                      "X-Pollenhaven-Request-Id: id-1\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body);
    test.run_until(
        [&]
        {
            test.flow.dispatch_waiting();
            return !test.received.empty();
        },
        long_timeout);
    BOOST_TEST(test.received.starts_with("HTTP/1.1 200"), test.received.substr(0, 200));
}

BOOST_AUTO_TEST_SUITE_END()
