#include "tests/contract/flow_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace pollenhaven;
using namespace pollenhaven::contract;

namespace
{

std::string ok_with_limit(const std::string& limit)
{
    return make_response("200 OK", signature_field + "Server-Limit: " + limit + "\r\n",
                         "fine");
}

// A daemon that is alone in its fleet, and so gives the permits for all endpoints.
struct permit_fixture : flow_fixture
{
    permit_fixture() { context.fleet.members[{"daemon"}].leased = true; }

    limit_view& limit_of(const std::string& endpoint)
    {
        return context.fleet.endpoints.at({endpoint}).limit;
    }

    permit_message ask(std::uint64_t endpoint_started_ms = 0)
    {
        permit_request_message request;
        request.sender = {"peer"};
        request.endpoint = {"i-1"};
        request.endpoint_started_ms = endpoint_started_ms;
        request.limit = {2};
        request.limit_age = milliseconds(100);
        sent.clear();
        permits.on_request(request);
        return std::get<permit_message>(sent.at(0));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(request_permits_of_a_daemon, permit_fixture)

// Guards against requests beyond a stated limit, and against callers that wait for a
// permit that can't come in time.
BOOST_AUTO_TEST_CASE(requests_beyond_the_limit_are_refused_at_once)
{
    add_endpoint("i-1", "plain", first);
    first.scripts = {{ok_with_limit("2")}};
    for (int request = 0; request < 3; ++request)
        BOOST_TEST(contains(send_request("/once/1"), "HTTP/1.1 200"));
    const instant began = boot_clock::now();
    const std::string refused = send_request("/once/1");
    BOOST_TEST((boot_clock::now() - began < milliseconds(300)));
    BOOST_TEST(contains(refused, "HTTP/1.1 503"));
    BOOST_TEST(contains(refused, "Retry-After: 0."));
    BOOST_TEST(contains(refused, "request_limit"));
    // The first request made the limit known, and two keep to it.
    BOOST_TEST(first.requests.size() == 3U);
}

BOOST_AUTO_TEST_CASE(requests_beyond_the_limit_go_to_an_endpoint_without_one)
{
    add_endpoints("plain");
    first.scripts = {{ok_with_limit("1")}};
    second.scripts = {{ok_response}};
    for (int request = 0; request < 6; ++request)
        BOOST_TEST(contains(send_request("/once/1"), "HTTP/1.1 200"));
    BOOST_TEST(first.requests.size() <= 2U);
    BOOST_TEST(second.requests.size() >= 4U);
}

// Guards against second attempts that don't count.
BOOST_AUTO_TEST_CASE(a_second_attempt_needs_a_permit_too)
{
    add_endpoints("plain");
    first.scripts = {{make_response("500 Error", signature_field, "failed")}};
    second.scripts = {{ok_with_limit("1")}};
    set_limit(limit_of("i-2"), {1}, context.loop.now());
    const std::size_t requests = 4;
    for (std::size_t request = 0; request < requests; ++request)
        send_request("/look/1");
    BOOST_TEST(second.requests.size() <= 2U);
}

BOOST_AUTO_TEST_CASE(peers_are_told_a_limit_once_and_its_end)
{
    add_endpoint("i-1", "plain", first);
    first.scripts = {{ok_with_limit("2")}, {ok_with_limit("2")}, {ok_response}};
    send_request("/once/1");
    send_request("/once/1");
    BOOST_TEST_REQUIRE(broadcasts.size() == 1U);
    const auto& told = std::get<endpoint_limit_message>(broadcasts[0]);
    BOOST_TEST(told.endpoint.value == "i-1");
    BOOST_TEST(told.limit->per_second == 2);
    send_request("/once/1");
    BOOST_TEST_REQUIRE(broadcasts.size() == 2U);
    BOOST_TEST(!std::get<endpoint_limit_message>(broadcasts[1]).limit.has_value());
    BOOST_TEST(!limit_of("i-1").stated.has_value());
}

BOOST_AUTO_TEST_CASE(a_malformed_limit_changes_nothing)
{
    add_endpoint("i-1", "plain", first);
    first.scripts = {{ok_with_limit("2")}, {ok_with_limit("many")}};
    send_request("/once/1");
    send_request("/once/1");
    BOOST_TEST(limit_of("i-1").stated->rate.per_second == 2);
}

// A giver that has just started learns the limit from the daemons that ask it.
BOOST_AUTO_TEST_CASE(a_giver_learns_a_limit_from_the_daemon_that_asks)
{
    add_endpoint("i-1", "plain", first);
    const permit_message answer = ask();
    BOOST_TEST(answer.is_limited);
    BOOST_TEST(answer.number.value > 0U);
    BOOST_TEST(limit_of("i-1").stated->rate.per_second == 2);
}

BOOST_AUTO_TEST_CASE(a_limit_of_an_earlier_start_of_the_endpoint_is_ignored)
{
    add_endpoint("i-1", "plain", first);
    context.fleet.endpoints.at({"i-1"}).record.started_ms = 7;
    BOOST_TEST(ask(6).number.value == 0U);
    endpoint_limit_message told;
    told.sender = {"peer"};
    told.endpoint = {"i-1"};
    told.endpoint_started_ms = 6;
    told.limit = request_rate{1};
    permits.on_limit(told);
    BOOST_TEST(!limit_of("i-1").stated.has_value());
}

// Guards against two givers at a time, for example one that peers see as gone.
BOOST_AUTO_TEST_CASE(a_daemon_that_is_not_the_giver_gives_no_permits)
{
    add_endpoint("i-1", "plain", first);
    context.fleet.members.at({"daemon"}).leased = false;
    context.fleet.members[{"peer"}].leased = true;
    BOOST_TEST(ask().number.value == 0U);
}

BOOST_AUTO_TEST_CASE(a_heartbeat_of_the_giver_tells_its_limits)
{
    add_endpoint("i-1", "plain", first);
    context.fleet.members.at({"daemon"}).leased = false;
    context.fleet.members[{"peer"}].leased = true;
    heartbeat_message heartbeat;
    heartbeat.request_limits[{"i-1"}] = {3};
    heartbeat.sender = {"another"};
    permits.on_heartbeat(heartbeat);
    BOOST_TEST(!limit_of("i-1").stated.has_value());
    heartbeat.sender = {"peer"};
    permits.on_heartbeat(heartbeat);
    BOOST_TEST(limit_of("i-1").stated->rate.per_second == 3);
}

BOOST_AUTO_TEST_CASE(messages_about_permits_survive_encoding)
{
    endpoint_limit_message limit{{"d"}, {"i-1"}, 7, request_rate{2.5}, {9}};
    const auto limit_copy =
        std::get<endpoint_limit_message>(decode(encode(fleet_message(limit))));
    BOOST_TEST((limit_copy.limit == limit.limit && limit_copy.permit == limit.permit &&
                limit_copy.endpoint_started_ms == 7U));
    limit.limit.reset();
    BOOST_TEST(
        !std::get<endpoint_limit_message>(decode(encode(fleet_message(limit)))).limit);
    const permit_request_message request{{"d"}, {"i-1"}, 7, {0.5}, milliseconds(12)};
    const auto request_copy =
        std::get<permit_request_message>(decode(encode(fleet_message(request))));
    BOOST_TEST(
        (request_copy.limit == request.limit && request_copy.limit_age.count() == 12));
    const permit_message permit{{"d"}, {"i-1"}, false, {11}, milliseconds(13)};
    const auto permit_copy =
        std::get<permit_message>(decode(encode(fleet_message(permit))));
    BOOST_TEST((!permit_copy.is_limited && permit_copy.number == permit.number &&
                permit_copy.retry_in == permit.retry_in));
    heartbeat_message heartbeat;
    heartbeat.request_limits[{"i-1"}] = {2.5};
    BOOST_TEST(std::get<heartbeat_message>(decode(encode(fleet_message(heartbeat))))
                   .request_limits.at({"i-1"})
                   .per_second == 2.5);
    limit.limit = request_rate{-1};
    BOOST_CHECK_THROW(decode(encode(fleet_message(limit))), std::runtime_error);
}

BOOST_AUTO_TEST_SUITE_END()
