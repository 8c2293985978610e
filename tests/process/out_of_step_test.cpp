// Streams that are resumed at a daemon that is out of step with the others: it stood
// still or was cut off while engines of another software version joined.

#define BOOST_TEST_MODULE out_of_step
#include "tests/process/checks.hpp"

#include <csignal>
#include <set>
#include <thread>

using namespace pollenhaven::harness;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

// So many that engines get some whose latency the beginner hasn't measured yet, and few
// enough that all engines have room for them twice: what a killed daemon had in flight
// counts for a while.
constexpr int streams = 28;
// The daemon through which streams begin, and the one at which they are resumed.
constexpr int beginner = 0;
constexpr int resumer = 2;
// Streams are broken off before their end, and after their first events.
constexpr milliseconds break_after{1000};
// Engines register, and the daemons learn of them, within this time. Twice as long after
// their start the latencies of the other engines count for less.
constexpr seconds join_time{3};
// After this time a daemon that is cut off gets nothing from its peers any more, not even
// in answer to what it asked before.
constexpr seconds cut_off_time{2};

// Engines 0 and 1 serve from the start, 2 and 3 may join later with another version.
fleet_options one_version_and_another()
{
    fleet_options options;
    options.daemons = 4;
    options.engines = 4;
    options.late_engines = 2;
    options.engine_software = {"v1", "v1", "v2", "v2"};
    options.resumable_chats = true;
    options.events_per_stream = 60;
    options.event_interval_ms = 50;
    options.proxy_store = true;
    return options;
}

// Runs the function for each stream at the same time.
template <typename function> std::vector<event_stream> run_streams(const function& run)
{
    std::vector<event_stream> results(streams);
    std::vector<std::thread> callers;
    callers.reserve(streams);
    for (int number = 0; number < streams; ++number)
        callers.emplace_back(
            [&, number] { results.at(static_cast<std::size_t>(number)) = run(number); });
    for (std::thread& caller : callers)
        caller.join();
    return results;
}

// Starts the engines of the other version and waits until the beginner knows them.
void join_engines(fleet& deployment)
{
    deployment.start_late_engines();
    const auto knows_them = [&]
    {
        const auto holders = holders_by_engine(deployment, beginner);
        return holders.contains("i-2") && holders.contains("i-3");
    };
    BOOST_REQUIRE(fleet::wait_for(knows_them, join_time));
    std::this_thread::sleep_for(join_time);
}

// Begins streams through one daemon and kills it while they run.
std::vector<event_stream> begin_streams_and_break(fleet& deployment,
                                                  const std::string& kind = "begin")
{
    std::thread killer(
        [&]
        {
            std::this_thread::sleep_for(break_after);
            deployment.daemon(beginner).kill();
        });
    std::vector<event_stream> begun = run_streams(
        [&](int number)
        { return deployment.stream_platform_chat(beginner, request_id(kind, number)); });
    killer.join();
    return begun;
}

struct resumed_streams
{
    int interrupted = 0;
    int continued = 0;
    int joined_from_two_versions = 0;
    std::map<std::string, int> interrupted_by_version;
    // Refusals, by their error code.
    std::map<std::string, int> refused;
};

// Resumes all streams at once at the daemon that is, or was, out of step.
resumed_streams resume_streams(const fleet& deployment, const fleet_options& options,
                               const std::vector<event_stream>& begun,
                               const std::string& kind,
                               const std::string& begun_as = "begin")
{
    const std::vector<event_stream> resumed = run_streams(
        [&](int number) -> event_stream
        {
            const event_stream& first = begun.at(static_cast<std::size_t>(number));
            if (first.events.empty())
                return {};
            return deployment.resume_platform_chat(resumer, request_id(kind, number),
                                                   request_id(begun_as, number),
                                                   first.events.rbegin()->first);
        });
    resumed_streams result;
    for (std::size_t index = 0; index < resumed.size(); ++index)
    {
        const event_stream& rest = resumed.at(index);
        if (begun.at(index).events.empty())
            continue;
        ++result.interrupted;
        const std::string version =
            software_of(options, begun.at(index).events.begin()->second);
        ++result.interrupted_by_version[version];
        if (rest.status != 200)
        {
            ++result.refused[rest.error];
            continue;
        }
        ++result.continued;
        result.joined_from_two_versions +=
            has_event_of_other_version(options, rest, version) ? 1 : 0;
    }
    return result;
}

