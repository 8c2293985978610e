// Streams that are resumed at a daemon that doesn't reach the store.

#define BOOST_TEST_MODULE out_of_step
#include "tests/process/checks.hpp"

#include <set>
#include <thread>

using namespace pollenhaven::harness;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

// Few enough that the engines have room for them twice: what a killed daemon had in flight
// counts for a while.
constexpr int streams = 12;
// The daemon through which streams begin, and the one at which they are resumed.
constexpr int beginner = 0;
constexpr int resumer = 2;
// Streams are broken off before their end, and after their first events.
constexpr milliseconds break_after{1000};

fleet_options engines_of_one_version()
{
    fleet_options options;
    options.daemons = 4;
    options.engines = 2;
    options.engine_software = {"v1", "v1"};
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
    std::chrono::steady_clock::duration duration{};
};

// Resumes all streams at once at the daemon that is, or was, out of step.
resumed_streams resume_streams(const fleet& deployment, const fleet_options& options,
                               const std::vector<event_stream>& begun,
                               const std::string& kind,
                               const std::string& begun_as = "begin")
{
    const auto began = std::chrono::steady_clock::now();
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
    result.duration = std::chrono::steady_clock::now() - began;
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
        const auto is_other = [&](const auto& event)
        { return software_of(options, event.second) != version; };
        result.joined_from_two_versions +=
            std::any_of(rest.events.begin(), rest.events.end(), is_other) ? 1 : 0;
    }
    return result;
}

void set_store_link(const fleet& deployment, int daemon, const std::string& mode)
{
    control_standin(deployment.store_proxy_control_address(daemon), {{"mode", mode}});
}

} // namespace

// Guards against refusing streams while the store is away although all engines have run
// one version for long. With a silent store each read of a record takes its whole
// timeout.
BOOST_AUTO_TEST_CASE(streams_of_the_only_version_are_resumed_while_the_store_is_away)
{
    const fleet_options options = engines_of_one_version();
    fleet deployment(options);
    for (const std::string& mode : std::vector<std::string>{"cut", "silent"})
    {
        for (int daemon = 0; daemon < deployment.daemon_count(); ++daemon)
            set_store_link(deployment, daemon, mode);
        std::this_thread::sleep_for(seconds(2));
        const std::vector<event_stream> begun = begin_streams_and_break(deployment, mode);
        const resumed_streams resumed =
            resume_streams(deployment, options, begun, "resume-" + mode, mode);
        BOOST_TEST(resumed.interrupted >= streams / 2, mode);
        BOOST_TEST(resumed.continued == resumed.interrupted,
                   mode << ": " << resumed.continued << " of " << resumed.interrupted
                        << " resumed");
        for (int daemon = 0; daemon < deployment.daemon_count(); ++daemon)
            set_store_link(deployment, daemon, "pass");
        deployment.start_daemon(beginner);
        BOOST_REQUIRE(
            fleet::wait_for([&] { return deployment.all_ready(); }, seconds(10)));
    }
}
