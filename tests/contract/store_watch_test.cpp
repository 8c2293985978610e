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

// A store that answers listings and watches with what it holds. Watches without changes
// wait for good.
struct scripted_store
{
    event_loop& loop;
    network_address address{"127.0.0.1:" + std::to_string(harness::free_port())};
    std::string era = "1";
    std::uint64_t revision = 0;
    // The revision of each key that exists.
    std::map<std::string, std::uint64_t> items;
    // Changes with which the next watch is answered.
    std::map<std::string, std::uint64_t> changes;
    int listings = 0;
    int watches = 0;
    // The next watch is answered without an end.
    bool has_endless_watch = false;
    std::size_t endless_bytes = 0;
    // An item as the store writes it, before the others of each list. Empty: none.
    std::string odd_item;

    explicit scripted_store(event_loop& shared_loop) : loop(shared_loop)
    {
        loop.listen(address,
                    [this](stream_id id)
                    {
                        stream_handlers handlers;
                        handlers.readable = [this](stream_id from) { answer(from); };
                        loop.set_handlers(id, std::move(handlers));
                    });
    }

    std::string list(const std::map<std::string, std::uint64_t>& entries) const
    {
        std::string text = odd_item;
        for (const auto& [key, at] : entries)
            text += (text.empty() ? "" : ",") + (R"({"key":")" + key) +
                    R"(","value":"","revision":)" + std::to_string(at) + "}";
        return "[" + text + "]";
    }

    // Keeps the connection full until the daemon closes it.
    void send_endlessly(stream_id to)
    {
        constexpr std::size_t block_size = 65536;
        constexpr std::size_t max_pending = 4 * block_size;
        while (loop.is_open(to) && loop.pending_output(to) < max_pending)
        {
            loop.send(to, std::string(block_size, ' '));
            endless_bytes += block_size;
        }
        if (loop.is_open(to))
            loop.schedule_after(milliseconds(1), [this, to] { send_endlessly(to); });
    }

    void answer(stream_id from)
    {
        const std::string request = std::exchange(loop.input(from), "");
        const bool is_listing = request.find("kv-range") != std::string::npos;
        ++(is_listing ? listings : watches);
        if (!is_listing && std::exchange(has_endless_watch, false))
        {
            loop.send(from, "HTTP/1.1 200 OK\r\nStore-Era: " + era + "\r\n\r\n");
            return send_endlessly(from);
        }
        if (!is_listing && changes.empty())
            return;
        const std::string body = R"({"items":)" + list(items) + R"(,"events":)" +
                                 list(std::exchange(changes, {})) + R"(,"currentRev":)" +
                                 std::to_string(revision) + "}";
        loop.send(from, "HTTP/1.1 200 OK\r\nStore-Era: " + era + "\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body);
    }
};

// A daemon's watch that has listed a store with the keys op/a and op/b.
struct listed_watch
{
    gateway_context context{
        settings_for({"127.0.0.1:1"}),
        plugin_registry<platform_dialect>::instance().make("fleet", "")};
    scripted_store store{context.loop};
    std::vector<store_item> received;
    std::optional<store_watch> watch;

    explicit listed_watch(const std::string& odd_item = "")
    {
        store.odd_item = odd_item;
        store.items = {{"op/a", 40}, {"op/b", 50}};
        store.revision = 50;
        context.settings.store_address = store.address;
        watch.emplace(context, "op/", watch_timing{},
                      [this](const store_item& item) { received.push_back(item); });
        run_until([this] { return watch->is_loaded(); }, seconds(2));
        received.clear();
    }

    void run_until(const std::function<bool()>& done, milliseconds limit)
    {
        const instant end = boot_clock::now() + limit;
        context.loop.schedule(end, [] {});
        context.loop.run([&] { return done() || boot_clock::now() > end; });
    }

    // What another call of the daemon learns from the store's response.
    void hear_era(const std::string& era)
    {
        http_head head;
        head.fields = {{"Store-Era", era}};
        record_store_era(context, head);
    }

    // Brings the store back with op/a only, at a lower revision.
    void restore_store()
    {
        store.era = "2";
        store.items = {{"op/a", 7}};
        store.revision = 7;
        hear_era("2");
        run_until([this] { return store.listings == 2 && watch->is_loaded(); },
                  seconds(2));
    }

