#include "policy/call_claim.hpp"
#include "policy/crash_ledger.hpp"
#include "policy/fair_share.hpp"
#include "policy/placement.hpp"
#include "policy/retry_policy.hpp"
#include "policy/store_budget.hpp"
#include "tests/policy/property.hpp"

#include <boost/test/data/test_case.hpp>

using namespace pollenhaven;

namespace
{

struct retry_row
{
    const char* name;
    verdict run;
    const char* code;
    bool idempotent;
    int delivered;
    next_step expected;
};

std::ostream& operator<<(std::ostream& out, const retry_row& row)
{
    return out << row.name;
}

const std::vector<retry_row> retry_rows = {
    {"refused, not idempotent", verdict::not_run, "engine_refused", false, 0,
     next_step::retry_elsewhere},
    {"in doubt, not idempotent", verdict::may_have_run, "service_unreachable", false, 0,
     next_step::give_up},
    {"in doubt, idempotent, nothing delivered", verdict::may_have_run, "endpoint_crashed",
     true, 0, next_step::retry_elsewhere},
    {"in doubt, idempotent, begun", verdict::may_have_run, "endpoint_crashed", true, 3,
     next_step::give_up},
    {"peer lost, begun", verdict::may_have_run, "peer_lost", true, 3, next_step::resume},
    {"blocked", verdict::not_run, "request_blocked", true, 0, next_step::give_up},
    {"claim in doubt", verdict::may_have_run, "call_in_doubt", false, 0,
     next_step::give_up}};

} // namespace

BOOST_AUTO_TEST_SUITE(requests)

BOOST_DATA_TEST_CASE(retries_only_what_is_safe, boost::unit_test::data::make(retry_rows),
                     row)
{
    attempt_history history;
    history.attempts = 1;
    history.idempotent = row.idempotent;
    history.tokens_delivered = row.delivered;
    history.deadline = instant{seconds(10)};
    retry_budget budget;
    const failure reason{row.run, 503, row.code, "", std::nullopt};
    BOOST_TEST(
        (decide_next(history, reason, budget, instant{seconds(1)}) == row.expected));
    BOOST_TEST((decide_next(history, reason, budget, instant{seconds(11)}) ==
                next_step::give_up));
    budget.tokens = 0;
    BOOST_TEST((decide_next(history, reason, budget, instant{seconds(1)}) ==
                next_step::give_up));
}

// Against a key-value service that may lose replies: of any number of attempts with one
// key, at most one is granted, and none that was told that it did not get the key runs.
BOOST_AUTO_TEST_CASE(one_key_is_granted_once)
{
    check_property(
        "claims",
        []
        {
            std::optional<stored_value> stored;
            int granted = 0;
            const int attempts = *rc::gen::inRange(1, 12);
            for (int i = 0; i < attempts; ++i)
            {
                claim_wish wish{"key", {}};
                wish.record.attempt = "attempt-" + std::to_string(i);
                wish.record.fingerprint = "same";
                const transaction write = claim_transaction({wish}, std::nullopt);
                const bool reaches = *rc::gen::arbitrary<bool>();
                const bool reply_lost = *rc::gen::arbitrary<bool>();
                const bool applied = reaches && !stored;
                if (applied)
                    stored = stored_value{"key", write.puts.front().value, {1}};
                if (!reaches)
                    continue;
                if (applied && !reply_lost)
                {
                    ++granted;
                    continue;
                }
                const claim_decision decision =
                    decide_existing(wish, *stored, decode_claim(stored->value));
                granted += decision.outcome == claim_outcome::granted ? 1 : 0;
                if (decision.outcome != claim_outcome::granted)
                    RC_ASSERT(decision.outcome == claim_outcome::in_doubt);
            }
            RC_ASSERT(granted <= 1);
        });
}

BOOST_AUTO_TEST_CASE(an_unreadable_claim_lets_nothing_run)
{
    const claim_wish wish{"key", {claim_state::claimed, "mine", "print", 0, ""}};
    const claim_decision decision =
        decide_existing(wish, {"key", "garbage", {3}}, decode_claim("garbage"));
    BOOST_TEST((decision.outcome != claim_outcome::granted));
}

// A poison request among innocents, whatever shares an engine with it: at most two
// crashes, and no innocent is blocked.
BOOST_AUTO_TEST_CASE(poison_stops_after_two_crashes_and_blames_no_innocent)
{
    check_property(
        "containment",
        []
        {
            crash_ledger ledger;
            const instant now{seconds(100)};
            std::map<int, std::set<std::string>> engines;
            int crashes = 0;
            const int steps = *rc::gen::inRange(10, 80);
            for (int step = 0; step < steps; ++step)
            {
                std::set<std::string>& running = engines[*rc::gen::inRange(0, 3)];
                const bool is_poison = *rc::gen::inRange(0, 3) == 0;
                const std::string content =
                    is_poison ? "poison"
                              : "innocent-" + std::to_string(*rc::gen::inRange(0, 8));
                if (*rc::gen::inRange(0, 3) == 0 && !running.empty())
                {
                    note_completed(ledger, *running.begin());
                    running.erase(running.begin());
                }
                if (!may_run_beside(ledger, content, running, now))
                    continue;
                running.insert(content);
                if (!is_poison)
                    continue;
                ++crashes;
                note_crash(ledger, running, now);
                running.clear();
            }
            RC_ASSERT(crashes <= ledger.most_crashes);
            for (int i = 0; i < 8; ++i)
                RC_ASSERT(judge(ledger, "innocent-" + std::to_string(i), now) !=
                          containment::blocked);
        });
}

