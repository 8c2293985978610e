#include "core/plugin_registry.hpp"
#include "servers/gateway/http_server.hpp"
#include "tests/harness/process.hpp"

#include <boost/test/unit_test.hpp>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <functional>

using namespace pollenhaven;

namespace
{

const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

gateway_settings test_settings()
{
    gateway_settings result;
    result.id = {"daemon"};
    return result;
}

// A caller whose socket is used directly, so that it can act while the loop is in a turn.
struct caller
{
    file_descriptor socket;
    std::string received;
    bool ended = false;
    bool was_reset = false;

    void send(const std::string& bytes) const
    {
        BOOST_REQUIRE(::send(socket.number(), bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                      static_cast<ssize_t>(bytes.size()));
    }

    void receive()
    {
        std::array<char, 65536> buffer{};
        ssize_t count = 0;
        while ((count = recv(socket.number(), buffer.data(), buffer.size(), 0)) > 0)
            received.append(buffer.data(), static_cast<std::size_t>(count));
        ended = ended || count == 0;
        was_reset = was_reset || (count < 0 && errno == ECONNRESET);
    }

    std::size_t responses() const
    {
        std::size_t count = 0;
        for (std::size_t at = received.find("HTTP/1.1 "); at != std::string::npos;
             at = received.find("HTTP/1.1 ", at + 1))
            ++count;
        return count;
    }
};

// The caller side of a daemon, on a loop of its own, with callers.
struct server_fixture
{
    gateway_context context{
        test_settings(), plugin_registry<platform_dialect>::instance().make("fleet", "")};
    network_address address{"127.0.0.1:" + std::to_string(harness::free_port())};
    // What the daemon does with a request.
    std::function<void(stream_id)> respond = [this](stream_id id)
    { server.send_response(id, 200, "", "fine"); };
    http_server server{context,
                       [this](stream_id id, const http_head&, const std::string&)
                       { respond(id); },
                       [](stream_id) {}};

    server_fixture() { server.listen(address, address_roles{true}); }

    void set_limits(milliseconds idle_timeout, milliseconds header_timeout = seconds(10))
    {
        routing_table table;
        table.limits.idle_timeout = idle_timeout;
        table.limits.header_timeout = header_timeout;
        context.routing = std::make_shared<const routing_table>(table);
    }

    void run_for(milliseconds duration)
    {
        const instant end = boot_clock::now() + duration;
        context.loop.schedule(end, [] {});
        context.loop.run([&] { return boot_clock::now() >= end; });
    }

    // Runs the action in a turn of the loop, after the sockets were read and before they
    // are read again.
    void act_after(milliseconds delay, const std::function<void()>& action)
    {
        bool done = false;
        context.loop.schedule(boot_clock::now() + delay,
                              [&]
                              {
                                  action();
                                  done = true;
                              });
        context.loop.run([&] { return done; });
    }

