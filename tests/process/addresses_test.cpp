// What each address of a daemon serves.

#define BOOST_TEST_MODULE addresses
#include "tests/harness/raw_connection.hpp"
#include "tests/process/checks.hpp"

using namespace pollenhaven::harness;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr seconds change_bound{3};

// Sends a caller's request without a body and returns what comes back within a second.
std::string send_as_caller(const std::string& address, const std::string& method,
                           const std::string& target)
{
    raw_connection connection(address);
    connection.send(method + " " + target +
                        " HTTP/1.1\r\nHost: fleet.test\r\n"
                        "X-Pollenhaven-Request-Id: caller-" +
                        std::to_string(std::hash<std::string>()(address + target)) +
                        "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
                    seconds(1));
    return connection.read_until("no such text", seconds(1));
}

bool is_from_endpoint(const std::string& response)
{
    return response.starts_with("HTTP/1.1 200") &&
           response.find("X-Pollenhaven-Server-Signature") != std::string::npos;
}

// Adds a route of a customer whose paths are those of the daemon's own calls.
void add_route_with_own_paths(const fleet& deployment)
{
    deployment.write_configuration(2, "/v1/");
    BOOST_REQUIRE(fleet::wait_for(
        [&]
        {
            return is_from_endpoint(
                send_as_caller(deployment.caller_address(0), "GET", "/v1/tickets/1"));
        },
        change_bound));
}

void check_route_is_served(const fleet& deployment)
{
    for (const char* const target :
         {"/v1/resolve", "/v1/resolve?ticket=17", "/v1/readyz", "/v1/entry"})
        BOOST_TEST(
            is_from_endpoint(send_as_caller(deployment.caller_address(0), "GET", target)),
            target);
    for (const char* const target : {"/v1/services/other/1", "/v1/completions"})
        BOOST_TEST(is_from_endpoint(
                       send_as_caller(deployment.caller_address(0), "POST", target)),
                   target);
}

} // namespace

// Guards against the daemon answering a request itself that belongs to a customer's route
// (MIXED), because the route has the path of one of the daemon's own calls.
BOOST_AUTO_TEST_CASE(a_route_may_have_the_paths_of_the_daemons_calls)
{
    fleet_options options;
    options.separate_addresses = true;
    const fleet deployment(options);
    add_route_with_own_paths(deployment);
    check_route_is_served(deployment);
    BOOST_TEST(get(deployment.readiness_address(0), "/v1/readyz").status == 200);
    BOOST_TEST(get(deployment.directory_address(0), "/v1/resolve?name=x").status == 200);
}

// Guards against requests that are served at an address which isn't for them.
BOOST_AUTO_TEST_CASE(an_address_serves_its_own_calls_only)
{
    fleet_options options;
    options.separate_addresses = true;
    const fleet deployment(options);
    BOOST_TEST(get(deployment.caller_address(0), "/v1/readyz").status == 404);
    BOOST_TEST(get(deployment.caller_address(0), "/v1/resolve?name=x").status == 404);
    BOOST_TEST(get(deployment.readiness_address(0), "/v1/resolve?name=x").status == 404);
    BOOST_TEST(get(deployment.directory_address(0), "/v1/readyz").status == 404);
    BOOST_TEST(send_as_caller(deployment.directory_address(0), "POST", "/orders/1")
                   .starts_with("HTTP/1.1 404"));
}

// Guards against the same where callers share their address with the daemon's calls: a
// route of the request's host and path goes first, and other hosts reach the daemon.
BOOST_AUTO_TEST_CASE(a_route_goes_before_the_daemons_calls_at_a_shared_address)
{
    const fleet deployment;
    add_route_with_own_paths(deployment);
    check_route_is_served(deployment);
    BOOST_TEST(get(deployment.caller_address(0), "/v1/readyz").status == 200);
    BOOST_TEST(get(deployment.caller_address(0), "/v1/resolve?name=x").status == 200);
}
