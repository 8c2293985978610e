// What the transport between daemons owes to its users.

#include "servers/peer_transport.hpp"
#include "tests/harness/cluster.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>

using namespace pollenhaven;

namespace
{

network_address free_address()
{
    return {"127.0.0.1:" + std::to_string(harness::free_port())};
}

peer_transport::callbacks no_calls()
{
    return {[](peer_stream_id, const std::string&, const std::string&) {},
            [](peer_stream_id, bool) {}};
}

// Answers every call with its own message, twice.
class echo_server
{
public:
    echo_server() : address_(free_address()), transport_(address_, callbacks()) {}

    const network_address& address() const { return address_; }

private:
    peer_transport::callbacks callbacks()
    {
        return {
            [this](peer_stream_id stream, const std::string&, const std::string& message)
            {
                transport_.reply(stream, message, false);
                transport_.reply(stream, message, true);
            },
            [](peer_stream_id, bool) {}};
    }

    network_address address_;
    peer_transport transport_;
};

// Makes a call and collects what comes back.
std::string collect(peer_transport& transport, const network_address& peer,
                    const std::string& message)
{
    auto done = std::make_shared<std::promise<std::string>>();
    auto collected = std::make_shared<std::string>();
    std::future<std::string> result = done->get_future();
    transport.call(peer, "/echo", message,
                   [done, collected](const peer_event& event)
                   {
                       if (event.what == peer_event::kind::message)
                           *collected += event.message + "|";
                       else if (event.what == peer_event::kind::ended)
                           done->set_value(*collected);
                       else
                           done->set_value(event.sent ? "lost" : "never sent");
                   });
    if (result.wait_for(seconds(10)) != std::future_status::ready)
        return "nothing";
    return result.get();
}

} // namespace

BOOST_AUTO_TEST_SUITE(transport)

BOOST_AUTO_TEST_CASE(messages_arrive_whole_and_in_order)
{
    echo_server server;
    peer_transport client(free_address(), no_calls());
    BOOST_TEST(collect(client, server.address(), "a") == "a|a|");
    const std::string large(3'000'000, 'x');
    BOOST_TEST((collect(client, server.address(), large) == large + "|" + large + "|"));
}

BOOST_AUTO_TEST_CASE(a_handler_that_throws_harms_no_other_call)
{
    echo_server server;
    peer_transport client(free_address(), no_calls());
    std::atomic<int> thrown{0};
    client.call(server.address(), "/echo", "bad",
                [&](const peer_event&)
                {
                    ++thrown;
                    throw std::runtime_error("a malformed message");
                });
    BOOST_TEST(harness::eventually([&] { return thrown > 0; }));
    BOOST_TEST(collect(client, server.address(), "good") == "good|good|");
}

BOOST_AUTO_TEST_CASE(a_peer_that_is_not_there_is_told)
{
    peer_transport client(free_address(), no_calls());
    const std::string outcome = collect(client, free_address(), "anyone?");
    BOOST_TEST((outcome == "never sent" || outcome == "lost"));
    BOOST_TEST(collect(client, {"not an address"}, "anyone?") == "never sent");
}

BOOST_AUTO_TEST_SUITE_END()
