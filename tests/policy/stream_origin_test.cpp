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

// How a daemon can be out of step with the others. The store doesn't respond to it.
enum class step_fault
{
    // It hears its peers and learns nothing else.
    without_store,
    // It hears nothing.
    cut_off,
    // It goes on after it stood still, and reads messages that have waited meanwhile.
    resumed
};

// A fleet of daemons through releases, rollbacks and changes of the base version, in
// virtual time. All that a daemon knows of endpoints and base versions is up to a few
// seconds old, or as old as the fault that it has. No daemon remembers a stream, as if
// all had been killed in between.
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
    struct fault
    {
        step_fault kind;
        instant began;
        instant ends;
        // What the daemon last learned, and what its peers had stated by then.
        fleet_view view;
    };
    using known_versions = std::map<software_version, instant>;

    static constexpr seconds step{1};
    static constexpr int max_delay_steps = 4;
    // Such a search takes time in proportion to the number of members.
    static constexpr int max_searchers_without_store = 8;

    std::mt19937_64 random;
    int daemons;
    state truth;
    // The states of the last seconds, the newest last.
    std::vector<state> history;
    std::vector<stream> streams;
    // The versions that daemons have known lately, by the delay of their views.
    std::vector<known_versions> known;
    std::map<int, fault> faults;
    // Until then the store responds to nobody.
    instant outage_ends{};
    std::optional<instant> absent_since;
    int searches_without_store = 0;
    int located_without_store = 0;
    int refused_though_confirmed = 0;
    int releases = 0;
    int resumed = 0;
    int joined = 0;
    int refused_though_served = 0;
    int base_changes = 0;
    instant now = start;

    simulation(int size, std::uint64_t seed)
        : random(seed), daemons(size), known(max_delay_steps)
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

    // By how many steps the view of a daemon is late.
    static int delay_of(int daemon) { return daemon % max_delay_steps; }

    fleet_view view_of(int daemon) const
    {
        const auto found = faults.find(daemon);
        if (found != faults.end())
            return found->second.view;
        fleet_view fleet;
        const auto delay = static_cast<std::size_t>(
            std::min(delay_of(daemon), static_cast<int>(history.size()) - 1));
        const state& seen = history.at(history.size() - 1 - delay);
        fleet.endpoints = seen.endpoints;
        fleet.base_versions[service] = seen.base;
        fleet.known_versions[service] =
            known.at(static_cast<std::size_t>(delay_of(daemon)));
        return fleet;
    }

    // Adds the members as a daemon hears of them in a search that began at the time
    // `search_began`.
    void add_members(fleet_view& fleet, int daemon, instant heard_at) const
    {
        fleet.self = {"daemon-" + std::to_string(daemon)};
        for (int number = 0; number < daemons; ++number)
        {
            member_view& member = fleet.members[{"daemon-" + std::to_string(number)}];
            member.id = {"daemon-" + std::to_string(number)};
            member.leased = true;
            member.last_message_at = heard_at;
            const auto own = faults.find(number);
            const known_versions& versions =
                own == faults.end() ? known.at(static_cast<std::size_t>(delay_of(number)))
                                    : own->second.view.known_versions.at(service);
            for (const auto& [version, known_at] : versions)
                if (!member.software_versions)
                    member.software_versions = {{service, {version}}};
                else
                    member.software_versions->at(service).insert(version);
            member.store_silence = now < outage_ends ? seconds(2) : seconds(0);
        }
    }

    // Lets a daemon fall out of step, or the store go silent to all, now and then.
    void update_faults()
    {
        std::erase_if(faults,
                      [this](const auto& entry) { return now >= entry.second.ends; });
        if (pick(40) == 0)
            outage_ends = now + step * (2 + pick(6));
        if (pick(4) != 0)
            return;
        const int daemon = pick(std::min(daemons, max_searchers_without_store));
        if (faults.contains(daemon))
            return;
        fleet_view view = view_of(daemon);
        add_members(view, daemon, now);
        faults[daemon] = {static_cast<step_fault>(pick(3)), now,
                          now + step * (2 + pick(7)), std::move(view)};
    }

    // Notes what the daemons know after a step.
    void update_known_versions()
    {
        for (int delay = 0; delay < max_delay_steps; ++delay)
        {
            fleet_view fleet;
            const auto steps = static_cast<std::size_t>(
                std::min(delay, static_cast<int>(history.size()) - 1));
            fleet.endpoints = history.at(history.size() - 1 - steps).endpoints;
            fleet.known_versions[service] = known.at(static_cast<std::size_t>(delay));
            record_known_versions(fleet, now);
            known.at(static_cast<std::size_t>(delay)) = fleet.known_versions.at(service);
        }
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

    void begin_stream(int daemon)
    {
        const fleet_view fleet = view_of(daemon);
        auto chosen = truth.endpoints.begin();
        std::advance(chosen, pick(static_cast<int>(truth.endpoints.size())));
        const software_version version = chosen->second.record.software;
        // A daemon sends only to endpoints that it knows, at the version that it knows.
        if (fleet.endpoints.at(chosen->first).record.software != version)
            return;
        const bool reaches_store = !faults.contains(daemon) && now >= outage_ends;
        const std::optional<software_version> restricted_to = version_for_new_stream(
            fleet, service, reaches_store ? seconds(0) : seconds(2), now);
        const bool needs_entry = needs_record(fleet, service, version, now);
        if ((restricted_to && version != *restricted_to) ||
            (needs_entry && !reaches_store))
            return;
        streams.push_back({version, now, needs_entry});
    }

    // The end of a search at a daemon to which the store doesn't respond. Only engines
    // that the store names can be known to daemons, so in calm the stream is located.
    stream_search search_without_store(fleet_view& fleet, int daemon) const
    {
        const auto found = faults.find(daemon);
        const bool is_deaf =
            found != faults.end() && found->second.kind == step_fault::cut_off;
        const bool reads_old_messages =
            found != faults.end() && found->second.kind == step_fault::resumed;
        const instant search_began = now - seconds(1);
        if (!is_deaf && !reads_old_messages)
            add_members(fleet, daemon, now);
        if (reads_old_messages)
            for (auto& [id, member] : fleet.members)
                member.last_message_at = search_began;
        return {search_began, record_lookup::unanswered, {}, false};
    }

    void resume_stream(int daemon)
    {
        if (streams.empty())
            return;
        const stream& resumed_stream =
            streams.at(static_cast<std::size_t>(pick(static_cast<int>(streams.size()))));
        const bool reaches_store = !faults.contains(daemon) && now >= outage_ends;
        if (!reaches_store && daemon >= max_searchers_without_store)
            return;
        fleet_view fleet = view_of(daemon);
        const record_lookup lookup =
            resumed_stream.has_record ? record_lookup::found : record_lookup::absent;
        const stream_search search =
            reaches_store ? stream_search{now, lookup, resumed_stream.version, true}
                          : search_without_store(fleet, daemon);
        const stream_origin origin = locate_stream(fleet, service, search, now);
        ++resumed;
        const bool is_known = origin.source != origin_source::unknown;
        if (is_known && origin.version != resumed_stream.version)
            ++(is_version_serving(fleet, service, origin.version, now)
                   ? joined
                   : refused_though_served);
        if (!reaches_store)
        {
            ++searches_without_store;
            located_without_store += is_known ? 1 : 0;
            if (!is_known && is_calm() && !faults.contains(daemon))
                ++refused_though_confirmed;
        }
        else if (!is_known)
            ++refused_though_served;
    }

    // Returns true if no daemon has known two versions for the lifetime of a stream, or
    // another one than the base version.
    bool is_calm() const
    {
        const auto is_base_only = [this](const known_versions& versions)
        { return versions.size() == 1 && versions.contains(truth.base.version); };
        return std::all_of(known.begin(), known.end(), is_base_only) &&
               std::all_of(faults.begin(), faults.end(),
                           [&](const auto& entry) {
                               return is_base_only(
                                   entry.second.view.known_versions.at(service));
                           });
    }

    // What the first member does; now and then another daemon takes that office over.
    void update_base()
    {
        const fleet_view fleet = view_of(pick(max_delay_steps));
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
            update_faults();
            // Engines join, and base versions change, through the store.
            if (now >= outage_ends)
            {
                if (is_releasing && pick(4) == 0)
                    release();
                update_base();
            }
            history.push_back(truth);
            if (history.size() > max_delay_steps)
                history.erase(history.begin());
            update_known_versions();
            for (int daemon = 0; daemon < daemons; ++daemon)
                begin_stream(daemon);
            for (int daemon = 0; daemon < daemons; ++daemon)
                resume_stream(daemon);
            now += step;
            std::erase_if(streams, [this](const stream& entry)
                          { return now - entry.begun > stream_lifetime; });
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(stream_origins)

// Guards against streams that are joined from two versions, or refused although it can be
// known which version began them, while releases are made and taken back, the daemons'
// views are some seconds old, the store is silent at times, and daemons that are cut off
// or stand still miss the engines of a new version.
BOOST_AUTO_TEST_CASE(a_stream_is_located_at_the_version_that_began_it)
{
    int base_changes = 0;
    int searches_without_store = 0;
    int located_without_store = 0;
    for (const int daemons : {8, 61, 360})
        for (std::uint64_t seed = 1; seed <= (daemons > 100 ? 3U : 40U); ++seed)
        {
            simulation fleet(daemons, seed);
            fleet.run(1200);
            BOOST_TEST_CONTEXT("seed " << seed << ", " << daemons << " daemons")
            {
                BOOST_TEST(fleet.joined == 0);
                BOOST_TEST(fleet.refused_though_served == 0);
                BOOST_TEST(fleet.refused_though_confirmed == 0);
            }
            searches_without_store += fleet.searches_without_store;
            located_without_store += fleet.located_without_store;
            BOOST_REQUIRE(fleet.resumed > 1000);
            base_changes += fleet.base_changes;
        }
    BOOST_TEST(base_changes > 10);
    BOOST_TEST(searches_without_store > 1000);
    BOOST_TEST(located_without_store > 100);
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
        const stream_origin origin = locate_stream(
            fleet, service, {start, row.lookup, {"v3"}, row.is_conclusive}, start);
        const bool is_known = origin.source != origin_source::unknown;
        BOOST_TEST((is_known ? origin.version.value : "?") == row.expected,
                   row.case_name);
    }
}

// Guards against a daemon that takes the only version it knows for the only one there is
// (ORDER), and against refusals while the members that are up know no other (LOST). Each
// row changes one member of a fleet whose three members all confirm the version.
BOOST_AUTO_TEST_CASE(a_version_is_the_only_one_if_the_members_confirm_it)
{
    struct member_case
    {
        const char* case_name;
        milliseconds heard_after;
        std::optional<std::set<software_version>> stated;
        milliseconds store_silence;
        bool is_leased;
        bool expected;
    };
    const std::set<software_version> same{{"v1"}};
    const std::set<software_version> other{{"v2"}};
    const std::vector<member_case> rows{
        {"heard", seconds(1), same, seconds(0), true, true},
        {"message from before the search", seconds(-1), same, seconds(0), true, false},
        {"message that may have waited", milliseconds(100), same, seconds(0), true,
         false},
        {"killed during an outage", seconds(-1), same, seconds(2), true, true},
        {"its lease has ended", seconds(-1), same, seconds(0), false, true},
        {"knows another version", seconds(1), other, seconds(0), true, false},
        {"knew another version when it was killed", seconds(-1), other, seconds(2), true,
         false},
        {"earlier release", seconds(1), std::nullopt, seconds(0), true, false},
        {"earlier release, outage", seconds(1), std::nullopt, seconds(2), true, true}};
    for (const member_case& row : rows)
    {
        fleet_view fleet = fleet_with({"v1"});
        fleet.self = {"daemon-0"};
        for (const char* const id : {"daemon-0", "daemon-1", "daemon-2"})
        {
            member_view& member = fleet.members[{id}];
            member.id = {id};
            member.leased = true;
            member.last_message_at = start + seconds(1);
            member.software_versions = {{service, same}};
        }
        member_view& changed = fleet.members.at({"daemon-1"});
        changed.leased = row.is_leased;
        changed.last_message_at = start + row.heard_after;
        changed.store_silence = row.store_silence;
        changed.software_versions.reset();
        if (row.stated)
            changed.software_versions = {{service, *row.stated}};
        BOOST_TEST(is_only_version(fleet, service, {"v1"}, start, start + seconds(1)) ==
                       row.expected,
                   row.case_name);
        // Alone, this daemon is more likely to be cut off than the only one that is up.
        changed.last_message_at = start - seconds(1);
        fleet.members.at({"daemon-2"}) = changed;
        fleet.members.at({"daemon-2"}).id = {"daemon-2"};
        if (row.is_leased)
            BOOST_TEST(!is_only_version(fleet, service, {"v1"}, start, start),
                       row.case_name);
    }
}

// Guards against taking a stream for the only version that is left while one of another,
// whose engines have just gone, may be resumed.
BOOST_AUTO_TEST_CASE(a_version_that_has_left_counts_for_the_lifetime_of_its_streams)
{
    fleet_view fleet = fleet_with({"v1", "v2"});
    fleet.self = {"daemon-0"};
    record_known_versions(fleet, start);
    fleet.endpoints.erase({"i-1"});
    BOOST_TEST(!is_only_version(fleet, service, {"v1"}, start, start + seconds(59)));
    BOOST_TEST(is_only_version(fleet, service, {"v1"}, start, start + seconds(61)));
    record_known_versions(fleet, start + seconds(61));
    const service_versions left{{service, {{"v1"}}}};
    BOOST_TEST((versions_to_report(fleet, {service}) == left));
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

// Guards against streams that are taken for streams of the base version because their
// record isn't in the store, or for streams of another one because a late write is
// carried out after they began at the base version (ORDER).
BOOST_AUTO_TEST_CASE(a_stream_with_a_late_record_begins_only_where_nobody_can_join_it)
{
    const late_record unsent{{"v2"}, false, true};
    const late_record in_doubt{{"v2"}, true, true};
    const late_record without_attempts{{"v2"}, false, false};
    fleet_view fleet = fleet_with({"v1", "v2"});
    const auto action = [&](const late_record& late)
    { return choose_late_record_action(fleet, service, late, start); };
    BOOST_TEST((action(unsent) == late_record_action::end));
    set_base(fleet, "v1");
    BOOST_TEST((action(unsent) == late_record_action::begin_at_base));
    BOOST_TEST((action(in_doubt) == late_record_action::end));
    BOOST_TEST((action(without_attempts) == late_record_action::end));
    BOOST_TEST((action({{"v1"}, true, true}) == late_record_action::pass_on));
    fleet.endpoints.at({"i-0"}).draining = true;
    for (const late_record& late : {unsent, in_doubt, without_attempts})
        BOOST_TEST((action(late) == late_record_action::pass_on));
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

// Guards against streams of the present base version that are taken for streams of the
// one before it, because a restored store has its entry from before the change (ORDER).
BOOST_AUTO_TEST_CASE(an_earlier_base_version_of_a_restored_store_is_replaced)
{
    fleet_view fleet = fleet_with({"v1", "v2"});
    base_version stored{{"v1"}, {10}, std::nullopt};
    apply_base_version(fleet, service, stored, start);
    BOOST_TEST(!fleet.base_versions.at(service).changed_at.has_value());
    stored.version = {"v2"};
    stored.revision = {20};
    stored.number = 1;
    apply_base_version(fleet, service, stored, start + seconds(1));
    BOOST_TEST(fleet.base_versions.at(service).version.value == "v2");
    BOOST_TEST(fleet.base_versions.at(service).changed_at.has_value());
    BOOST_TEST(!next_base_version(fleet, service, std::nullopt, start));

    base_version restored{{"v1"}, {10}, std::nullopt};
    apply_base_version(fleet, service, restored, start + seconds(9));
    BOOST_TEST(fleet.base_versions.at(service).version.value == "v2");
    BOOST_TEST(fleet.base_versions.at(service).revision.value == 10U);
    BOOST_TEST(next_base_version(fleet, service, std::nullopt, start)->value == "v2");
    const stream_search search{start, record_lookup::absent, {}, true, std::nullopt};
    BOOST_TEST(locate_stream(fleet, service, search, start).version.value == "v2");

    stored.revision = {12};
    apply_base_version(fleet, service, stored, start + seconds(10));
    BOOST_TEST(!next_base_version(fleet, service, std::nullopt, start));
}

// Guards against a missing record that counts although the store has just been restored
// (ORDER), and against doubt because of a restore of long ago, which is the same to a
// daemon that has just started.
BOOST_AUTO_TEST_CASE(a_restored_store_is_in_doubt_until_its_era_is_settled)
{
    fleet_view fleet = fleet_with({"v1", "v2"});
    fleet.era = {3};
    const instant late = start + stream_lifetime + seconds(1);
    BOOST_TEST(!may_lack_records(fleet, service, std::nullopt, start));
    BOOST_TEST(may_lack_records(fleet, service, start, start + seconds(1)));
    BOOST_TEST(!may_lack_records(fleet, service, start, late));
    set_base(fleet, "v1");
    fleet.base_versions.at(service).settled_era = {2};
    BOOST_TEST(may_lack_records(fleet, service, start, start + seconds(1)));
    BOOST_TEST(!must_settle_era(fleet, service, start, start + seconds(1)));
    BOOST_TEST(!must_settle_era(fleet, service, std::nullopt, late));
    BOOST_TEST(must_settle_era(fleet, service, start, late));
    fleet.base_versions.at(service).settled_era = {3};
    BOOST_TEST(!may_lack_records(fleet, service, start, start + seconds(1)));
    BOOST_TEST(!must_settle_era(fleet, service, start, late));
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
