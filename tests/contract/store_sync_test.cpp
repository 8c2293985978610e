#include "core/plugin_registry.hpp"
#include "servers/gateway/store_sync.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace pollenhaven;

namespace
{

constexpr const char* prefix = "op/";

// The store watch and store sync of one daemon, without a store. The test supplies the
// items and records the messages that are sent to peers.
struct syncing_daemon
{
    gateway_context context;
    std::vector<store_item> received_items;
    store_watch watch;
    std::vector<fleet_message> sent;
    store_sync sync;

    static gateway_settings settings(const std::string& id)
    {
        gateway_settings result;
        result.id = {id};
        result.peer_address = {"127.0.0.1:1"};
        result.store_address = {"127.0.0.1:1"};
        result.seeds = {{"127.0.0.1:2"}};
        return result;
    }

    explicit syncing_daemon(const std::string& id)
        : context(settings(id),
                  plugin_registry<platform_dialect>::instance().make("fleet", "")),
          watch(context, prefix, watch_timing{},
                [this](const store_item& item) { received_items.push_back(item); }),
          sync(context, [this](const network_address&, const fleet_message& message)
               { sent.push_back(message); })
    {
        watch.retain_items();
        sync.add_watch(watch);
    }
};

// The chunk messages in which a peer would send one item.
std::vector<sync_chunk_message> chunks_of(const std::string& key,
                                          const std::string& value,
                                          std::uint64_t revision, std::size_t size)
{
    std::vector<sync_chunk_message> chunks;
    for (std::size_t offset = 0; offset < value.size(); offset += size)
    {
        sync_chunk_message chunk;
        chunk.sender = {"peer"};
        chunk.prefix = prefix;
        chunk.key = key;
        chunk.position.revision = {revision};
        chunk.value_bytes = value.size();
        chunk.offset = offset;
        chunk.bytes = value.substr(offset, size);
        chunk.item_count = 1;
        chunk.response_position = {{}, {revision}};
        chunks.push_back(chunk);
    }
    return chunks;
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_sync_tests)

BOOST_AUTO_TEST_CASE(an_item_is_assembled_from_chunks_in_any_order)
{
    syncing_daemon daemon("asker");
    const std::string value(50000, 'v');
    std::vector<sync_chunk_message> chunks = chunks_of("op/config", value, 9, 8192);
    std::shuffle(chunks.begin(), chunks.end(), std::mt19937_64(1));
    for (const sync_chunk_message& chunk : chunks)
    {
        BOOST_TEST(daemon.received_items.empty());
        daemon.sync.on_chunk(chunk);
        if (chunk.offset != chunks.back().offset)
            daemon.sync.on_chunk(chunk);
    }
    BOOST_REQUIRE(daemon.received_items.size() == 1U);
    BOOST_TEST(daemon.received_items.front().value == value);
    BOOST_TEST(daemon.received_items.front().revision.value == 9U);
}

BOOST_AUTO_TEST_CASE(an_item_older_than_the_known_revision_is_ignored)
{
    syncing_daemon daemon("asker");
    daemon.watch.apply_from_peer({"op/config", "new", {9}, false});
    for (const sync_chunk_message& chunk : chunks_of("op/config", "old", 8, 100))
        daemon.sync.on_chunk(chunk);
    BOOST_TEST(daemon.received_items.size() == 1U);
    for (const sync_chunk_message& chunk : chunks_of("op/config", "newer", 10, 100))
        daemon.sync.on_chunk(chunk);
    BOOST_REQUIRE(daemon.received_items.size() == 2U);
    BOOST_TEST(daemon.received_items.back().value == "newer");
}

BOOST_AUTO_TEST_CASE(a_daemon_without_store_and_peers_sends_a_sync_request_to_a_seed)
{
    syncing_daemon daemon("asker");
    daemon.sync.run_periodic_work();
    BOOST_REQUIRE(daemon.sent.size() == 1U);
    const auto& request = std::get<sync_request_message>(daemon.sent.front());
    BOOST_TEST(request.prefix == prefix);
    BOOST_TEST((request.after == store_position{}));
    BOOST_TEST(request.reply_to.value == "127.0.0.1:1");
}

BOOST_AUTO_TEST_CASE(a_daemon_with_a_recent_store_response_sends_no_sync_request)
{
    syncing_daemon daemon("asker");
    record_response(daemon.context.store, daemon.context.loop.now());
    daemon.sync.run_periodic_work();
    BOOST_TEST(daemon.sent.empty());
}

// Before its first full listing the daemon has only part of the items, and the peer would
// take the response for the complete set.
BOOST_AUTO_TEST_CASE(a_daemon_without_a_full_listing_ignores_sync_requests)
{
    syncing_daemon daemon("asked");
    daemon.watch.apply_from_peer({"op/config", "value", {9}, false});
    daemon.sync.on_request({{"asker"}, {"127.0.0.1:3"}, prefix, {0}});
    BOOST_TEST(daemon.sent.empty());
}

BOOST_AUTO_TEST_SUITE_END()
