#include "policy/fleet/brittle_endpoint.hpp"

#include <boost/test/unit_test.hpp>

using namespace pollenhaven;

namespace
{

constexpr instant now{seconds(1000)};
constexpr request_rate bearable{4};

fleet_view fleet_of(int members, int self)
{
    fleet_view fleet;
    fleet.self = {"daemon-" + std::to_string(self)};
    for (int number = 0; number < members; ++number)
        fleet.members[{"daemon-" + std::to_string(number)}].leased = true;
    return fleet;
}

endpoint_view brittle_endpoint(int slots)
{
    endpoint_view endpoint;
    endpoint.record.id = {"i-1"};
    endpoint.record.slots = slots;
    record_brittleness(endpoint, bearable, now, now);
    return endpoint;
}

// Returns the requests that all daemons together have once each has sent what it may.
int requests_at_once(const endpoint_view& endpoint, int members, instant at)
{
    int total = 0;
    for (int self = 0; self < members; ++self)
    {
        const fleet_view fleet = fleet_of(members, self);
        endpoint_view own = endpoint;
        while (has_room(fleet, own, at))
            ++own.in_flight;
        total += own.in_flight;
    }
    return total;
}

} // namespace

BOOST_AUTO_TEST_SUITE(brittle_endpoint_rooms)

BOOST_AUTO_TEST_CASE(a_reserve_of_slots_is_kept_while_an_endpoint_is_brittle)
{
    const fleet_view fleet = fleet_of(1, 0);
    endpoint_view endpoint = brittle_endpoint(16);
    endpoint.in_flight = 13;
    BOOST_TEST(has_room(fleet, endpoint, now));
    endpoint.in_flight = 14;
    BOOST_TEST(!has_room(fleet, endpoint, now));
    endpoint_view smallest = brittle_endpoint(1);
    BOOST_TEST(has_room(fleet, smallest, now));
}

// Guards against many daemons that use one free place at the same time (LIMIT).
BOOST_AUTO_TEST_CASE(after_a_rejection_all_daemons_together_keep_to_the_room)
{
    for (const int members : {1, 8, 61, 360})
        for (const int accepted : {1, 5, 12, 100})
        {
            endpoint_view endpoint = brittle_endpoint(128);
            record_rejection(endpoint, accepted, now);
            BOOST_TEST(requests_at_once(endpoint, members, now) == accepted,
                       members << " members, room for " << accepted);
            // One place in half a second, for an endpoint that bears four rejections.
            BOOST_TEST(requests_at_once(endpoint, members, now + milliseconds(1600)) ==
                       std::min(accepted + 3, 112));
        }
}

BOOST_AUTO_TEST_CASE(each_further_rejection_lowers_the_room_once)
{
    endpoint_view endpoint = brittle_endpoint(128);
    record_rejection(endpoint, 20, now);
    record_rejection(endpoint, 30, now + milliseconds(100));
    BOOST_TEST(*endpoint.brittle.room == 20);
    record_rejection(endpoint, 30, now + milliseconds(400));
    BOOST_TEST(*endpoint.brittle.room == 19);
    record_rejection(endpoint, 0, now + milliseconds(800));
    BOOST_TEST(*endpoint.brittle.room == 1);
}

BOOST_AUTO_TEST_CASE(a_response_that_was_sent_before_the_statement_does_not_end_it)
{
    endpoint_view endpoint = brittle_endpoint(16);
    record_brittleness(endpoint, std::nullopt, now - milliseconds(10), now + seconds(1));
    BOOST_TEST(endpoint.brittle.bearable.has_value());
    record_brittleness(endpoint, std::nullopt, now + milliseconds(10), now + seconds(1));
    BOOST_TEST(!endpoint.brittle.bearable.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
