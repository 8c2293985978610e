#include "tests/contract/flow_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace pollenhaven;
using namespace pollenhaven::contract;

namespace
{

// A daemon whose configuration has customers: "known" with the key k1, and "limited" with
// k2 and a quota of two requests. It is alone and so keeps the ledgers itself.
struct customer_fixture : flow_fixture
{
    customer_fixture()
    {
        context.fleet.members[{"daemon"}].id = {"daemon"};
        context.fleet.members[{"daemon"}].leased = true;
        add_endpoint("i-1", "plain", first);
        first.scripts = {{ok_response}};
        set_customers({{"known", "k1"}, {"limited", "k2"}});
        quotas.run_periodic_work();
    }

    void set_customers(const std::map<std::string, std::string>& keys)
    {
        routing_table table = *context.routing;
        table.version = {table.version.value + 1};
        table.customers.emplace();
        for (const auto& [name, key] : keys)
        {
            table.customers->customers[{name}] = {{name}, 0, std::nullopt};
            add_key(*table.customers, key, {name});
        }
        if (keys.contains("limited"))
            table.customers->customers.at({"limited"}).quota = {1, 2,
                                                                quota_unit::requests, 1};
        context.routing = std::make_shared<const routing_table>(table);
    }

    std::string send_with(const std::string& fields)
    {
        return send_request("/once/1", fields);
    }

