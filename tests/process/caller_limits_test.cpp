// Callers that together send more than a daemon can hold.

#define BOOST_TEST_MODULE caller_limits
#include "tests/harness/fleet.hpp"
#include "tests/harness/raw_connection.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace pollenhaven::harness;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

// The memory of the smallest instance. A process that exceeds it is killed.
constexpr double memory_limit_mb = 160;

fleet make_single_daemon()
{
    fleet_options options;
    options.daemons = 1;
    options.engines = 1;
    return fleet(options);
}

// A request that announces a larger body than it sends.
std::string unfinished_request(int number, std::size_t announced, std::size_t sent)
{
    return "POST /orders/1 HTTP/1.1\r\nHost: " + std::string(fleet_host) +
           "\r\nX-Pollenhaven-Request-Id: unfinished-" + std::to_string(number) +
           "\r\nContent-Length: " + std::to_string(announced) + "\r\n\r\n" +
           std::string(sent, 'x');
}

} // namespace

// Guards against a daemon whose memory is filled by many callers, each of which stays
// within the limits of one connection: bodies of almost the allowed size that don't end.
BOOST_AUTO_TEST_CASE(many_unfinished_bodies_do_not_fill_the_memory)
{
    constexpr int callers = 100;
    constexpr std::size_t announced_bytes = 4000000;
    constexpr std::size_t sent_bytes = 3900000;
    fleet deployment = make_single_daemon();
    std::vector<raw_connection> connections;
    double most_resident_mb = 0;
    for (int caller = 0; caller < callers; ++caller)
    {
        connections.emplace_back(deployment.caller_address(0));
        connections.back().send(unfinished_request(caller, announced_bytes, sent_bytes),
                                seconds(1));
        most_resident_mb = std::max(most_resident_mb, deployment.daemon(0).resident_mb());
        // Requests of others are served meanwhile.
        if (caller % 10 == 0)
            BOOST_TEST(
                deployment.send_platform_request(0, "whole-" + std::to_string(caller))
                    .status == 200);
    }
    BOOST_TEST_MESSAGE("most resident memory: " << most_resident_mb << " MB");
    BOOST_TEST(most_resident_mb < memory_limit_mb);
    int refused = 0;
    for (raw_connection& connection : connections)
    {
        const std::string response = connection.read_until("}}", milliseconds(1));
        if (!response.starts_with("HTTP/1.1 503"))
            continue;
        ++refused;
        BOOST_TEST((response.find("Retry-After: ") != std::string::npos));
        BOOST_TEST((response.find("X-Verdict: not_run") != std::string::npos));
    }
    BOOST_TEST(refused > 0);
    BOOST_TEST(deployment.daemon(0).running());
}