BOOST_AUTO_TEST_CASE(a_resent_request_is_recognised_by_its_content)
{
    const std::string first = content_fingerprint("m@v1", R"({"a":1,"stream":true})");
    BOOST_TEST(first == content_fingerprint("m@v1", R"({"stream":false, "a":1})"));
    BOOST_TEST(first != content_fingerprint("m@v1", R"({"a":2})"));
    BOOST_TEST(first != content_fingerprint("m@v2", R"({"a":1})"));
}

// In any window the store sees no more than its rate and burst, and never too many at
// once.
BOOST_AUTO_TEST_CASE(permits_keep_the_stores_limits)
{
    check_property("permits",
                   []
                   {
                       store_budget budget;
                       instant now{seconds(1)};
                       const instant start = now;
                       int granted = 0;
                       for (int i = 0; i < 60; ++i)
                       {
                           now += milliseconds(*rc::gen::inRange(0, 300));
                           const auto priority = *rc::gen::arbitrary<bool>()
                                                     ? work_class::interactive
                                                     : work_class::overnight;
                           ask_permit(budget, {std::to_string(i), priority, now});
                           granted += static_cast<int>(grant_permits(budget, now).size());
                           RC_ASSERT(budget.in_flight.size() <= 8U);
                           const double allowed =
                               budget.limits.burst +
                               to_seconds(now - start) * budget.limits.loads_per_second;
                           RC_ASSERT(granted <= allowed + 0.001);
                           if (*rc::gen::arbitrary<bool>() && !budget.in_flight.empty())
                               end_load(budget, budget.in_flight.begin()->first);
                       }
                   });
}

BOOST_AUTO_TEST_CASE(permits_go_to_people_who_wait_first)
{
    store_budget budget;
    budget.limits.burst = 1;
    const instant now{seconds(1)};
    grant_permits(budget, now);
    ask_permit(budget, {"night", work_class::overnight, now});
    ask_permit(budget, {"person", work_class::interactive, now});
    BOOST_TEST(grant_permits(budget, now).front() == "person");
    // A person who joins a load asked for overnight raises it.
    ask_permit(budget, {"other", work_class::interactive, now});
    ask_permit(budget, {"night", work_class::interactive, now});
    BOOST_TEST(budget.overnight.empty());
}

// Two partners that always have work get it by their weights.
BOOST_AUTO_TEST_CASE(shares_follow_the_weights)
{
    check_property("shares",
                   []
                   {
                       fair_share shares;
                       const partner_id suva{"suva"};
                       const partner_id kitamura{"kitamura"};
                       shares.weights[suva] = *rc::gen::inRange(1, 10);
                       shares.weights[kitamura] = *rc::gen::inRange(1, 10);
                       std::map<partner_id, double> served;
                       double total = 0;
                       for (int i = 0; i < 2000; ++i)
                       {
                           const partner_id next = next_partner(shares, {suva, kitamura});
                           const double tokens = *rc::gen::inRange(1, 60);
                           charge(shares, next, tokens);
                           served[next] += tokens;
                           total += tokens;
                       }
                       const double wanted =
                           shares.weights[suva] /
                           (shares.weights[suva] + shares.weights[kitamura]);
                       RC_ASSERT(std::abs(served[suva] / total - wanted) < 0.02);
                   });
}

BOOST_AUTO_TEST_CASE(idle_time_gives_no_credit)
{
    fair_share shares;
    const partner_id busy{"busy"};
    const partner_id idle{"idle"};
    for (int i = 0; i < 100; ++i)
    {
        next_partner(shares, {busy});
        charge(shares, busy, 10);
    }
    become_backlogged(shares, idle);
    next_partner(shares, {busy, idle});
    charge(shares, idle, 20);
    BOOST_TEST((next_partner(shares, {busy, idle}) == busy));
}

BOOST_AUTO_TEST_CASE(placement_prefers_residents_until_they_are_overloaded)
{
    placement_candidate resident;
    resident.endpoint = {"a"};
    resident.state = residency::resident;
    resident.max_batch = 4;
    resident.slots = 4;
    placement_candidate empty = resident;
    empty.endpoint = {"b"};
    empty.state = residency::absent;
    BOOST_TEST(choose_endpoint({"m"}, {resident, empty}, {})->endpoint.value == "a");
    resident.queued = 40;
    BOOST_TEST(choose_endpoint({"m"}, {resident, empty}, {})->endpoint.value == "b");
    resident.excluded = true;
    empty.excluded = true;
    BOOST_TEST(!choose_endpoint({"m"}, {resident, empty}, {}).has_value());
}

BOOST_AUTO_TEST_CASE(a_wait_that_is_too_long_is_refused_at_once)
{
    const placement chosen{{"a"}, 30000};
    const auto come_back =
        refuse_for_now(chosen, work_class::interactive, seconds(120), patience_limits{});
    BOOST_REQUIRE(come_back.has_value());
    BOOST_TEST(come_back->count() == 20000);
    BOOST_TEST(
        !refuse_for_now(chosen, work_class::overnight, seconds(120), {}).has_value());
    BOOST_TEST(
        refuse_for_now(chosen, work_class::overnight, seconds(20), {}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