    caller connect()
    {
        caller result{connect_to(address)};
        run_for(milliseconds(5));
        return result;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(caller_connections)

// Guards against a whole request that is dropped because its connection has been idle for
// too long by what the daemon has read.
BOOST_AUTO_TEST_CASE(
    a_request_that_lies_unread_is_answered_on_a_connection_past_its_limit)
{
    server_fixture test;
    test.set_limits(milliseconds(50));
    caller idle = test.connect();
    test.act_after(milliseconds(100),
                   [&]
                   {
                       idle.send(request);
                       test.server.close_idle(false);
                   });
    test.run_for(milliseconds(20));
    idle.receive();
    BOOST_TEST(!idle.was_reset);
    BOOST_TEST(idle.responses() == 1U);
}

// Guards against connections that are closed while their callers may still use them: the
// idle limit was lowered, and a caller goes by the one that it knows.
BOOST_AUTO_TEST_CASE(a_lowered_idle_limit_spares_connections_that_are_idle_already)
{
    server_fixture test;
    test.set_limits(seconds(10));
    caller before = test.connect();
    test.set_limits(milliseconds(50));
    caller after = test.connect();
    test.act_after(milliseconds(100), [&] { test.server.close_idle(false); });
    before.receive();
    after.receive();
    BOOST_TEST(!before.ended);
    BOOST_TEST(after.ended);
    // A response makes the connection idle anew, by the limit of that time.
    before.send(request);
    test.run_for(milliseconds(10));
    test.act_after(milliseconds(100), [&] { test.server.close_idle(false); });
    before.receive();
    BOOST_TEST(before.responses() == 1U);
    BOOST_TEST(before.ended);
}

// Guards against connections that are closed by the limit of the time at which they
// became idle, while their callers go by a higher one that has come into force since.
BOOST_AUTO_TEST_CASE(a_raised_idle_limit_holds_for_connections_that_are_idle_already)
{
    server_fixture test;
    test.set_limits(milliseconds(50));
    caller idle = test.connect();
    test.set_limits(seconds(10));
    test.act_after(milliseconds(100), [&] { test.server.close_idle(false); });
    test.set_limits(milliseconds(50));
    test.act_after(milliseconds(100), [&] { test.server.close_idle(false); });
    idle.receive();
    BOOST_TEST(!idle.ended);
}

// Guards against a response that is cut short because its caller reads it slowly: its
// connection counts as idle from the time at which the daemon has generated it.
BOOST_AUTO_TEST_CASE(a_caller_that_still_reads_its_response_is_not_idle)
{
    // More than the buffers of two sockets hold.
    constexpr std::size_t body_size = 32UL << 20U;
    server_fixture test;
    test.set_limits(milliseconds(50));
    test.respond = [&](stream_id id)
    { test.server.send_response(id, 200, "", std::string(body_size, 'x')); };
    for (const bool all : {false, true})
    {
        caller slow = test.connect();
        slow.send(request);
        test.run_for(milliseconds(20));
        test.act_after(milliseconds(100), [&] { test.server.close_idle(all); });
        for (int turn = 0; turn < 500 && slow.received.size() < body_size; ++turn)
        {
            slow.receive();
            test.run_for(milliseconds(1));
        }
        BOOST_TEST(slow.received.size() > body_size);
    }
}

// Guards against a response that is cut short in the kernel: the daemon has written all
// of it, and its caller reads it slowly and sends the next request meanwhile.
BOOST_AUTO_TEST_CASE(a_response_that_lies_in_the_kernel_is_not_cut_short)
{
    // Less than the buffers of two sockets hold, more than that of one.
    constexpr std::size_t body_size = 1UL << 20U;
    server_fixture test;
    test.set_limits(milliseconds(50));
    test.respond = [&](stream_id id)
    { test.server.send_response(id, 200, "", std::string(body_size, 'x')); };
    caller slow = test.connect();
    slow.send(request);
    test.run_for(milliseconds(20));
    test.act_after(milliseconds(100),
                   [&]
                   {
                       test.server.close_idle(false);
                       slow.send(request);
                   });
    test.run_for(seconds(1));
    for (int turn = 0; turn < 500 && slow.received.size() < body_size; ++turn)
    {
        slow.receive();
        test.run_for(milliseconds(1));
    }
    BOOST_TEST(slow.received.size() > body_size);
    BOOST_TEST(!slow.was_reset);
}

// Guards against a request whose fate is unclear because it crossed the end of its idle
// connection: it isn't read after that end, which is an orderly one.
BOOST_AUTO_TEST_CASE(a_request_that_crosses_the_end_of_its_connection_is_not_read)
{
    int handled = 0;
    server_fixture test;
    test.set_limits(milliseconds(50));
    test.respond = [&](stream_id) { ++handled; };
    caller idle = test.connect();
    test.act_after(milliseconds(100),
                   [&]
                   {
                       test.server.close_idle(false);
                       idle.send(request);
                   });
    idle.receive();
    BOOST_TEST(idle.ended);
    BOOST_TEST(!idle.was_reset);
    test.run_for(seconds(1));
    BOOST_TEST(handled == 0);
    BOOST_TEST(test.server.connections() == 0U);
}

// Guards against a request that is refused as too slow although its rest has arrived.
BOOST_AUTO_TEST_CASE(a_request_whose_rest_lies_unread_is_not_too_slow)
{
    server_fixture test;
    test.set_limits(seconds(10), milliseconds(50));
    caller in_time = test.connect();
    caller too_slow = test.connect();
    for (const caller* one : {&in_time, &too_slow})
        one->send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n");
    test.run_for(milliseconds(10));
    test.act_after(milliseconds(100),
                   [&]
                   {
                       in_time.send(std::string(50000, 'x'));
                       too_slow.send(std::string(49999, 'x'));
                       test.server.close_idle(false);
                   });
    test.run_for(milliseconds(20));
    in_time.receive();
    too_slow.receive();
    BOOST_TEST(in_time.received.starts_with("HTTP/1.1 200 "));
    BOOST_TEST(too_slow.received.starts_with("HTTP/1.1 408 "));
}

// Guards against requests that are read and thrown away at SIGTERM: their callers send
// the next request before the response to the last is whole, whose head was sent before
// SIGTERM or after it.
BOOST_AUTO_TEST_CASE(requests_behind_the_one_in_progress_at_sigterm_are_answered)
{
    for (const bool head_before : {true, false})
    {
        BOOST_TEST_CONTEXT("head before SIGTERM: " << head_before)
        {
            server_fixture test;
            std::vector<stream_id> handled;
            test.respond = [&](stream_id id) { handled.push_back(id); };
            caller pipelining = test.connect();
            pipelining.send(request);
            test.run_for(milliseconds(10));
            BOOST_REQUIRE(handled.size() == 1U);
            const auto begin = [&]
            { test.server.begin_response(handled[0], 200, "", body_framing::chunked); };
            if (head_before)
                begin();
            test.run_for(milliseconds(10));
            test.context.leaving = true;
            pipelining.send(request);
            test.run_for(milliseconds(10));
            if (!head_before)
                begin();
            test.server.end_response(handled[0]);
            test.run_for(milliseconds(10));
            BOOST_REQUIRE(handled.size() == 2U);
            test.server.send_response(handled[1], 200, "", "fine");
            test.run_for(milliseconds(10));
            pipelining.receive();
            BOOST_TEST(pipelining.responses() == 2U);
            BOOST_TEST(pipelining.received.find("Connection: close") >
                       pipelining.received.rfind("HTTP/1.1 "));
            BOOST_TEST(pipelining.ended);
        }
    }
}

// Guards against a connection that ends although its caller wasn't told so: the response
// began before SIGTERM and ended after it, and the caller then sends its next request.
BOOST_AUTO_TEST_CASE(a_connection_ends_after_a_response_only_if_its_head_says_so)
{
    server_fixture test;
    std::vector<stream_id> handled;
    test.respond = [&](stream_id id) { handled.push_back(id); };
    caller streaming = test.connect();
    streaming.send(request);
    test.run_for(milliseconds(10));
    BOOST_REQUIRE(handled.size() == 1U);
    test.server.begin_response(handled[0], 200, "", body_framing::chunked);
    test.run_for(milliseconds(10));
    test.context.leaving = true;
    test.server.end_response(handled[0]);
    test.run_for(milliseconds(10));
    streaming.receive();
    BOOST_TEST(!streaming.ended);
    streaming.send(request);
    test.run_for(milliseconds(10));
    BOOST_REQUIRE(handled.size() == 2U);
    test.server.send_response(handled[1], 200, "", "fine");
    test.run_for(milliseconds(10));
    streaming.receive();
    BOOST_TEST(streaming.responses() == 2U);
    BOOST_TEST(streaming.ended);
}

// Guards against callers that don't know how long they may use a connection: the stated
// time leaves a fifth of the limit for the request's way.
BOOST_AUTO_TEST_CASE(responses_state_how_long_their_connection_may_stay_idle)
{
    struct limit_case
    {
        milliseconds idle_timeout;
        bool leaving;
        std::string expected;
        std::string unexpected;
    };
    const std::vector<limit_case> rows{
        {seconds(15), false, "Keep-Alive: timeout=12\r\n", "Connection: close"},
        {milliseconds(2400), false, "Keep-Alive: timeout=1\r\n", "Connection: close"},
        {milliseconds(900), false, "Content-Length: 4", "Keep-Alive"},
        {seconds(15), true, "Connection: close\r\n", "Keep-Alive"}};
    for (const limit_case& row : rows)
    {
        server_fixture test;
        test.set_limits(row.idle_timeout);
        test.context.leaving = row.leaving;
        caller reader = test.connect();
        reader.send(request);
        test.run_for(milliseconds(10));
        reader.receive();
        BOOST_TEST(reader.received.find(row.expected) != std::string::npos,
                   reader.received);
        BOOST_TEST(reader.received.find(row.unexpected) == std::string::npos,
                   reader.received);
    }
}

// Guards against callers whose connections are reset at SIGTERM although they were
// established and may have sent a request: they wait to be accepted.
BOOST_AUTO_TEST_CASE(
    connections_that_wait_to_be_accepted_are_served_after_the_listeners_end)
{
    constexpr std::size_t connections = 100;
    server_fixture test;
    std::vector<caller> callers(connections);
    test.act_after(milliseconds(1),
                   [&]
                   {
                       for (caller& one : callers)
                           one.socket = connect_to(test.address);
                       for (const caller& one : callers)
                           one.send(request);
                       test.context.loop.stop_listening();
                   });
    test.run_for(milliseconds(100));
    std::size_t answered = 0;
    for (caller& one : callers)
    {
        one.receive();
        answered += one.responses();
    }
    BOOST_TEST(answered == connections);
}

// Guards against a process that ends while callers haven't read their responses, or the
// end of their idle connections: its end would reset them.
BOOST_AUTO_TEST_CASE(streams_count_as_closing_until_their_callers_have_read_the_end)
{
    server_fixture test;
    test.context.leaving = true;
    {
        caller reader = test.connect();
        const caller idle = test.connect();
        reader.send(request);
        test.run_for(milliseconds(10));
        BOOST_TEST(test.context.loop.closing_streams() == 1U);
        test.act_after(milliseconds(1), [&] { test.server.close_idle(true); });
        BOOST_TEST(test.context.loop.closing_streams() == 2U);
        reader.receive();
        BOOST_TEST(reader.responses() == 1U);
    }
    // Both callers have closed their connections.
    test.run_for(milliseconds(10));
    BOOST_TEST(test.context.loop.closing_streams() == 0U);
}

// Guards against a request whose caller closes its sending side and gets neither an
// answer nor a refusal, because the end is read before the refusal has been written.
BOOST_AUTO_TEST_CASE(a_refusal_is_written_although_the_end_of_its_caller_is_read_first)
{
    server_fixture test;
    caller half_closed = test.connect();
    test.act_after(milliseconds(1),
                   [&]
                   {
                       half_closed.send(request);
                       shutdown(half_closed.socket.number(), SHUT_WR);
                       // A timer that is due has the sockets read once more before
                       // anything is written.
                       test.context.loop.schedule(
                           test.context.loop.now() + std::chrono::microseconds(1), [] {});
                   });
    test.run_for(milliseconds(20));
    half_closed.receive();
    BOOST_TEST(half_closed.received.starts_with("HTTP/1.1 503"), half_closed.received);
}

namespace
{

// Forms of the fields that give the length of a message, none of which is certain.
const std::vector<std::string> ambiguous_framings{
    "Transfer-Encoding: xchunked\r\n",
    "Transfer-Encoding: identity\r\n",
    "Transfer-Encoding: chunked, identity\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "Transfer-Encoding: chunked, chunked\r\n",
    "Transfer-Encoding: chunked;q=1\r\n",
    "Transfer-Encoding: \"chunked\"\r\n",
    "Transfer-Encoding: chunked,\r\n",
    "Transfer-Encoding: chunk ed\r\n",
    "Transfer-Encoding:\r\n",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
    "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: identity\r\nContent-Length: 5\r\n",
    "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding : chunked\r\n",
    "Content-Length: 5\r\nContent-Length: 50\r\n",
    "Content-Length: 5, 5\r\n",
    "Content-Length: +5\r\n",
    "Content-Length:\r\n"};

} // namespace

// Guards against a request that is smuggled in the body of another one, whose length
// can't be told: it was run as the next request of the connection (UNASKED).
BOOST_AUTO_TEST_CASE(the_body_of_a_request_without_a_certain_length_is_not_a_request)
{
    for (const std::string& framing : ambiguous_framings)
        for (const bool is_at_once : {true, false})
        {
            server_fixture test;
            int requests = 0;
            test.respond = [&](stream_id id)
            {
                ++requests;
                test.server.send_response(id, 200, "", "fine");
            };
            caller smuggler = test.connect();
            const std::string head = "POST / HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n";
            smuggler.send(is_at_once ? head + request : head);
            test.run_for(milliseconds(5));
            if (!is_at_once)
                ::send(smuggler.socket.number(), request.data(), request.size(),
                       MSG_NOSIGNAL);
            test.run_for(milliseconds(10));
            smuggler.receive();
            BOOST_TEST(requests == 0, framing);
            BOOST_TEST(smuggler.received.starts_with("HTTP/1.1 400"), framing);
            BOOST_TEST(smuggler.received.rfind("HTTP/1.1 400") == 0U, framing);
            BOOST_TEST(smuggler.ended, framing);
        }
}

// HTTP/1.0 has no transfer codings (RFC 9112, 6.1).
BOOST_AUTO_TEST_CASE(a_transfer_coding_in_an_older_protocol_version_is_refused)
{
    server_fixture test;
    caller old = test.connect();
    old.send("POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    test.run_for(milliseconds(10));
    old.receive();
    BOOST_TEST(old.received.starts_with("HTTP/1.1 400"), old.received);
}

// Guards against trailers that replace or add fields of their request, such as its model
// (UNASKED).
BOOST_AUTO_TEST_CASE(trailers_of_a_request_are_not_among_its_fields)
{
    const std::string chunks = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                               "Chunked\r\n\r\n4\r\nbody\r\n0\r\n";
    std::string input = chunks + "X-Late: 1\r\nHost: other\r\n\r\nnext";
    http_reader reader(http_reader::message_kind::request, message_limits{});
    BOOST_TEST((reader.read(input) == read_state::complete));
    BOOST_TEST(reader.body == "body");
    BOOST_TEST(input == "next");
    BOOST_TEST(reader.head().fields.size() == 2U);
    // A length that comes after the body.
    for (const std::string late : {"Content-Length: 9", "Transfer-Encoding: identity"})
    {
        std::string text = chunks + late + "\r\n\r\n";
        http_reader late_reader(http_reader::message_kind::request, message_limits{});
        const read_state state = late_reader.read(text);
        BOOST_TEST(
            (state == read_state::malformed || late_reader.head().fields.size() == 2U),
            late);
    }
}

BOOST_AUTO_TEST_SUITE_END()
