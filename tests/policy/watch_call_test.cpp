#include "policy/fleet/watch_call.hpp"
#include "tests/policy/property.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <vector>

using namespace pollenhaven;

namespace
{

constexpr milliseconds step{10};
constexpr milliseconds run_time{30'000};
// The timing of the calls, as in servers/gateway.
constexpr milliseconds check_interval{250};
constexpr milliseconds watch_wait{4500};
constexpr milliseconds watch_margin{700};
constexpr milliseconds renewal_interval{450};
constexpr milliseconds renewal_timeout{900};
constexpr milliseconds retry_delay{100};
constexpr milliseconds heartbeat_interval{200};
// Of the heartbeats of a daemon at most two in a row are lost.
constexpr int max_lost_heartbeats = 2;
constexpr int daemons = 3;
// A change is known everywhere this long after it was acknowledged...
constexpr milliseconds promise{2000};
// ...if for this long no connection has gone silent and the store has responded.
constexpr milliseconds settling_time{3000};

// A connection to the store. Once it is silent, nothing comes back on it any more.
struct connection
{
    bool is_silent = false;
};

// A call that waits for its response.
struct pending_call
{
    instant sent_at{};
    bool is_pending = false;
};

struct simulated_daemon
{
    store_contact contact;
    watch_call watch;
    connection watch_connection;
    pending_call renewal;
    connection renewal_connection;
    instant next_watch_at{};
    instant next_renewal_at{};
    // How long the store may delay the response to the watch.
    milliseconds wait = watch_wait;
    milliseconds check_phase{0};
    milliseconds heartbeat_phase{0};
    int lost_heartbeats = 0;
};

// What goes wrong, by its time.
struct disturbances
{
    // The daemons whose connections go silent, all that each of them has open.
    std::vector<std::pair<instant, int>> silences;
    // The store doesn't respond from the first time to the second one.
    std::vector<std::pair<instant, instant>> outages;
    // When each daemon makes another call, on a new connection.
    std::vector<std::pair<instant, int>> other_calls;
};

bool is_out(const disturbances& faults, instant now)
{
    return std::any_of(faults.outages.begin(), faults.outages.end(),
                       [&](const auto& outage)
                       { return now >= outage.first && now < outage.second; });
}

// Whether nothing has gone wrong for the settling time.
bool is_settled(const disturbances& faults, instant now)
{
    const bool has_silence = std::any_of(faults.silences.begin(), faults.silences.end(),
                                         [&](const auto& silence) {
                                             return silence.first <= now &&
                                                    now - silence.first < settling_time;
                                         });
    const bool has_outage =
        std::any_of(faults.outages.begin(), faults.outages.end(),
                    [&](const auto& outage) {
                        return outage.first <= now && now - settling_time < outage.second;
                    });
    return !has_silence && !has_outage;
}

void send_watch(simulated_daemon& daemon, instant now)
{
    daemon.watch.sent_at = now;
    daemon.watch_connection = {};
}

void run_watch(simulated_daemon& daemon, store_position newest, bool is_store_out,
               instant now)
{
    if (!daemon.watch.sent_at)
    {
        if (now >= daemon.next_watch_at)
            send_watch(daemon, now);
        return;
    }
    if (is_store_out)
        daemon.watch_connection.is_silent = true;
    const auto age = now - *daemon.watch.sent_at;
    const bool is_answered = !daemon.watch_connection.is_silent &&
                             (newest > daemon.watch.known_position || age >= daemon.wait);
    if (is_answered)
    {
        record_response(daemon.contact, now);
        daemon.watch.known_position = newest;
        daemon.watch.repeated_calls = 0;
        daemon.watch.sent_at = now;
    }
    else if (age >= daemon.wait + watch_margin)
    {
        daemon.watch.sent_at.reset();
        daemon.next_watch_at = now + retry_delay;
    }
}

void run_renewal(simulated_daemon& daemon, bool is_store_out, instant now)
{
    if (!daemon.renewal.is_pending)
    {
        if (now < daemon.next_renewal_at)
            return;
        daemon.renewal = {now, true};
        daemon.next_renewal_at = now + renewal_interval;
    }
    if (is_store_out)
        daemon.renewal_connection.is_silent = true;
    if (!daemon.renewal_connection.is_silent)
    {
        daemon.renewal.is_pending = false;
        return record_response(daemon.contact, now);
    }
    if (now - daemon.renewal.sent_at < renewal_timeout)
        return;
    daemon.renewal.is_pending = false;
    daemon.renewal_connection = {};
}

void check_watch(simulated_daemon& daemon, instant now)
{
    const repeat_reason reason = reason_to_repeat(daemon.watch, daemon.contact, now);
    if (reason == repeat_reason::none)
        return;
    if (reason == repeat_reason::peers_are_ahead)
        ++daemon.watch.repeated_calls;
    send_watch(daemon, now);
}

bool is_due(instant now, milliseconds interval, milliseconds phase)
{
    return (now.time_since_epoch() - phase).count() %
               std::chrono::duration_cast<boot_clock::duration>(interval).count() ==
           0;
}

struct simulation
{
    std::array<simulated_daemon, daemons> fleet;
    disturbances faults;
    // When each change was acknowledged; its position is its index, counted from one.
    std::vector<instant> changes;

    store_position newest(instant now) const
    {
        return {{},
                {static_cast<std::uint64_t>(std::count_if(changes.begin(), changes.end(),
                                                          [&](instant change)
                                                          { return change <= now; }))}};
    }

    void send_heartbeat(simulated_daemon& sender, instant now)
    {
        const bool is_lost =
            sender.lost_heartbeats < max_lost_heartbeats && *rc::gen::inRange(0, 3) == 0;
        sender.lost_heartbeats = is_lost ? sender.lost_heartbeats + 1 : 0;
        if (is_lost)
            return;
        for (simulated_daemon& receiver : fleet)
            record_peer_change(receiver.watch, sender.watch.known_position, now);
    }

    void run_step(instant now)
    {
        for (const auto& [at, daemon] : faults.silences)
            if (at == now)
            {
                fleet.at(daemon).watch_connection.is_silent = true;
                fleet.at(daemon).renewal_connection.is_silent = true;
            }
        const bool is_store_out = is_out(faults, now);
        for (const auto& [at, daemon] : faults.other_calls)
            if (at == now && !is_store_out)
                record_response(fleet.at(daemon).contact, now);
        for (simulated_daemon& daemon : fleet)
        {
            run_watch(daemon, newest(now), is_store_out, now);
            run_renewal(daemon, is_store_out, now);
            if (is_due(now, check_interval, daemon.check_phase))
                check_watch(daemon, now);
            if (is_due(now, heartbeat_interval, daemon.heartbeat_phase))
                send_heartbeat(daemon, now);
        }
    }

    // Whether all daemons know all changes that were acknowledged long enough ago.
    bool keeps_promise(instant now) const
    {
        if (!is_settled(faults, now))
            return true;
        const store_position due = newest(now - promise);
        return std::all_of(fleet.begin(), fleet.end(),
                           [&](const simulated_daemon& daemon)
                           { return daemon.watch.known_position >= due; });
    }
};

instant random_time()
{
    return instant{step * *rc::gen::inRange(100, static_cast<int>(run_time / step))};
}

simulation random_simulation()
{
    simulation result;
    for (simulated_daemon& daemon : result.fleet)
    {
        daemon.watch.is_loaded = true;
        daemon.check_phase = step * *rc::gen::inRange(0, 25);
        daemon.heartbeat_phase = step * *rc::gen::inRange(0, 20);
        daemon.next_renewal_at = instant{step * *rc::gen::inRange(0, 45)};
    }
    for (int daemon = 0; daemon < leading_watches; ++daemon)
        result.fleet.at(daemon).wait = leading_watch_wait;
    const int silences = *rc::gen::inRange(0, 4);
    for (int silence = 0; silence < silences; ++silence)
    {
        const instant at = random_time();
        const bool hits_all = *rc::gen::inRange(0, 2) == 0;
        for (int daemon = 0; daemon < daemons; ++daemon)
            if (hits_all || *rc::gen::inRange(0, 2) == 0)
                result.faults.silences.emplace_back(at, daemon);
    }
    const int outages = *rc::gen::inRange(0, 3);
    for (int outage = 0; outage < outages; ++outage)
    {
        const instant begin = random_time();
        result.faults.outages.emplace_back(begin,
                                           begin + step * *rc::gen::inRange(10, 600));
    }
    const int other_calls = *rc::gen::inRange(0, 60);
    for (int call = 0; call < other_calls; ++call)
        result.faults.other_calls.emplace_back(random_time(),
                                               *rc::gen::inRange(0, daemons));
    const int changes = *rc::gen::inRange(1, 12);
    for (int change = 0; change < changes; ++change)
        result.changes.push_back(random_time());
    std::sort(result.changes.begin(), result.changes.end());
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(watch_calls)

// Guards against a configuration that comes late to daemons whose watches wait on silent
// connections (CONFIG): connections go silent one by one or together, the store is away,
// and other calls of the same daemon are answered meanwhile.
BOOST_AUTO_TEST_CASE(a_change_is_known_in_time_after_silences_and_outages)
{
    check_property("a change is known in time after silences and outages",
                   []
                   {
                       simulation run = random_simulation();
                       for (instant now{step}; now < instant{run_time}; now += step)
                       {
                           run.run_step(now);
                           RC_ASSERT(run.keeps_promise(now));
                       }
                   });
}

// Guards against a daemon that takes the silence of the peer that watches for it for a
// store without changes, and against one that skips a change whose message was lost.
BOOST_AUTO_TEST_CASE(a_follower_misses_no_change)
{
    check_property(
        "a follower misses no change",
        []
        {
            const instant began(seconds(1000));
            watch_call watch;
            watch.is_loaded = true;
            std::uint64_t newest = 0;
            std::set<std::uint64_t> known;
            // A message: all changes after the first revision, up to the second one.
            std::vector<std::pair<std::uint64_t, std::uint64_t>> messages;
            for (int message = 0; message < 40; ++message)
            {
                const std::uint64_t added = *rc::gen::inRange(0, 3);
                messages.emplace_back(newest, newest + added);
                newest += added;
            }
            // They are lost, arrive twice and overtake each other.
            for (int arrival = 0; arrival < 60; ++arrival)
            {
                const auto [after, until] =
                    messages[*rc::gen::inRange<std::size_t>(0, messages.size())];
                const store_position first{{1}, {after}};
                const store_position last{{1}, {until}};
                if (!can_follow(watch, first, last, {1}))
                {
                    RC_ASSERT(first > watch.known_position);
                    // The call of its own that a gap leads to.
                    for (std::uint64_t revision = 1; revision <= until; ++revision)
                        known.insert(revision);
                    watch.known_position = std::max(watch.known_position, last);
                    continue;
                }
                for (std::uint64_t revision = after + 1; revision <= until; ++revision)
                    known.insert(revision);
                follow(watch, last, began);
                RC_ASSERT(may_follow(watch, began + milliseconds(1100)));
                RC_ASSERT(!may_follow(watch, began + milliseconds(1300)));
                RC_ASSERT(known.size() == watch.known_position.revision.value);
            }
        });
}

BOOST_AUTO_TEST_CASE(changes_of_another_era_or_without_a_listing_are_not_followed)
{
    watch_call watch;
    const store_position position{{1}, {9}};
    BOOST_TEST(!can_follow(watch, {}, position, {1}));
    watch.is_loaded = true;
    BOOST_TEST(can_follow(watch, {}, position, {1}));
    BOOST_TEST(!can_follow(watch, {}, position, {2}));
    BOOST_TEST(!can_follow(watch, {}, {{2}, {1}}, {1}));
    watch.is_in_older_era = true;
    BOOST_TEST(!can_follow(watch, {}, position, {1}));
}

BOOST_AUTO_TEST_SUITE_END()
