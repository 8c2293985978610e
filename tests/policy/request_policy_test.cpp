#include "policy/call_claim.hpp"
#include "policy/crash_history.hpp"
#include "policy/fleet/configuration_check.hpp"
#include "policy/fleet/crash_detector.hpp"
#include "policy/fleet/model_check.hpp"
#include "tests/policy/property.hpp"

using namespace pollenhaven;

namespace
{

// Passes on what one daemon knows of crashes to another.
void send_suspects(const crash_history& from, crash_history& to, instant now)
{
    const std::map<std::string, crash_suspect> sent = from.suspects;
    for (const auto& [fingerprint, suspect] : sent)
        merge_peer_crashes(to, fingerprint, suspect.crashes, suspect.named_crashes, now);
}

void exchange_suspects(crash_history& left, crash_history& right, instant now)
{
    send_suspects(left, right, now);
    send_suspects(right, left, now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(requests)

// Requests to the store and its responses may be lost. Of any number of attempts with one
// key, at most one may be granted the key. The decision for every other attempt that
// finds the key claimed must be in_doubt.
BOOST_AUTO_TEST_CASE(an_idempotency_key_is_granted_at_most_once)
{
    check_property(
        "a key is granted at most once",
        []
        {
            std::optional<store_item> stored;
            int granted = 0;
            const int attempts = *rc::gen::inRange(1, 12);
            for (int i = 0; i < attempts; ++i)
            {
                claim_request request{"key", {}};
                request.record.attempt = "attempt-" + std::to_string(i);
                request.record.fingerprint = "same";
                const store_transaction write = claim_transaction(request);
                const bool request_arrives = *rc::gen::arbitrary<bool>();
                const bool response_lost = *rc::gen::arbitrary<bool>();
                const bool applied = request_arrives && !stored;
                if (applied)
                    stored = store_item{"key", write.writes.front().value, {1}, false};
                if (!request_arrives)
                    continue;
                if (applied && !response_lost)
                {
                    ++granted;
                    continue;
                }
                const claim_decision decision = resolve_existing_claim(request, *stored);
                granted += decision.outcome == claim_outcome::granted ? 1 : 0;
                if (decision.outcome != claim_outcome::granted)
                    RC_ASSERT(decision.outcome == claim_outcome::in_doubt);
            }
            RC_ASSERT(granted <= 1);
        });
}

BOOST_AUTO_TEST_CASE(an_unreadable_claim_is_never_granted)
{
    const claim_request request{"key",
                                {claim_state::claimed, "mine", "print", {}, 0, ""}};
    for (const char* text : {"garbage", "[]", R"({"attempt":7})", R"({"done":true})"})
    {
        const claim_decision decision =
            resolve_existing_claim(request, {"key", text, {3}, false});
        BOOST_TEST((decision.outcome != claim_outcome::granted), text);
    }
}

BOOST_AUTO_TEST_CASE(a_used_key_yields_its_recorded_response_or_a_conflict)
{
    const claim_request request{"key",
                                {claim_state::claimed, "mine", "print", {}, 0, ""}};
    const std::optional<claim_record> completed =
        completed_claim_record(request, 200, "body", true);
    BOOST_REQUIRE(completed.has_value());
    const store_item stored{"key", encode_claim(*completed), {3}, false};
    claim_request duplicate = request;
    duplicate.record.attempt = "later";
    const claim_decision same = resolve_existing_claim(duplicate, stored);
    BOOST_TEST((same.outcome == claim_outcome::answered_before));
    BOOST_TEST(same.existing.body == "body");
    BOOST_TEST(same.existing.has_length);
    duplicate.record.fingerprint = "other";
    BOOST_TEST(
        (resolve_existing_claim(duplicate, stored).outcome == claim_outcome::key_reused));
    BOOST_TEST(!completed_claim_record(request, 200, std::string(100000, 'x'), true)
                    .has_value());
}

// Guards against a recorded response whose length nobody stated and that gets one when it
// is repeated.
BOOST_AUTO_TEST_CASE(a_recorded_response_keeps_that_its_length_is_unknown)
{
    const claim_request request{"key",
                                {claim_state::claimed, "mine", "print", {}, 0, ""}};
    const std::optional<claim_record> completed =
        completed_claim_record(request, 200, "body", false);
    BOOST_REQUIRE(completed.has_value());
    BOOST_TEST(!decode_claim(encode_claim(*completed)).has_length);
}

BOOST_AUTO_TEST_CASE(only_expired_claims_are_removed)
{
    std::vector<store_item> items;
    for (int hour = 0; hour < 60; ++hour)
    {
        claim_record record;
        record.attempt = "a";
        record.claimed_at = std::chrono::hours(hour);
        items.push_back({"key-" + std::to_string(hour),
                         encode_claim(record),
                         {static_cast<std::uint64_t>(hour) + 1},
                         false});
    }
    const std::vector<store_transaction> removals =
        expired_claim_removals(items, std::chrono::hours(60), std::chrono::hours(25));
    std::size_t removed = 0;
    for (const store_transaction& removal : removals)
    {
        BOOST_TEST(removal.expected.size() + removal.removals.size() <= 32U);
        removed += removal.removals.size();
    }
    BOOST_TEST(removed == 36U);
    BOOST_TEST(removals.front().expected.front().revision.value == 1U);
}

// Guards against a call that runs twice: a claim that can't be read looked as old as can
// be, and its key became free at the next removal of expired claims (TWICE).
BOOST_AUTO_TEST_CASE(an_unreadable_claim_is_never_removed)
{
    for (const char* text : {"", "garbage", "[]", R"({"attempt":7})", R"({"done":true})"})
        BOOST_TEST(expired_claim_removals({{"key", text, {3}, false}},
                                          std::chrono::hours(1'000'000), seconds(1))
                       .empty(),
                   text);
}

// Requests with one content crash every engine that runs them. Whatever other requests
// run at the same time, there are at most two crashes, and none of the others is blocked.
BOOST_AUTO_TEST_CASE(a_crashing_request_is_blocked_after_two_crashes_and_no_other_is)
{
    check_property(
        "a crashing request is blocked after two crashes and no other request is",
        []
        {
            crash_history recorded_crashes;
            const instant now{seconds(100)};
            std::map<int, std::set<std::string>> engines;
            int crashes = 0;
            const int steps = *rc::gen::inRange(10, 80);
            for (int step = 0; step < steps; ++step)
            {
                std::set<std::string>& running = engines[*rc::gen::inRange(0, 3)];
                const bool is_crashing = *rc::gen::inRange(0, 3) == 0;
                const std::string content =
                    is_crashing ? "poison"
                                : "innocent-" + std::to_string(*rc::gen::inRange(0, 8));
                if (*rc::gen::inRange(0, 3) == 0 && !running.empty())
                {
                    record_completed(recorded_crashes, *running.begin());
                    running.erase(running.begin());
                }
                if (!may_run_beside(recorded_crashes, content, running, now))
                    continue;
                running.insert(content);
                if (!is_crashing)
                    continue;
                ++crashes;
                record_crash(recorded_crashes, running,
                             {{"engine"}, static_cast<std::uint64_t>(crashes)}, now);
                running.clear();
            }
            RC_ASSERT(crashes <= recorded_crashes.max_crashes);
            for (int i = 0; i < 8; ++i)
                RC_ASSERT(suspect_status_of(recorded_crashes,
                                            "innocent-" + std::to_string(i),
                                            now) != suspect_status::blocked);
        });
}

// Guards against a third crash: two daemons that each see one crash of the same content,
// before either hears of the other's, counted one crash together.
BOOST_AUTO_TEST_CASE(crashes_that_two_daemons_saw_at_two_endpoints_add_up)
{
    const instant now{seconds(100)};
    crash_history first;
    crash_history second;
    record_crash(first, {"poison"}, {{"i-1"}, 1}, now);
    record_crash(second, {"poison"}, {{"i-2"}, 1}, now);
    exchange_suspects(first, second, now);
    for (const crash_history& history : {first, second})
        BOOST_TEST(
            (suspect_status_of(history, "poison", now) == suspect_status::blocked));
}

// Guards against a block after a single crash: two daemons whose requests ran at the same
// endpoint counted its crash twice.
BOOST_AUTO_TEST_CASE(one_crash_that_two_daemons_saw_counts_once)
{
    const instant now{seconds(100)};
    crash_history first;
    crash_history second;
    record_crash(first, {"sound"}, {{"i-1"}, 1}, now);
    exchange_suspects(first, second, now);
    record_crash(second, {"sound"}, {{"i-1"}, 1}, now);
    exchange_suspects(first, second, now);
    for (const crash_history& history : {first, second})
        BOOST_TEST(
            (suspect_status_of(history, "sound", now) == suspect_status::suspected));
}

// Guards against a culprit that stays unknown: what a peer reported of the same crash
// cleared all other requests that ran there.
BOOST_AUTO_TEST_CASE(a_peers_report_of_the_same_crash_clears_no_other_request)
{
    const instant now{seconds(100)};
    crash_history first;
    crash_history second;
    record_crash(first, {"sound"}, {{"i-1"}, 1}, now);
    exchange_suspects(first, second, now);
    record_crash(second, {"sound", "poison"}, {{"i-1"}, 1}, now);
    BOOST_TEST((suspect_status_of(second, "poison", now) == suspect_status::suspected));
}

// Requests with one content crash every engine that runs them, through daemons that hear
// of each other's crashes late and in any order. Once all have heard of two crashes there
// is no third, and no other content is blocked.
BOOST_AUTO_TEST_CASE(daemons_that_hear_late_of_crashes_block_after_two_of_them)
{
    check_property(
        "daemons that hear late of crashes block the content after two of them",
        []
        {
            constexpr int daemons = 3;
            const instant now{seconds(100)};
            std::vector<crash_history> histories(daemons);
            int crashes = 0;
            const int steps = *rc::gen::inRange(2, 30);
            for (int step = 0; step < steps; ++step)
            {
                crash_history& history = histories.at(*rc::gen::inRange(0, daemons));
                if (*rc::gen::inRange(0, 2) == 0)
                {
                    exchange_suspects(history,
                                      histories.at(*rc::gen::inRange(0, daemons)), now);
                    continue;
                }
                if (!may_run_beside(history, "poison", {}, now))
                    continue;
                ++crashes;
                record_crash(history, {"poison"}, {{"i-" + std::to_string(crashes)}, 1},
                             now);
            }
            for (crash_history& from : histories)
                for (crash_history& to : histories)
                    exchange_suspects(from, to, now);
            for (const crash_history& history : histories)
                RC_ASSERT((crashes < 2) == (suspect_status_of(history, "poison", now) !=
                                            suspect_status::blocked));
        });
}

BOOST_AUTO_TEST_CASE(a_retried_request_has_the_same_fingerprint)
{
    const std::string first = content_fingerprint("m@v1", R"({"a":1,"stream":true})");
    BOOST_TEST(first == content_fingerprint("m@v1", R"({"stream":false, "a":1})"));
    BOOST_TEST(first != content_fingerprint("m@v1", R"({"a":2})"));
    BOOST_TEST(first != content_fingerprint("m@v2", R"({"a":1})"));
}

// Connections break for many reasons. A crash is recorded only if the endpoint is then
// found to be unreachable, removed or restarted.
BOOST_AUTO_TEST_CASE(a_request_is_no_suspect_because_of_a_broken_connection_alone)
{
    crash_detector detector;
    const instant now{seconds(100)};
    record_cut_off(detector, {"i-1"}, {"content", now, {}, 0});
    BOOST_TEST(record_endpoint_lost(detector, {"i-2"}, now).empty());
    BOOST_TEST(record_endpoint_lost(detector, {"i-1"}, now + seconds(30)).empty());
    BOOST_TEST(
        (suspect_status_of(detector.history, "content", now) == suspect_status::allowed));
    record_cut_off(detector, {"i-1"}, {"content", now, {}, 0});
    BOOST_TEST(!record_endpoint_lost(detector, {"i-1"}, now + seconds(1)).empty());
    BOOST_TEST((suspect_status_of(detector.history, "content", now) ==
                suspect_status::suspected));
    // The same crash is detected twice: in the store and by the next connection attempt.
    BOOST_TEST(record_endpoint_lost(detector, {"i-1"}, now + seconds(2)).empty());
    BOOST_TEST((suspect_status_of(detector.history, "content", now) ==
                suspect_status::suspected));
}

BOOST_AUTO_TEST_CASE(an_endpoint_runs_suspects_until_the_last_one_has_ended)
{
    crash_detector detector;
    add_running_suspect(detector, {"i-1"}, "content");
    add_running_suspect(detector, {"i-1"}, "content");
    remove_running_suspect(detector, {"i-1"}, "content");
    BOOST_TEST(endpoints_with_suspects(detector).contains({"i-1"}));
    remove_running_suspect(detector, {"i-1"}, "content");
    BOOST_TEST(endpoints_with_suspects(detector).empty());
}

BOOST_AUTO_TEST_CASE(requests_for_unserved_models_and_versions_get_a_reason)
{
    fleet_view fleet;
    fleet.versions[{"base/a"}] = {{3}, {}};
    routing_table table;
    engine_capacity capacity;
    capacity.models = {{{"base"}, 1, 1}};
    table.services[{"assistant"}] = {{"assistant"}, 1, capacity};
    const auto reason = [&](const std::string& model, const std::string& adapter,
                            std::optional<adapter_version> version)
    {
        caller_request request;
        request.model = {model};
        request.adapter = {adapter};
        request.version = version;
        return reason_for_unknown_model(fleet, table, {"assistant"}, request);
    };
    BOOST_TEST(reason("base", "base/a", adapter_version{3}).empty());
    BOOST_TEST(reason("base", "base/a", std::nullopt).empty());
    BOOST_TEST(reason("base", "base/b", adapter_version{1}).empty());
    BOOST_TEST(reason("base", "", std::nullopt).empty());
    BOOST_TEST(!reason("base", "base/a", adapter_version{2}).empty());
    BOOST_TEST(!reason("base", "base/b", adapter_version{2}).empty());
    BOOST_TEST(!reason("other", "other/a", std::nullopt).empty());
}

BOOST_AUTO_TEST_CASE(each_error_of_a_configuration_has_a_message)
{
    routing_table valid_table;
    valid_table.services[{"orders"}] = {{"orders"}, 1, std::nullopt};
    route valid_route;
    valid_route.name = "good";
    valid_route.host = "h";
    valid_route.path_prefix = "/";
    valid_route.services = {{{"orders"}, 1}};
    valid_route.timeout = seconds(1);
    valid_table.routes = {valid_route};
    BOOST_TEST(configuration_errors(valid_table).empty());
    const std::vector<std::pair<std::string, void (*)(routing_table&)>> rows{
        {"unknown service",
         [](routing_table& table) { table.routes[0].services[0].service = {"no"}; }},
        {"service with a weight",
         [](routing_table& table) { table.routes[0].services[0].weight = 0; }},
        {"negative weight",
         [](routing_table& table) { table.routes[0].services[0].weight = -1; }},
        {"host and path",
         [](routing_table& table) { table.routes.push_back(table.routes[0]); }},
        {"no time", [](routing_table& table) { table.routes[0].timeout = {}; }},
        {"beyond its timeout",
         [](routing_table& table) { table.routes[0].target_latency = seconds(2); }},
        {"allows no attempt",
         [](routing_table& table) { table.routes[0].max_attempts = 0; }},
        {"isn't idempotent",
         [](routing_table& table) { table.routes[0].max_attempts = 2; }}};
    for (const auto& [text, make_invalid] : rows)
    {
        routing_table table = valid_table;
        make_invalid(table);
        const std::vector<std::string> errors = configuration_errors(table);
        BOOST_REQUIRE(!errors.empty());
        BOOST_TEST(errors.front().find(text) != std::string::npos, errors.front());
    }
}

BOOST_AUTO_TEST_SUITE_END()
