#include "policy/fleet/stream_origin.hpp"

#include "policy/fleet/endpoint_selection.hpp"

#include <boost/test/unit_test.hpp>

#include <random>
#include <vector>

using namespace pollenhaven;

namespace
{

constexpr instant start{seconds(1000)};
const service_id service{"assistant"};

endpoint_view endpoint_with(const std::string& id, const std::string& version)
{
    endpoint_view view;
    view.record.id = {id};
    view.record.service = service;
    view.record.address = {"127.0.0.1:1"};
    view.record.software = {version};
    view.record.slots = 4;
    return view;
}

fleet_view fleet_with(const std::vector<std::string>& versions)
{
    fleet_view fleet;
    for (const std::string& version : versions)
    {
        const std::string id = "i-" + std::to_string(fleet.endpoints.size());
        fleet.endpoints[{id}] = endpoint_with(id, version);
    }
    return fleet;
}

void set_base(fleet_view& fleet, const std::string& version)
{
    fleet.base_versions[service] = {{version}, {1}, std::nullopt};
}

// A fleet of daemons through releases, rollbacks and changes of the base version, in
// virtual time. All that a daemon knows of endpoints and base versions is up to a few
// seconds old. No daemon remembers a stream, as if all had been killed in between.
struct simulation
{
    struct state
    {
        std::map<endpoint_id, endpoint_view> endpoints;
        base_version base;
    };
    struct stream
    {
        software_version version;
        instant begun;
        bool has_record = false;
    };

    static constexpr seconds step{1};
    static constexpr int max_delay_steps = 4;

    std::mt19937_64 random;
    int daemons;
    state truth;
    // The states of the last seconds, the newest last.
    std::vector<state> history;
    std::vector<stream> streams;
    std::optional<instant> absent_since;
    int releases = 0;
    int resumed = 0;
    int joined = 0;
    int refused_though_served = 0;
    int base_changes = 0;
    instant now = start;

    simulation(int size, std::uint64_t seed) : random(seed), daemons(size)
    {
        for (int number = 0; number < 4; ++number)
        {
            const std::string id = "i-" + std::to_string(number);
            truth.endpoints[{id}] = endpoint_with(id, "v0");
        }
        truth.base = {{"v0"}, {1}, std::nullopt};
        history.push_back(truth);
    }

    int pick(int count)
    {
        return static_cast<int>(random() % static_cast<std::uint64_t>(count));
    }

    fleet_view view_of_a_daemon()
    {
        fleet_view fleet;
        const int delay =
            pick(std::min(max_delay_steps, static_cast<int>(history.size())));
        const state& seen =
            history.at(history.size() - 1 - static_cast<std::size_t>(delay));
        fleet.endpoints = seen.endpoints;
        fleet.base_versions[service] = seen.base;
        return fleet;
    }

    // Replaces an endpoint by one of a new version, or of one that was there before.
    void release()
    {
        const int number = pick(static_cast<int>(truth.endpoints.size()));
        auto replaced = truth.endpoints.begin();
        std::advance(replaced, number);
        if (pick(6) == 0)
            ++releases;
        const int version = std::max(0, releases - pick(2));
        replaced->second.record.software = {"v" + std::to_string(version)};
    }

    void begin_stream()
    {
        const fleet_view fleet = view_of_a_daemon();
        auto chosen = truth.endpoints.begin();
        std::advance(chosen, pick(static_cast<int>(truth.endpoints.size())));
        const software_version version = chosen->second.record.software;
        // A daemon sends only to endpoints that it knows, at the version that it knows.
        if (fleet.endpoints.at(chosen->first).record.software != version)
            return;
        streams.push_back({version, now, needs_record(fleet, service, version, now)});
    }