// Checks that no stream continues at another version at a daemon that is out of step, and
// that all are resumed there once it reaches the store again.
void check_streams_wait_for_the_store(const fleet& deployment,
                                      const fleet_options& options,
                                      const std::vector<event_stream>& begun)
{
    const resumed_streams early = resume_streams(deployment, options, begun, "early");
    BOOST_TEST(early.interrupted >= streams / 2);
    BOOST_TEST(early.interrupted_by_version.contains("v2"));
    BOOST_TEST(early.joined_from_two_versions == 0);
    for (const auto& [error, count] : early.refused)
        BOOST_TEST(error == "stream_version_unknown");
    set_store_link(deployment, resumer, "pass");
    std::this_thread::sleep_for(seconds(1));
    const resumed_streams late = resume_streams(deployment, options, begun, "late");
    BOOST_TEST(late.joined_from_two_versions == 0);
    BOOST_TEST(late.continued == late.interrupted);
}

} // namespace

// Guards against streams that continue at another version at a daemon that is cut off
// from the store and its peers while engines of that version join (ORDER).
BOOST_AUTO_TEST_CASE(a_daemon_cut_off_joins_no_streams_of_a_version_it_does_not_know)
{
    const fleet_options options = one_version_and_another();
    fleet deployment(options);
    deployment.cut_off_from_peers(resumer);
    std::this_thread::sleep_for(cut_off_time);
    set_store_link(deployment, resumer, "silent");
    std::this_thread::sleep_for(cut_off_time);
    join_engines(deployment);
    const std::vector<event_stream> begun = begin_streams_and_break(deployment);
    check_streams_wait_for_the_store(deployment, options, begun);
}

// As above, at a daemon that stood still while the version joined, and that stands still
// again during the search, so that the search ends before it has heard anything.
BOOST_AUTO_TEST_CASE(a_daemon_that_stood_still_joins_no_streams_of_a_version_it_missed)
{
    const fleet_options options = one_version_and_another();
    fleet deployment(options);
    const process& frozen = deployment.daemon(resumer);
    frozen.signal(SIGSTOP);
    join_engines(deployment);
    const std::vector<event_stream> begun = begin_streams_and_break(deployment);
    set_store_link(deployment, resumer, "silent");
    std::thread pauses(
        [&]
        {
            std::this_thread::sleep_for(milliseconds(300));
            frozen.signal(SIGCONT);
            std::this_thread::sleep_for(milliseconds(150));
            frozen.signal(SIGSTOP);
            std::this_thread::sleep_for(seconds(2));
            frozen.signal(SIGCONT);
        });
    check_streams_wait_for_the_store(deployment, options, begun);
    pauses.join();
}

// Guards against refusing streams while the store is away although all engines have run
// one version for long. With a silent store each read of a record takes its whole
// timeout.
BOOST_AUTO_TEST_CASE(streams_of_the_only_version_are_resumed_while_the_store_is_away)
{
    fleet_options options = one_version_and_another();
    options.late_engines = 0;
    options.engine_software = {"v1", "v1", "v1", "v1"};
    fleet deployment(options);
    for (const std::string& mode : std::vector<std::string>{"cut", "silent"})
    {
        set_store_links(deployment, mode);
        std::this_thread::sleep_for(seconds(2));
        const std::vector<event_stream> begun = begin_streams_and_break(deployment, mode);
        const resumed_streams resumed =
            resume_streams(deployment, options, begun, "resume-" + mode, mode);
        BOOST_TEST(resumed.interrupted >= streams / 2, mode);
        BOOST_TEST(resumed.continued == resumed.interrupted,
                   mode << ": " << resumed.continued << " of " << resumed.interrupted
                        << " resumed");
        set_store_links(deployment, "pass");
        deployment.start_daemon(beginner);
        BOOST_REQUIRE(
            fleet::wait_for([&] { return deployment.all_ready(); }, seconds(10)));
    }
}