    bool has_received(const std::string& key, bool deleted) const
    {
        for (const store_item& item : received)
            if (item.key == key && item.deleted == deleted)
                return true;
        return false;
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
    context.store.last_response = context.loop.now() - seconds(2);
    record_response(context.store, context.loop.now());
    run_until([this] { return changes > 0; }, configuration_bound);
    BOOST_TEST(changes == 1);
}

// Guards against a configuration that comes late to a daemon whose watch waits on a
// connection that went silent while the store answers everything else (CONFIG). Its peers
// know better.
BOOST_FIXTURE_TEST_CASE(a_watch_is_sent_again_if_peers_know_a_newer_change,
                        silenced_watch)
{
    watch->on_peer_change({{}, {7}});
    run_until([] { return false; }, milliseconds(700));
    BOOST_TEST(store.connections == 1);
    watch->on_peer_change({{}, {9}});
    run_until([this] { return changes > 0; }, configuration_bound);
    BOOST_TEST(changes == 1);
    BOOST_TEST(watch->newest_change().revision.value == 9U);
    // A peer that claims to know more than the store has costs a call now and then, no
    // flood.
    watch->on_peer_change({{}, {1000}});
    run_until([] { return false; }, seconds(4));
    BOOST_TEST(store.connections <= 5);
}

// Guards against a configuration that comes late to all daemons, whose watches wait on
// connections that went silent together while the store answers everything else (CONFIG).
// No peer knows better; one that leads must notice.
BOOST_FIXTURE_TEST_CASE(a_silent_watch_of_a_daemon_that_leads_is_replaced_in_time,
                        silenced_watch)
{
    watch_timing timing;
    timing.leading_wait = leading_watch_wait;
    int leading_changes = 0;
    store_watch leading(context, "op/", timing,
                        [&](const store_item&) { ++leading_changes; });
    run_until([&] { return leading.is_loaded(); }, seconds(2));
    run_until([&] { return leading_changes > 0; }, configuration_bound);
    BOOST_TEST(leading_changes == 1);
    BOOST_TEST(changes == 0);
}

// Guards against changes of a restored store that are taken for old ones, because their
// revisions are lower than those known from before (CONFIG).
BOOST_FIXTURE_TEST_CASE(a_restored_store_is_listed_again_and_its_revisions_count,
                        listed_watch)
{
    restore_store();
    BOOST_TEST(has_received("op/a", false));
    BOOST_TEST(has_received("op/b", true));
    BOOST_TEST((watch->known_position() == store_position{{2}, {7}}));
}

// Guards against changes that are missed if the restored store has counted past the
// revision from which a daemon asks: there is no 410 then.
BOOST_FIXTURE_TEST_CASE(a_response_of_a_new_era_to_an_old_watch_leads_to_a_listing,
                        listed_watch)
{
    store.era = "2";
    store.items = {{"op/a", 7}, {"op/c", 60}};
    store.revision = 60;
    context.store.silence_ended = context.loop.now() + seconds(1);
    store.changes = {{"op/c", 60}};
    run_until([this] { return has_received("op/a", false); }, configuration_bound);
    BOOST_TEST(has_received("op/a", false));
    BOOST_TEST(has_received("op/b", true));
    BOOST_TEST(has_received("op/c", false));
}

BOOST_FIXTURE_TEST_CASE(a_response_of_an_earlier_era_is_not_used, listed_watch)
{
    hear_era("3");
    run_until([] { return false; }, seconds(1));
    BOOST_TEST(!watch->is_loaded());
    BOOST_TEST(received.empty());
    store.era = "3";
    run_until([this] { return watch->is_loaded(); }, seconds(3));
    BOOST_TEST(watch->is_loaded());
}

BOOST_FIXTURE_TEST_CASE(a_missing_or_malformed_era_changes_nothing, listed_watch)
{
    for (const char* const era : {"", "two", "-1", "2.5"})
        hear_era(era);
    BOOST_TEST(context.fleet.era.value == 1U);
    run_until([] { return false; }, milliseconds(600));
    BOOST_TEST(watch->is_loaded());
    BOOST_TEST(store.listings == 1);
}

// Guards against a peer of an earlier era that leads a daemon back.
BOOST_FIXTURE_TEST_CASE(a_peers_change_of_an_earlier_era_is_no_news, listed_watch)
{
    restore_store();
    received.clear();
    watch->apply_from_peer({"op/a", "old", {40}, false, {1}});
    watch->on_peer_change({{1}, {90}});
    run_until([] { return false; }, seconds(2));
    BOOST_TEST(received.empty());
    BOOST_TEST(store.listings == 2);
}

// Guards against a daemon whose memory is filled by a response of the store that doesn't
// end, and against changes that are lost because the response that had them was too long.
BOOST_FIXTURE_TEST_CASE(a_watch_response_without_end_leads_to_a_listing, listed_watch)
{
    // What the kernel's buffers hold on both sides, and the daemon itself.
    constexpr std::size_t max_taken_bytes = 32UL << 20U;
    store.has_endless_watch = true;
    store.items = {{"op/a", 40}, {"op/c", 60}};
    store.revision = 60;
    // The watch that waits is sent again.
    context.store.silence_ended = context.loop.now() + seconds(1);
    run_until([this] { return has_received("op/c", false); }, seconds(4));
    BOOST_TEST(store.endless_bytes > 0U);
    BOOST_TEST(store.endless_bytes < max_taken_bytes);
    BOOST_TEST(store.listings == 2);
    BOOST_TEST(has_received("op/b", true));
    BOOST_TEST(has_received("op/c", false));
}

// Guards against an odd item of another writer that keeps a daemon from listing, or from
// following the changes of the other keys.
BOOST_AUTO_TEST_CASE(a_list_with_an_odd_item_is_listed_and_followed)
{
    for (const std::string odd : {R"({"key":"op/odd","revision":3,"value":"!!"})",
                                  R"({"key":"op/odd","revision":-1,"value":""})",
                                  R"({"key":7,"revision":3})", "[]"})
    {
        listed_watch daemon(odd);
        BOOST_TEST(daemon.watch->is_loaded(), odd);
        daemon.store.changes = {{"op/c", 70}};
        daemon.store.revision = 70;
        // The daemon sends its pending call again.
        daemon.context.store.silence_ended = daemon.context.loop.now() + seconds(1);
        daemon.run_until([&] { return daemon.has_received("op/c", false); },
                         configuration_bound);
        BOOST_TEST(daemon.has_received("op/c", false), odd);
        BOOST_TEST((daemon.watch->known_position() == store_position{{1}, {70}}), odd);
    }
}

// Guards against a key that is shorter than the prefix that its reader cuts off.
BOOST_FIXTURE_TEST_CASE(a_key_outside_of_the_watched_prefix_is_ignored, listed_watch)
{
    watch->apply_from_peer({"o", "value", {90}, false, {1}});
    store.changes = {{"other", 60}, {"op/c", 70}};
    store.revision = 70;
    context.store.silence_ended = context.loop.now() + seconds(1);
    run_until([this] { return has_received("op/c", false); }, configuration_bound);
    BOOST_REQUIRE(received.size() == 1U);
    BOOST_TEST(received.front().key == "op/c");
}

// Guards against store calls that grow with the fleet: a daemon whose zone has two others
// that watch makes no call of its own, until it misses a change or hears nothing.
BOOST_AUTO_TEST_CASE(a_daemon_watches_itself_only_when_it_can_not_follow)
{
    listed_watch listed;
    for (const char* const name : {"a-first", "a-second"})
        listed.context.fleet.members[{name}].leased = true;
    const auto news = [&](std::uint64_t after, std::uint64_t position)
    {
        const store_era era = listed.context.fleet.era;
        watch_news result{"op/", {era, {after}}, {era, {position}}, {}};
        if (position > after)
            result.items.push_back({"op/a", "", {position}, false, era});
        return result;
    };
    // The call that was pending is answered first.
    listed.watch->follow(news(50, 51));
    listed.store.changes = {{"op/b", 52}};
    listed.store.revision = 52;
    BOOST_TEST(listed.received.size() == 1U);
    listed.watch->follow(news(51, 53));
    listed.watch->follow(news(53, 53));
    listed.run_until([] { return false; }, milliseconds(600));
    listed.watch->follow(news(53, 54));
    BOOST_TEST(listed.received.size() == 4U);
    BOOST_TEST(listed.watch->known_position().revision.value == 54U);
    BOOST_TEST(listed.store.watches == 1);
    // A gap.
    listed.watch->follow(news(60, 61));
    listed.run_until([&] { return listed.store.watches > 1; }, seconds(2));
    BOOST_TEST(listed.store.watches == 2);
    BOOST_TEST(listed.received.size() == 4U);
}

// Guards against an endpoint that has left and is in use again: messages about its entry
// and about its removal overtake each other.
BOOST_AUTO_TEST_CASE(a_late_message_does_not_bring_a_removed_key_back)
{
    listed_watch listed;
    const store_era era = listed.context.fleet.era;
    listed.watch->follow(
        {"op/", {era, {50}}, {era, {60}}, {{"op/a", "", {60}, true, era}}});
    BOOST_REQUIRE(listed.received.size() == 1U);
    BOOST_TEST(listed.received.back().deleted);
    listed.watch->follow(
        {"op/", {era, {50}}, {era, {55}}, {{"op/a", "", {55}, false, era}}});
    BOOST_TEST(listed.received.size() == 1U);
}

// Guards against an endpoint that has left and is in use again: a peer that stood still
// answers a question with the entry from before the removal (DRAIN).
BOOST_AUTO_TEST_CASE(a_late_answer_of_a_peer_does_not_bring_a_removed_key_back)
{
    listed_watch listed;
    const store_era era = listed.context.fleet.era;
    listed.watch->follow(
        {"op/", {era, {50}}, {era, {61}}, {{"op/a", "", {60}, true, era}}});
    BOOST_REQUIRE(listed.received.size() == 1U);
    BOOST_TEST(listed.received.back().deleted);
    listed.watch->apply_from_peer({"op/a", "", {40}, false, era});
    listed.watch->apply_from_peer({"op/a", "", {59}, false, era});
    BOOST_TEST(listed.received.size() == 1U);
    listed.watch->apply_from_peer({"op/a", "", {62}, false, era});
    BOOST_TEST(listed.received.size() == 2U);
}

// As above, at a daemon that doesn't reach the store and has learned of the removal from
// another peer.
BOOST_AUTO_TEST_CASE(an_older_item_of_a_peer_does_not_undo_a_removal_known_from_another)
{
    listed_watch listed;
    const store_era era = listed.context.fleet.era;
    listed.watch->apply_from_peer({"op/a", "", {55}, false, era});
    listed.watch->apply_from_peer({"op/a", "", {60}, true, era});
    listed.watch->apply_from_peer({"op/a", "", {58}, false, era});
    BOOST_REQUIRE(listed.received.size() == 2U);
    BOOST_TEST(listed.received.back().deleted);
    // The removal of a key that this daemon has never known.
    listed.watch->apply_from_peer({"op/unknown", "", {60}, true, era});
    listed.watch->apply_from_peer({"op/unknown", "", {57}, false, era});
    BOOST_TEST(listed.received.size() == 2U);
    // A restored store counts anew.
    listed.watch->apply_from_peer({"op/a", "", {40}, false, {era.value + 1}});
    BOOST_TEST(listed.received.size() == 3U);
}

BOOST_AUTO_TEST_CASE(a_daemon_that_watches_for_others_passes_on_what_changed)
{
    listed_watch listed;
    int told = 0;
    listed.watch->on_news([&] { ++told; });
    listed.watch->pass_on([](const store_item& item) { return item.key != "op/b"; });
    const std::optional<watch_news> first = listed.watch->take_news();
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(first->items.empty());
    const store_era era = listed.context.fleet.era;
    listed.watch->apply_from_peer({"op/a", "", {51}, false, era});
    listed.watch->apply_from_peer({"op/b", "", {52}, false, era});
    const std::optional<watch_news> second = listed.watch->take_news();
    BOOST_REQUIRE(second.has_value());
    BOOST_REQUIRE(second->items.size() == 1U);
    BOOST_TEST(second->items.front().key == "op/a");
    BOOST_TEST((second->after == first->position));
    // Others of the zone come first, so this daemon follows.
    for (const char* const name : {"a-first", "a-second"})
        listed.context.fleet.members[{name}].leased = true;
    BOOST_TEST(!listed.watch->take_news().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
