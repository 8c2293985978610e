#include "policy/lease_authority.hpp"
#include "policy/ownership.hpp"
#include "tests/policy/property.hpp"

#include <boost/test/data/test_case.hpp>

using namespace pollenhaven;

namespace
{

// What the platform and the key-value service show of an endpoint's recorded owner, and
// whether another daemon may then take the endpoint over.
struct take_over_row
{
    const char* name;
    bool checks_fencing;
    bool lease_alive;
    bool new_incarnation;
    int lease_missing_s;
    int answering_s;
    bool listed;
    int absent_s;
    bool expected;
};

std::ostream& operator<<(std::ostream& out, const take_over_row& row)
{
    return out << row.name;
}

const std::vector<take_over_row> take_over_rows = {
    {"alive", true, true, false, 0, 60, true, 0, false},
    {"lapsed, checks fencing", true, false, false, 5, 60, true, 0, true},
    {"lapsed only a moment ago", true, false, false, 1, 60, true, 0, false},
    {"lapsed, service back only a moment ago", true, false, false, 5, 1, true, 0, false},
    {"lapsed, ignores fencing, may be paused", false, false, false, 600, 600, true, 0,
     false},
    {"ignores fencing, instance gone", false, false, false, 5, 60, true, 5, true},
    {"gone only a moment ago", false, false, false, 5, 60, true, 1, false},
    {"absent but never listed: may be new", false, false, false, 5, 60, false, 60, false},
    {"absent but its lease is alive", false, true, false, 0, 60, true, 60, false},
    {"restarted", false, true, true, 0, 60, true, 0, true}};

ownership_view make_view(const take_over_row& row, instant now)
{
    ownership_view view;
    view.self = {"self"};
    view.self_incarnation = {"self-1"};
    view.members[{"self"}] = {{"self"}, {"self-1"}};
    view.instances = {{"self", instance_state::live}};
    view.endpoints[{"e"}].id = {"e"};
    view.endpoints[{"e"}].checks_fencing = row.checks_fencing;
    view.current.endpoints[{"e"}] = {{"other"}, {"other-1"}, {7}, row.listed};
    if (row.lease_alive)
        view.members[{"other"}] = {{"other"},
                                   {row.new_incarnation ? "other-2" : "other-1"}};
    else
        view.lease_missing_since[{"other"}] = now - seconds(row.lease_missing_s);
    if (row.absent_s > 0)
        view.absent_since[{"other"}] = now - seconds(row.absent_s);
    view.service_answering_since = now - seconds(row.answering_s);
    return view;
}

// The naive version of the rule: a lapsed lease is enough.
bool naive_take_over(const ownership_view& view, const ownership_record& record)
{
    return view.members.count(record.owner) == 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ownership)

BOOST_DATA_TEST_CASE(takes_over_only_on_proof,
                     boost::unit_test::data::make(take_over_rows), row)
{
    const instant now{seconds(10000)};
    const ownership_view view = make_view(row, now);
    const ownership_record& record = view.current.endpoints.at({"e"});
    BOOST_TEST(may_take_over(view, {"e"}, record, now) == row.expected);
}

// Where the naive rule and ours differ, ours is the one that refuses, but for a restart.
BOOST_AUTO_TEST_CASE(never_bolder_than_the_naive_rule_but_for_restarts)
{
    check_property("take-over",
                   []
                   {
                       const instant now{seconds(10000)};
                       const take_over_row row{"",
                                               *rc::gen::arbitrary<bool>(),
                                               *rc::gen::arbitrary<bool>(),
                                               *rc::gen::arbitrary<bool>(),
                                               *rc::gen::inRange(0, 20),
                                               *rc::gen::inRange(0, 20),
                                               *rc::gen::arbitrary<bool>(),
                                               *rc::gen::inRange(0, 20),
                                               false};
                       const ownership_view view = make_view(row, now);
                       const ownership_record& record = view.current.endpoints.at({"e"});
                       const bool restarted = row.lease_alive && row.new_incarnation;
                       if (may_take_over(view, {"e"}, record, now))
                           RC_ASSERT(restarted || naive_take_over(view, record));
                   });
}

// Whatever members come and go, each endpoint is wanted by exactly one member that stays,
// and nobody gets more than an even share.
BOOST_AUTO_TEST_CASE(spreads_endpoints_evenly_over_members_that_stay)
{
    check_property("spread",
                   []
                   {
                       ownership_view view;
                       view.self = {"d0"};
                       const int members = *rc::gen::inRange(1, 9);
                       const int endpoints = *rc::gen::inRange(0, 30);
                       int staying = 0;
                       for (int i = 0; i < members; ++i)
                       {
                           member_record member;
                           member.id = {"d" + std::to_string(i)};
                           member.leaving = i > 0 && *rc::gen::arbitrary<bool>();
                           staying += member.leaving ? 0 : 1;
                           view.members[member.id] = member;
                       }
                       for (int i = 0; i < endpoints; ++i)
                       {
                           const endpoint_id id{"e" + std::to_string(i)};
                           view.endpoints[id].id = id;
                           const int owner = *rc::gen::inRange(0, members + 3);
                           view.current.endpoints[id].owner = {"d" +
                                                               std::to_string(owner)};
                       }
                       std::map<daemon_id, int> held;
                       const auto desired = desired_owners(view);
                       RC_ASSERT(desired.size() == view.endpoints.size());
                       for (const auto& [endpoint, owner] : desired)
                       {
                           RC_ASSERT(view.members.count(owner) == 1U);
                           RC_ASSERT(!view.members[owner].leaving);
                           ++held[owner];
                       }
                       for (const auto& [owner, count] : held)
                           RC_ASSERT(count <= (endpoints + staying - 1) / staying);
                   });
}

// A thousand daemons' clocks don't matter: authority counts from the sending of the last
// renewal, so a pause at any moment can only shorten it.
BOOST_AUTO_TEST_CASE(authority_ends_before_the_lease_however_long_the_pause)
{
    check_property("authority",
                   []
                   {
                       const lease_timing timing;
                       lease_authority authority;
                       instant now{seconds(100)};
                       instant last_sent{};
                       for (int i = 0; i < 30; ++i)
                       {
                           const instant sent = now;
                           now += milliseconds(*rc::gen::inRange(0, 20000));
                           if (*rc::gen::arbitrary<bool>())
                           {
                               confirm_lease(authority, sent);
                               last_sent = sent;
                           }
                           if (may_act(authority, timing, now))
                               RC_ASSERT(now < last_sent + timing.time_to_live);
                       }
                   });
}

BOOST_AUTO_TEST_CASE(an_outage_is_attested_only_to_a_daemon_that_had_a_lease)
{
    const lease_timing timing;
    lease_authority authority;
    attest_outage(authority, instant{seconds(5)});
    BOOST_TEST(!may_act(authority, timing, instant{seconds(6)}));
    confirm_lease(authority, instant{seconds(7)});
    attest_outage(authority, instant{seconds(60)});
    BOOST_TEST(may_act(authority, timing, instant{seconds(61)}));
    authority.revoked = true;
    BOOST_TEST(!may_act(authority, timing, instant{seconds(61)}));
}

BOOST_AUTO_TEST_SUITE_END()