    void resume_stream()
    {
        if (streams.empty())
            return;
        const stream& resumed_stream =
            streams.at(static_cast<std::size_t>(pick(static_cast<int>(streams.size()))));
        const fleet_view fleet = view_of_a_daemon();
        const stream_origin origin = locate_stream(
            fleet, service,
            resumed_stream.has_record ? record_lookup::found : record_lookup::absent,
            resumed_stream.version, true, now);
        ++resumed;
        const bool is_known = origin.source != origin_source::unknown;
        if (is_known && origin.version != resumed_stream.version)
            ++(is_version_serving(fleet, service, origin.version, now)
                   ? joined
                   : refused_though_served);
        if (!is_known)
            ++refused_though_served;
    }

    // What the first member does; now and then another daemon takes that office over.
    void update_base()
    {
        const fleet_view fleet = view_of_a_daemon();
        const base_version& base = fleet.base_versions.at(service);
        const bool is_absent =
            !registered_versions(fleet, service, now).contains(base.version);
        if (!is_absent || pick(200) == 0)
            absent_since.reset();
        else if (!absent_since)
            absent_since = now;
        const std::optional<software_version> next =
            next_base_version(fleet, service, absent_since, now);
        if (!next || base.revision != truth.base.revision)
            return;
        truth.base = {*next, {truth.base.revision.value + 1}, now};
        absent_since.reset();
        ++base_changes;
    }

