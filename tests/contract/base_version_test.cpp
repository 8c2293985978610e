#include "servers/gateway/base_versions.hpp"

#include "tests/contract/flow_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace pollenhaven;
using namespace pollenhaven::contract;

namespace
{

store_item entry(const std::string& value, std::uint64_t revision)
{
    store_item item;
    item.key = std::string(base_version_prefix) + "assistant";
    item.value = value;
    item.revision = {revision};
    return item;
}

} // namespace

BOOST_AUTO_TEST_SUITE(base_version_entries)

// Guards against a base version that goes back because the store does (ORDER): a daemon
// that isn't the first member knows the later change, and writes it again.
BOOST_AUTO_TEST_CASE(any_member_repeats_a_change_that_the_restored_store_has_lost)
{
    flow_fixture test;
    test.context.settings.store_address = test.first.address;
    test.first.scripts = {
        {"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{\"revision\": 12}"}};
    member_view& first = test.context.fleet.members[{"a"}];
    first.id = {"a"};
    first.leased = true;
    base_versions versions(test.context, [] { return true; });
    versions.on_item(entry(R"({"version":"v1"})", 10));
    versions.on_item(entry(R"({"version":"v2","number":1,"settled_era":1})", 20));
    versions.run_periodic_work();
    test.run_until([] { return false; }, milliseconds(600));
    BOOST_TEST(test.first.requests.empty());

    versions.on_item(entry(R"({"version":"v1"})", 10));
    versions.run_periodic_work();
    test.run_until([&] { return !test.first.requests.empty(); }, seconds(1));
    BOOST_REQUIRE(test.first.requests.size() == 1U);
    BOOST_TEST(contains(test.first.requests[0], "pollenhaven/versions/assistant"));
    const base_version& known = test.context.fleet.base_versions.at({"assistant"});
    BOOST_TEST(known.version.value == "v2");
    BOOST_TEST(known.settled_era.value == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
