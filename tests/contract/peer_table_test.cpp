#include "servers/peer_table.hpp"

#include <boost/test/unit_test.hpp>

using namespace pollenhaven;

namespace
{

const daemon_id owner{"owner"};
const endpoint_id engine{"engine"};
const model_ref model{"m@v1"};

gossip_message message_with_engine()
{
    gossip_message message;
    message.from = owner;
    message.incarnation = {"1"};
    message.has_endpoints = true;
    message.endpoints.push_back({engine, true});
    return message;
}

} // namespace

BOOST_AUTO_TEST_SUITE(peers)

// An owner whose digest doesn't change sends no new one, so what was counted must lapse.
BOOST_AUTO_TEST_CASE(a_request_sent_counts_only_for_a_moment)
{
    peer_table peers;
    const instant now{seconds(100)};
    peers.merge(message_with_engine(), now);
    peers.count_sent(engine, model, {"suva"}, now);
    peers.count_sent(engine, model, {"suva"}, now);
    const auto at_once = peers.endpoint(owner, engine, now);
    BOOST_REQUIRE(at_once.has_value());
    BOOST_TEST(at_once->stalled == 1);
    BOOST_TEST(at_once->queued.at({"suva"}) == 1);
    BOOST_TEST((at_once->adapters.at(model) == residency::loading));
    const auto later = peers.endpoint(owner, engine, now + seconds(1));
    BOOST_REQUIRE(later.has_value());
    BOOST_TEST(later->stalled == 0);
    BOOST_TEST(later->queued.empty());
    BOOST_TEST(later->adapters.empty());
}

BOOST_AUTO_TEST_CASE(a_silent_owner_offers_nothing)
{
    peer_table peers;
    const instant now{seconds(100)};
    peers.merge(message_with_engine(), now);
    BOOST_TEST(!peers.endpoint(owner, engine, now + seconds(4)).has_value());
    peers.merge(message_with_engine(), now + seconds(5));
    BOOST_TEST(peers.endpoint(owner, engine, now + seconds(5)).has_value());
    peers.mark_silent(owner);
    BOOST_TEST(!peers.endpoint(owner, engine, now + seconds(5)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
