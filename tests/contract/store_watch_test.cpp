#include "core/plugin_registry.hpp"
#include "servers/gateway/store_watch.hpp"
#include "tests/harness/process.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <optional>

using namespace pollenhaven;

namespace
{

// A store that never responds on its first connections and responds on all later ones.
struct initially_unresponsive_store
{
    event_loop& loop;
    network_address address{"127.0.0.1:" + std::to_string(harness::free_port())};
    int unresponsive_connections;
    int connections = 0;
    // If set, each connection ignores its calls beyond this number, and all calls but the
    // first ones get a change.
    int listings = 0;
    int ignored_calls = 0;
    std::map<std::uint64_t, int> calls;

    initially_unresponsive_store(event_loop& shared_loop, int unresponsive)
        : loop(shared_loop), unresponsive_connections(unresponsive)
    {
        loop.listen(address, [this](stream_id id) { accept(id); });
    }

    void accept(stream_id id)
    {
        if (++connections <= unresponsive_connections)
            return;
        stream_handlers handlers;
        handlers.readable = [this](stream_id from)
        {
            loop.input(from).clear();
            if (listings > 0 && ++calls[from.value] > listings)
            {
                ++ignored_calls;
                return;
            }
            const std::string body =
                connections > 1 && listings > 0
                    ? R"({"events":[{"key":"op/a","value":"","revision":9}],"currentRev":9})"
                    : R"({"items":[],"events":[],"currentRev":7})";
            loop.send(from, "HTTP/1.1 200 OK\r\nContent-Length: " +
                                std::to_string(body.size()) + "\r\n\r\n" + body);
        };
        loop.set_handlers(id, std::move(handlers));
    }
};

gateway_settings settings_for(const network_address& store)
{
    gateway_settings settings;
    settings.id = {"daemon"};
    settings.store_address = store;
    return settings;
}

// A daemon's watch whose first connection to the store has gone silent after the listing.
// Each later one gets a change, and is silent then.
struct silenced_watch
{
    gateway_context context{
        settings_for({"127.0.0.1:1"}),
        plugin_registry<platform_dialect>::instance().make("fleet", "")};
    initially_unresponsive_store store{context.loop, 0};
    int changes = 0;
    std::optional<store_watch> watch;

    silenced_watch()
    {
        store.listings = 1;
        context.settings.store_address = store.address;
        watch.emplace(context, "op/", watch_timing{},
                      [this](const store_item&) { ++changes; });
        run_until([this] { return store.ignored_calls == 1; }, seconds(2));
        BOOST_REQUIRE(watch->is_loaded());
    }

    void run_until(const std::function<bool()>& done, milliseconds limit)
    {
        const instant end = boot_clock::now() + limit;
        context.loop.schedule(end, [] {});
        context.loop.run([&] { return done() || boot_clock::now() > end; });
    }
};

// The users' bound for a configuration to be in force.
constexpr milliseconds configuration_bound{2000};

} // namespace

BOOST_AUTO_TEST_SUITE(store_watch_tests)

// Regression test for an incident: all daemons restarted while the store did not respond
// for half a second. They refused callers for two seconds, until the first listing timed
// out and was retried.
BOOST_AUTO_TEST_CASE(a_first_listing_without_a_response_is_retried_within_1200_ms)
{
    gateway_context context(
        settings_for({"127.0.0.1:1"}),
        plugin_registry<platform_dialect>::instance().make("fleet", ""));
    initially_unresponsive_store store(context.loop, 1);
    context.settings.store_address = store.address;
    const instant start = boot_clock::now();
    store_watch watch(context, "op/", watch_timing{}, [](const store_item&) {});
    const instant limit = start + seconds(4);
    context.loop.schedule(limit, [] {});
    context.loop.run([&] { return watch.is_loaded() || boot_clock::now() > limit; });
    BOOST_TEST(watch.is_loaded());
    BOOST_TEST((boot_clock::now() - start < milliseconds(1200)));
}

// Guards against a configuration that comes late to a daemon whose watch was sent while
// the store was silent: the store never answers it, but answers other calls again
// (CONFIG).
BOOST_FIXTURE_TEST_CASE(a_watch_sent_during_a_silence_of_the_store_is_sent_again_after_it,
                        silenced_watch)
{
    // No call of the daemon is answered for two seconds, then one of another connection
    // is.
    context.last_store_response = context.loop.now() - seconds(2);
    record_store_response(context);
    run_until([this] { return changes > 0; }, configuration_bound);
    BOOST_TEST(changes == 1);
}

// Guards against a configuration that comes late to a daemon whose watch waits on a
// connection that went silent while the store answers everything else (CONFIG). Its peers
// know better.
BOOST_FIXTURE_TEST_CASE(a_watch_is_sent_again_if_peers_know_a_newer_change,
                        silenced_watch)
{
    watch->on_peer_change({7});
    run_until([] { return false; }, milliseconds(700));
    BOOST_TEST(store.connections == 1);
    watch->on_peer_change({9});
    run_until([this] { return changes > 0; }, configuration_bound);
    BOOST_TEST(changes == 1);
    BOOST_TEST(watch->newest_change().value == 9U);
    // A peer that claims to know more than the store has costs a call now and then, no
    // flood.
    watch->on_peer_change({1000});
    run_until([] { return false; }, seconds(4));
    BOOST_TEST(store.connections <= 5);
}

BOOST_AUTO_TEST_SUITE_END()