    void run(int steps)
    {
        bool is_releasing = false;
        for (int number = 0; number < steps; ++number)
        {
            if (pick(is_releasing ? 60 : 100) == 0)
                is_releasing = !is_releasing;
            if (is_releasing && pick(4) == 0)
                release();
            update_base();
            history.push_back(truth);
            if (history.size() > max_delay_steps)
                history.erase(history.begin());
            for (int daemon = 0; daemon < daemons; ++daemon)
                begin_stream();
            for (int daemon = 0; daemon < daemons; ++daemon)
                resume_stream();
            now += step;
            std::erase_if(streams, [this](const stream& entry)
                          { return now - entry.begun > stream_lifetime; });
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(stream_origins)

// Guards against streams that are joined from two versions, or refused although it can be
// known which version began them, while releases are made and taken back and the daemons'
// views are some seconds old.
BOOST_AUTO_TEST_CASE(a_stream_is_located_at_the_version_that_began_it)
{
    int base_changes = 0;
    for (const int daemons : {8, 61, 360})
        for (std::uint64_t seed = 1; seed <= (daemons > 100 ? 3U : 40U); ++seed)
        {
            simulation fleet(daemons, seed);
            fleet.run(1200);
            BOOST_TEST_CONTEXT("seed " << seed << ", " << daemons << " daemons")
            {
                BOOST_TEST(fleet.joined == 0);
                BOOST_TEST(fleet.refused_though_served == 0);
            }
            BOOST_REQUIRE(fleet.resumed > 1000);
            base_changes += fleet.base_changes;
        }
    BOOST_TEST(base_changes > 10);
}

// Each row has the versions of the endpoints, the base version (empty for none), the
// result of the search for the record, whether an absent record counts, and the version
// of the stream ("?" if it is unknown).
BOOST_AUTO_TEST_CASE(the_origin_follows_from_the_record_or_the_base_version)
{
    struct origin_case
    {
        const char* case_name;
        std::vector<std::string> versions;
        std::string base;
        record_lookup lookup;
        bool is_conclusive;
        std::string expected;
    };
    const std::vector<origin_case> rows{
        {"record", {"v1", "v2"}, "v1", record_lookup::found, true, "v3"},
        {"record, none serving", {"v1"}, "v1", record_lookup::found, false, "v3"},
        {"no record", {"v1", "v2"}, "v2", record_lookup::absent, true, "v2"},
        {"no record, base gone", {"v2"}, "v1", record_lookup::absent, true, "v1"},
        {"records lost", {"v1", "v2"}, "v1", record_lookup::absent, false, "?"},
        {"no answer", {"v1", "v2"}, "v1", record_lookup::unanswered, true, "?"},
        {"no answer, one version", {"v1"}, "v1", record_lookup::unanswered, false, "v1"},
        {"no answer, base gone", {"v2"}, "v1", record_lookup::unanswered, true, "?"},
        {"no base, one version", {"v1"}, "", record_lookup::absent, true, "v1"},
        {"base not read yet", {"v1"}, "", record_lookup::unanswered, false, "?"},
        {"no base, two versions", {"v1", "v2"}, "", record_lookup::absent, true, "?"}};
    for (const origin_case& row : rows)
    {
        fleet_view fleet = fleet_with(row.versions);
        if (!row.base.empty())
            set_base(fleet, row.base);
        const stream_origin origin =
            locate_stream(fleet, service, row.lookup, {"v3"}, row.is_conclusive, start);
        const bool is_known = origin.source != origin_source::unknown;
        BOOST_TEST((is_known ? origin.version.value : "?") == row.expected,
                   row.case_name);
    }
}

BOOST_AUTO_TEST_CASE(only_streams_of_other_versions_need_a_record)
{
    fleet_view fleet = fleet_with({"v1", "v2"});
    BOOST_TEST(needs_record(fleet, service, {"v1"}, start));
    set_base(fleet, "v1");
    BOOST_TEST(!needs_record(fleet, service, {"v1"}, start));
    BOOST_TEST(needs_record(fleet, service, {"v2"}, start));
    fleet.base_versions.at(service).changed_at = start;
    BOOST_TEST(needs_record(fleet, service, {"v1"}, start + seconds(1)));
    BOOST_TEST(!needs_record(fleet, service, {"v1"}, start + seconds(6)));
    fleet_view single = fleet_with({"v1"});
    BOOST_TEST(!needs_record(single, service, {"v1"}, start));
}

BOOST_AUTO_TEST_CASE(new_streams_keep_to_the_base_version_while_the_store_is_silent)
{
    fleet_view fleet = fleet_with({"v1", "v2"});
    set_base(fleet, "v1");
    BOOST_TEST(!version_for_new_stream(fleet, service, milliseconds(300), start));
    BOOST_TEST(version_for_new_stream(fleet, service, seconds(2), start)->value == "v1");
    fleet.endpoints.at({"i-0"}).draining = true;
    BOOST_TEST(!version_for_new_stream(fleet, service, seconds(2), start));
}

BOOST_AUTO_TEST_CASE(the_base_version_changes_only_when_its_streams_have_ended)
{
    fleet_view fleet = fleet_with({"v1", "v1", "v2"});
    BOOST_TEST(next_base_version(fleet, service, std::nullopt, start)->value == "v1");
    set_base(fleet, "v1");
    BOOST_TEST(!next_base_version(fleet, service, std::nullopt, start));
    fleet.endpoints.erase({"i-0"});
    fleet.endpoints.erase({"i-1"});
    BOOST_TEST(!next_base_version(fleet, service, start, start + stream_lifetime));
    BOOST_TEST(
        next_base_version(fleet, service, start, start + stream_lifetime + seconds(6))
            ->value == "v2");
    // A restored store has lost the entry.
    fleet.base_versions.at(service).revision = {};
    BOOST_TEST(next_base_version(fleet, service, start, start)->value == "v1");
}

BOOST_AUTO_TEST_CASE(a_request_of_one_version_is_sent_to_its_endpoints_only)
{
    fleet_view fleet = fleet_with({"v1", "v2"});
    dispatch_query query;
    query.service = service;
    query.software = software_version{"v2"};
    BOOST_TEST(choose_endpoint(fleet, query, start).endpoint->value == "i-1");
    query.software = software_version{"v3"};
    BOOST_TEST(!choose_endpoint(fleet, query, start).endpoint);
}

BOOST_AUTO_TEST_CASE(all_daemons_together_write_records_at_half_of_the_stores_rate)
{
    for (const int daemons : {8, 61, 360})
        for (const int rate : {400, 1200})
        {
            const double interval_s =
                to_seconds(record_write_interval(daemons, rate) + milliseconds(1));
            BOOST_TEST(daemons / interval_s <= rate / 2.0);
        }
}

BOOST_AUTO_TEST_SUITE_END()
