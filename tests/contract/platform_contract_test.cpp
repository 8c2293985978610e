// What the key-value and instance-list clients owe to their callers, against the
// stand-ins.

#include "core/interfaces/instance_list.hpp"
#include "core/interfaces/key_value_store.hpp"
#include "core/plugin_registry.hpp"
#include "tests/harness/cluster.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <thread>

using namespace pollenhaven;
using harness::control;
using harness::standin;

namespace
{

key_value_store open_store(const std::string& address)
{
    return plugin_registry<key_value_store>::instance().make("etcd_json", address);
}

transaction create(const std::string& key, const std::string& value)
{
    transaction change;
    change.checks.push_back({key, {0}});
    change.puts.push_back({key, value, std::nullopt});
    return change;
}

// A fault of the service, and what a write then has to say.
struct write_fault
{
    const char* name;
    nlohmann::json fault;
    bool answered;
    bool may_have_applied;
    bool applied;
};

std::ostream& operator<<(std::ostream& out, const write_fault& row)
{
    return out << row.name;
}

const std::vector<write_fault> write_faults = {
    {"none", {{"state", "up"}}, true, false, true},
    {"slow", {{"delay_ms", 300}}, true, false, true},
    {"down", {{"state", "down"}}, false, false, false},
    {"silent", {{"state", "hang"}}, false, true, false},
    {"reply lost", {{"lose_replies", 1}}, false, true, true}};

} // namespace

BOOST_AUTO_TEST_SUITE(key_value)

BOOST_DATA_TEST_CASE(a_write_says_whether_it_may_have_applied,
                     boost::unit_test::data::make(write_faults), row)
{
    const standin service("key-value");
    const key_value_store store = open_store(service.address());
    control(service.address(), row.fault);
    bool answered = true;
    bool may_have_applied = false;
    try
    {
        BOOST_TEST(store.commit(create("k", "v")).succeeded);
    }
    catch (const key_value_error& error)
    {
        answered = false;
        may_have_applied = error.may_have_applied();
    }
    BOOST_TEST(answered == row.answered);
    if (!row.answered)
    {
        // Saying "may have" of what can't have is allowed, the other way round is not.
        BOOST_TEST((may_have_applied || !row.applied));
        BOOST_TEST((may_have_applied == row.may_have_applied));
    }
    control(service.address(), {{"state", "up"}, {"delay_ms", 0}, {"lose_replies", 0}});
    BOOST_TEST((store.range("k").values.size() == 1U) == row.applied);
}

BOOST_AUTO_TEST_CASE(compare_and_swap_lets_one_writer_through)
{
    const standin service("key-value");
    const key_value_store store = open_store(service.address());
    const transaction_result first = store.commit(create("k", "one"));
    BOOST_TEST(first.succeeded);
    const transaction_result second = store.commit(create("k", "two"));
    BOOST_TEST(!second.succeeded);
    BOOST_REQUIRE(second.current.size() == 1U);
    BOOST_TEST(second.current.front().value == "one");
    BOOST_TEST((second.current.front().modified == first.revision));
}

BOOST_AUTO_TEST_CASE(any_bytes_come_back_as_they_were)
{
    const standin service("key-value");
    const key_value_store store = open_store(service.address());
    for (std::size_t length = 0; length < 8; ++length)
    {
        std::string value;
        for (std::size_t i = 0; i < length; ++i)
            value += static_cast<char>(i * 83);
        const std::string key = "bytes/" + std::to_string(length);
        store.commit(create(key, value));
        BOOST_TEST((store.range(key).values.front().value == value));
    }
}

BOOST_AUTO_TEST_CASE(a_lapsed_lease_takes_its_keys_with_it)
{
    const standin service("key-value");
    const key_value_store store = open_store(service.address());
    const lease_id lease = store.grant_lease(seconds(1));
    transaction change;
    change.puts.push_back({"leased", "v", lease});
    store.commit(change);
    BOOST_TEST(store.keep_alive(lease));
    BOOST_TEST(store.range("leased").values.size() == 1U);
    BOOST_TEST(harness::eventually([&] { return store.range("leased").values.empty(); }));
    BOOST_TEST(!store.keep_alive(lease));
}

BOOST_AUTO_TEST_CASE(a_watch_tells_of_changes_after_its_revision)
{
    const standin service("key-value");
    const key_value_store store = open_store(service.address());
    const store_revision before = store.commit(create("w/1", "v")).revision;
    std::atomic<bool> stop{false};
    std::atomic<bool> told{false};
    std::thread watcher([&] { told = store.wait_for_change("w/", before, stop); });
    std::this_thread::sleep_for(milliseconds(300));
    BOOST_TEST(!told);
    store.commit(create("w/2", "v"));
    watcher.join();
    BOOST_TEST(told.load());
}

BOOST_AUTO_TEST_CASE(nobody_listening_means_not_applied)
{
    const key_value_store store =
        open_store("127.0.0.1:" + std::to_string(harness::free_port()));
    BOOST_CHECK_EXCEPTION(store.commit(create("k", "v")), key_value_error,
                          [](const key_value_error& error)
                          { return !error.may_have_applied(); });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(instances)

BOOST_AUTO_TEST_CASE(the_list_is_read_and_its_outage_told)
{
    standin service("instances", {"--lag-ms=0"});
    const instance_list list =
        plugin_registry<instance_list>::instance().make("http", service.address());
    control(service.address(), {{"a", "live"}, {"b", "leaving"}});
    BOOST_TEST((list.fetch().at("a") == instance_state::live));
    BOOST_TEST((list.fetch().at("b") == instance_state::leaving));
    control(service.address(), {{"a", "gone"}});
    BOOST_TEST(list.fetch().count("a") == 0U);
    service.program().kill();
    BOOST_CHECK_THROW(list.fetch(), std::runtime_error);
}

BOOST_AUTO_TEST_SUITE_END()