    void wait_for_credit()
    {
        run_until([] { return false; }, milliseconds(2100));
    }
};

std::string bearer(const std::string& key)
{
    return "Authorization: Bearer " + key + "\r\n";
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(customer_flow, customer_fixture)

// Guards against endpoints that get callers' keys, or a customer's name that the caller
// made up (UNASKED).
BOOST_AUTO_TEST_CASE(endpoints_get_the_customers_name_and_never_the_key)
{
    const std::string response = send_with("X-Pollenhaven-Tenant: other\r\n" +
                                           bearer("k1") + "X-Pollenhaven-tenant: me\r\n");
    BOOST_TEST(contains(response, "HTTP/1.1 200"));
    BOOST_REQUIRE(first.requests.size() == 1U);
    const std::string& request = first.requests.front();
    BOOST_TEST(contains(request, "X-Pollenhaven-Tenant: known\r\n"));
    BOOST_TEST(!contains(request, "other"));
    BOOST_TEST(!contains(request, ": me"));
    BOOST_TEST(!contains(request, "k1"));
    BOOST_TEST(contains(send_with("authorization: bEARER k1\r\n"), "HTTP/1.1 200"));
    BOOST_TEST(!contains(first.requests.back(), "k1"));
}

// Guards against requests that run with a key that no configuration has (ROUTE), in any
// odd form.
BOOST_AUTO_TEST_CASE(requests_without_a_known_key_get_401)
{
    const std::vector<std::string> refused{"",
                                           bearer("k3"),
                                           bearer("k1") + bearer("k1"),
                                           bearer("k1") + bearer("k2"),
                                           bearer("k1 k2"),
                                           bearer(""),
                                           "Authorization: k1\r\n",
                                           "Authorization: Basic k1\r\n",
                                           "Authorization: Bearerk1\r\n",
                                           "Proxy-Authorization: Bearer k1\r\n",
                                           bearer(std::string(8000, 'k'))};
    for (const std::string& fields : refused)
    {
        const std::string response = send_with(fields);
        BOOST_TEST(contains(response, "HTTP/1.1 401"), fields);
        BOOST_TEST(contains(response, "WWW-Authenticate: Bearer"), fields);
        BOOST_TEST(!contains(response, "k1"), fields);
    }
    BOOST_TEST(contains(send_request("/once/1?key=k1"), "HTTP/1.1 401"));
    BOOST_TEST(first.requests.empty());
}

// Guards against a 401 of a daemon that has no configuration yet (DENIED).
BOOST_AUTO_TEST_CASE(a_daemon_without_a_configuration_answers_503)
{
    context.routing = nullptr;
    BOOST_TEST(contains(send_with(bearer("k1")), "HTTP/1.1 503"));
}

BOOST_AUTO_TEST_CASE(a_public_route_needs_no_key_and_passes_none_on)
{
    routing_table table = *context.routing;
    for (route& changed : table.routes)
        changed.is_public = true;
    context.routing = std::make_shared<const routing_table>(table);
    BOOST_TEST(contains(send_with("X-Pollenhaven-Tenant: me\r\n"), "HTTP/1.1 200"));
    BOOST_TEST(!contains(first.requests.back(), "Tenant"));
    BOOST_TEST(contains(send_with(bearer("unknown")), "HTTP/1.1 200"));
    BOOST_TEST(!contains(first.requests.back(), "unknown"));
    BOOST_TEST(contains(send_with(bearer("k1")), "HTTP/1.1 200"));
    BOOST_TEST(contains(first.requests.back(), "X-Pollenhaven-Tenant: known\r\n"));
}

// Guards against a change for deployments that have no customers.
BOOST_AUTO_TEST_CASE(without_customers_the_field_is_passed_on)
{
    routing_table table = *context.routing;
    table.customers.reset();
    context.routing = std::make_shared<const routing_table>(table);
    BOOST_TEST(contains(send_with(bearer("own")), "HTTP/1.1 200"));
    BOOST_TEST(contains(first.requests.back(), "Authorization: Bearer own\r\n"));
}

// Guards against a request that is sent with a key that was withdrawn while it waited
// (CONFIG).
BOOST_AUTO_TEST_CASE(a_request_that_waits_is_refused_once_its_key_is_withdrawn)
{
    context.fleet.endpoints.clear();
    context.loop.schedule_after(milliseconds(50),
                                [this]
                                {
                                    set_customers({{"limited", "k2"}});
                                    add_endpoint("i-1", "plain", first);
                                });
    BOOST_TEST(contains(send_with(bearer("k1")), "HTTP/1.1 401"));
    BOOST_TEST(first.requests.empty());
}

// Guards against a customer that gets more than its quota, and against a 429 that doesn't
// say when there is credit again.
BOOST_AUTO_TEST_CASE(requests_beyond_the_quota_get_429_with_the_time_of_the_next_credit)
{
    wait_for_credit();
    for (int request = 0; request < 2; ++request)
        BOOST_TEST(contains(send_with(bearer("k2")), "HTTP/1.1 200"));
    const std::string refused = send_with(bearer("k2"));
    BOOST_TEST(contains(refused, "HTTP/1.1 429"));
    BOOST_TEST(contains(refused, "Retry-After: "));
    BOOST_TEST(contains(refused, "over_quota"));
    BOOST_TEST(first.requests.size() == 2U);
    BOOST_TEST(contains(send_with(bearer("k1")), "HTTP/1.1 200"));
    const std::vector<customer_usage> usage = quotas.usage();
    BOOST_REQUIRE(usage.size() == 2U);
    BOOST_TEST(usage.at(1).refused == 1);
    BOOST_TEST(usage.at(1).charged == 2);
}

// Guards against credit that is lost with requests that didn't run.
BOOST_AUTO_TEST_CASE(a_refused_request_gives_its_credit_back)
{
    wait_for_credit();
    for (int request = 0; request < 5; ++request)
        quotas.charge(context.routing->customers->customers.at({"limited"}), 1,
                      context.loop.now() + seconds(1),
                      [this](const charge_decision& decision)
                      {
                          BOOST_TEST((decision.outcome == charge_outcome::granted));
                          quotas.give_back({"limited"}, decision.charge);
                      });
}

// Guards against requests that wait forever, or get a 429 although they may be within
// their quota, while the customer's keeper is silent.
BOOST_AUTO_TEST_CASE(a_silent_keeper_is_asked_again_and_then_the_request_gets_503)
{
    context.fleet.members.at({"daemon"}).leased = false;
    context.fleet.members[{"keeper"}].id = {"keeper"};
    context.fleet.members[{"keeper"}].leased = true;
    sent.clear();
    const std::string refused = send_with(bearer("k2"));
    BOOST_TEST(contains(refused, "HTTP/1.1 503"));
    BOOST_TEST(contains(refused, "quota_unknown"));
    BOOST_TEST(sent.size() >= 3U);
    // A daemon that isn't the keeper by its own view gives no credit.
    sent.clear();
    quotas.on_question({{"peer"}, {"limited"}, {1, 2}, {{1}, 1, 1, 0}});
    BOOST_TEST(sent.empty());
}

BOOST_AUTO_TEST_SUITE_END()
