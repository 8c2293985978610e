#include "servers/gateway/event_loop.hpp"
#include "tests/harness/process.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <optional>

using namespace pollenhaven;

BOOST_AUTO_TEST_SUITE(event_loops)

// Guards against a daemon that does nothing but read datagrams: if peers send them faster
// than they are handled, the socket never becomes empty, and neither timers nor
// connections get their turn.
BOOST_AUTO_TEST_CASE(timers_run_while_datagrams_arrive_without_a_pause)
{
    constexpr milliseconds timer_delay{20};
    constexpr milliseconds max_timer_delay{200};
    constexpr seconds flood_duration{1};
    event_loop loop;
    const network_address address{"127.0.0.1:" + std::to_string(harness::free_port())};
    const instant began = boot_clock::now();
    // Each datagram causes the next one, so that there is always one to read.
    loop.listen_for_datagrams(address,
                              [&](std::string_view bytes)
                              {
                                  if (boot_clock::now() - began < flood_duration)
                                      loop.send_datagram(address, bytes);
                              });
    for (int datagram = 0; datagram < 100; ++datagram)
        loop.send_datagram(address, "datagram");
    instant fired_at{};
    loop.schedule(began + timer_delay, [&] { fired_at = boot_clock::now(); });
    loop.run(
        [&] {
            return fired_at != instant{} ||
                   boot_clock::now() - began > 2 * flood_duration;
        });
    BOOST_REQUIRE((fired_at != instant{}));
    BOOST_TEST(to_milliseconds(fired_at - began).count() < max_timer_delay.count());
}

// Guards against a response without a length that looks complete because its daemon's
// process ended: the kernel closes the connection as the loop's end does here.
BOOST_AUTO_TEST_CASE(a_stream_that_resets_on_close_is_reset_when_its_loop_ends)
{
    for (const bool resets : {true, false})
    {
        const network_address address{"127.0.0.1:" +
                                      std::to_string(harness::free_port())};
        std::unique_ptr<event_loop> server = std::make_unique<event_loop>();
        server->listen(address,
                       [&](stream_id id)
                       {
                           server->set_reset_on_close(id, resets);
                           server->send(id, "bytes");
                       });
        event_loop client;
        std::string received;
        std::optional<stream_end> end;
        stream_handlers handlers;
        handlers.readable = [&](stream_id id) { received = client.input(id); };
        handlers.ended = [&](stream_id, stream_end ended) { end = ended; };
        client.connect(address, std::move(handlers));
        const instant limit = boot_clock::now() + seconds(2);
        const auto run = [&](event_loop& loop)
        {
            int iterations = 0;
            loop.schedule_after(milliseconds(1), [] {});
            loop.run([&] { return iterations++ > 0; });
        };
        while (received.empty() && boot_clock::now() < limit)
        {
            run(*server);
            run(client);
        }
        server.reset();
        while (!end && boot_clock::now() < limit)
            run(client);
        BOOST_TEST(received == "bytes");
        BOOST_REQUIRE(end.has_value());
        BOOST_TEST((*end == (resets ? stream_end::failed : stream_end::finished)));
    }
}

// Guards against a peer that is judged by what lies unread: many streams have bytes when
// a timer is due, as after a pause of the process, and it runs before they are read.
BOOST_AUTO_TEST_CASE(a_due_timer_runs_after_all_that_had_arrived_was_read)
{
    constexpr std::size_t connections = 300;
    // Less than a socket holds, more than one read takes.
    const std::string message(50000, 'x');
    event_loop server;
    event_loop client;
    const network_address address{"127.0.0.1:" + std::to_string(harness::free_port())};
    std::size_t accepted = 0;
    std::size_t received = 0;
    server.listen(address,
                  [&](stream_id id)
                  {
                      ++accepted;
                      stream_handlers handlers;
                      handlers.readable = [&](stream_id from)
                      {
                          received += server.input(from).size();
                          server.input(from).clear();
                      };
                      server.set_handlers(id, std::move(handlers));
                  });
    std::vector<stream_id> streams;
    for (std::size_t connection = 0; connection < connections; ++connection)
        streams.push_back(client.connect(address, {}));
    const instant limit = boot_clock::now() + seconds(5);
    const auto run = [&](event_loop& loop, const std::function<bool()>& done)
    {
        loop.schedule_after(milliseconds(1), [] {});
        loop.run([&] { return done() || boot_clock::now() > limit; });
    };
    run(server, [&] { return accepted == connections; });
    std::optional<std::size_t> received_before_timer;
    server.schedule(boot_clock::now() + milliseconds(1),
                    [&] { received_before_timer = received; });
    for (const stream_id stream : streams)
        client.send(stream, message);
    run(client,
        [&]
        {
            return std::none_of(streams.begin(), streams.end(),
                                [&](stream_id id)
                                { return client.pending_output(id) > 0; });
        });
    run(server, [&] { return received_before_timer.has_value(); });
    BOOST_REQUIRE(received_before_timer.has_value());
    BOOST_TEST(*received_before_timer == connections * message.size());
}

BOOST_AUTO_TEST_SUITE_END()
