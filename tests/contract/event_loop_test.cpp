#include "servers/gateway/event_loop.hpp"
#include "tests/harness/process.hpp"

#include <boost/test/unit_test.hpp>

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

BOOST_AUTO_TEST_SUITE_END()
