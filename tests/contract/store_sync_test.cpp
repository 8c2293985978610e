#include "core/plugin_registry.hpp"
#include "servers/gateway/store_sync.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace pollenhaven;

namespace
{

constexpr const char* prefix = "op/";

// A daemon's watch and relay, without a store: what it knows is offered by hand.
struct relaying_daemon
{
    gateway_context context;
    std::vector<store_item> seen;
    store_watch watch;
    std::vector<fleet_message> sent;
    store_sync relay;

    static gateway_settings settings(const std::string& id)
    {
        gateway_settings result;
        result.id = {id};
        result.peer_address = {"127.0.0.1:1"};
        result.store_address = {"127.0.0.1:1"};
        result.seeds = {{"127.0.0.1:2"}};
        return result;
    }

    explicit relaying_daemon(const std::string& id)
        : context(settings(id),
                  plugin_registry<platform_dialect>::instance().make("fleet", "")),
          watch(context, prefix, watch_timing{},
                [this](const store_item& item) { seen.push_back(item); }),
          relay(context, [this](const network_address&, const fleet_message& message)
                { sent.push_back(message); })
    {
        watch.retain_items();
        relay.add_watch(watch);
    }
};

// The pieces in which one daemon would tell an item.
std::vector<sync_chunk_message> pieces_of(const std::string& key,
                                          const std::string& value,
                                          std::uint64_t revision, std::size_t size)
{
    std::vector<sync_chunk_message> pieces;
    for (std::size_t offset = 0; offset < value.size(); offset += size)
    {
        sync_chunk_message piece;
        piece.sender = {"peer"};
        piece.prefix = prefix;
        piece.key = key;
        piece.revision = {revision};
        piece.value_bytes = value.size();
        piece.offset = offset;
        piece.bytes = value.substr(offset, size);
        piece.item_count = 1;
        piece.position = {revision};
        pieces.push_back(piece);
    }
    return pieces;
}

} // namespace

BOOST_AUTO_TEST_SUITE(relay)

BOOST_AUTO_TEST_CASE(an_item_is_whole_whatever_the_order_of_its_pieces)
{
    relaying_daemon daemon("asker");
    const std::string value(50000, 'v');
    std::vector<sync_chunk_message> pieces = pieces_of("op/config", value, 9, 8192);
    std::shuffle(pieces.begin(), pieces.end(), std::mt19937_64(1));
    for (const sync_chunk_message& piece : pieces)
    {
        BOOST_TEST(daemon.seen.empty());
        daemon.relay.on_chunk(piece);
        if (piece.offset != pieces.back().offset)
            daemon.relay.on_chunk(piece);
    }
    BOOST_REQUIRE(daemon.seen.size() == 1U);
    BOOST_TEST(daemon.seen.front().value == value);
    BOOST_TEST(daemon.seen.front().revision.value == 9U);
}

BOOST_AUTO_TEST_CASE(what_is_older_than_known_changes_nothing)
{
    relaying_daemon daemon("asker");
    daemon.watch.apply_from_peer({"op/config", "new", {9}, false});
    for (const sync_chunk_message& piece : pieces_of("op/config", "old", 8, 100))
        daemon.relay.on_chunk(piece);
    BOOST_TEST(daemon.seen.size() == 1U);
    for (const sync_chunk_message& piece : pieces_of("op/config", "newer", 10, 100))
        daemon.relay.on_chunk(piece);
    BOOST_REQUIRE(daemon.seen.size() == 2U);
    BOOST_TEST(daemon.seen.back().value == "newer");
}

BOOST_AUTO_TEST_CASE(a_daemon_without_the_store_asks_an_instance_of_its_settings)
{
    relaying_daemon daemon("asker");
    daemon.relay.run_periodic_work();
    BOOST_REQUIRE(daemon.sent.size() == 1U);
    const auto& request = std::get<sync_request_message>(daemon.sent.front());
    BOOST_TEST(request.prefix == prefix);
    BOOST_TEST(request.after.value == 0U);
    BOOST_TEST(request.reply_to.value == "127.0.0.1:1");
}

BOOST_AUTO_TEST_CASE(a_daemon_that_hears_the_store_asks_nobody)
{
    relaying_daemon daemon("asker");
    record_store_response(daemon.context);
    daemon.relay.run_periodic_work();
    BOOST_TEST(daemon.sent.empty());
}

// It knows only part itself, and an answer would look like the whole.
BOOST_AUTO_TEST_CASE(a_daemon_that_has_not_read_the_store_answers_nothing)
{
    relaying_daemon daemon("asked");
    daemon.watch.apply_from_peer({"op/config", "value", {9}, false});
    daemon.relay.on_request({{"asker"}, {"127.0.0.1:3"}, prefix, {0}});
    BOOST_TEST(daemon.sent.empty());
}

BOOST_AUTO_TEST_SUITE_END()
