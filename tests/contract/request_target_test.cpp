// Which part of a daemon responds to a request, by the address at which it arrives.

#include "servers/gateway/request_target.hpp"

#include "tests/contract/flow_fixture.hpp"

#include "core/plugin_registry.hpp"

#include <boost/test/unit_test.hpp>

using namespace pollenhaven;
using namespace pollenhaven::contract;

BOOST_AUTO_TEST_SUITE(request_targets)

// Guards against a daemon's own response to a request on a customer's route (MIXED),
// which may come through a peer, and against requests that are served at an address which
// isn't for them. The host "h" has a route with all paths, the host "d" has none.
BOOST_AUTO_TEST_CASE(the_address_and_the_routes_decide_who_responds)
{
    struct target_case
    {
        const char* address;
        address_roles roles;
        std::string host;
        std::string target;
        request_target expected;
    };
    address_roles readiness;
    readiness.readiness = true;
    address_roles directory;
    directory.directory = true;
    address_roles shared = caller_roles();
    shared.readiness = true;
    shared.directory = true;
    const std::vector<target_case> rows{
        {"callers", caller_roles(), "h", "/v1/resolve", request_target::route},
        {"callers", caller_roles(), "h", "/v1/readyz?x=1", request_target::route},
        {"callers", caller_roles(), "h", "/v1/entry", request_target::route},
        {"callers", caller_roles(), "d", "/v1/resolve", request_target::route},
        {"callers", caller_roles(), "d", "/v1/readyz", request_target::route},
        {"callers", caller_roles(), "d", "/v1/entry", request_target::extra_directory},
        {"peers", peer_roles(), "h", "/v1/resolve", request_target::route},
        {"peers", peer_roles(), "d", "/v1/readyz", request_target::route},
        {"peers", peer_roles(), "d", "/v1/entry", request_target::route},
        {"readiness", readiness, "h", "/v1/readyz", request_target::readiness},
        {"readiness", readiness, "h", "/v1/resolve", request_target::nothing},
        {"readiness", readiness, "h", "/once/1", request_target::nothing},
        {"directory", directory, "h", "/v1/resolve", request_target::directory},
        {"directory", directory, "h", "/v1/readyz", request_target::nothing},
        {"directory", directory, "h", "/v1/entry", request_target::extra_directory},
        {"shared", shared, "h", "/v1/resolve", request_target::route},
        {"shared", shared, "d", "/v1/resolve", request_target::directory},
        {"shared", shared, "d", "/v1/readyz", request_target::readiness},
        {"shared", shared, "d", "/once/1", request_target::route}};
    flow_fixture test;
    test.context.extra_caller_interface =
        plugin_registry<caller_interface>::instance().make("openai", "");
    routing_table table = *test.context.routing;
    flow_fixture::add_route(table, "/", route_kind::idempotent, "plain", 1);
    test.context.routing = std::make_shared<const routing_table>(table);
    for (const target_case& row : rows)
    {
        const http_head head{"GET", row.target, 0, {{"Host", row.host}}};
        BOOST_TEST((target_of_request(test.context, head, row.roles) == row.expected),
                   row.address << ", " << row.host << row.target);
    }
}

// Guards against a role that is lost because the settings give two the same address.
BOOST_AUTO_TEST_CASE(addresses_that_are_the_same_have_all_their_roles)
{
    gateway_settings settings;
    settings.caller_address = {"127.0.0.1:1"};
    settings.readiness_address = {"127.0.0.1:2"};
    settings.directory_address = {"127.0.0.1:1"};
    settings.peer_address = {"127.0.0.1:3"};
    const std::map<network_address, address_roles> roles = roles_by_address(settings);
    BOOST_TEST(roles.size() == 3U);
    BOOST_TEST(roles.at({"127.0.0.1:1"}).callers);
    BOOST_TEST(roles.at({"127.0.0.1:1"}).directory);
    BOOST_TEST(!roles.at({"127.0.0.1:1"}).readiness);
    BOOST_TEST(roles.at({"127.0.0.1:2"}).readiness);
    BOOST_TEST(roles.at({"127.0.0.1:3"}).peers);
    BOOST_TEST(!roles.at({"127.0.0.1:3"}).callers);
}

BOOST_AUTO_TEST_SUITE_END()
