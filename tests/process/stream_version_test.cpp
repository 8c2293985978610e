// Streams that are resumed while engines of two software versions serve.

#define BOOST_TEST_MODULE stream_versions
#include "tests/process/checks.hpp"

#include <future>
#include <set>
#include <thread>

using namespace pollenhaven::harness;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr int streams = 40;
// Streams are about half done when the daemons are killed.
constexpr milliseconds kill_after{1000};

fleet_options two_versions()
{
    fleet_options options;
    options.daemons = 4;
    options.engines = 4;
    options.engine_software = {"v1", "v2", "v1", "v2"};
    options.resumable_chats = true;
    options.events_per_stream = 40;
    options.event_interval_ms = 50;
    return options;
}

// Begins streams through all daemons and kills all daemons at once while they run.
std::vector<event_stream> begin_streams_and_kill(fleet& deployment)
{
    std::vector<event_stream> begun(streams);
    std::vector<std::thread> callers;
    callers.reserve(streams);
    for (int number = 0; number < streams; ++number)
        callers.emplace_back(
            [&, number]
            {
                begun.at(static_cast<std::size_t>(number)) =
                    deployment.stream_platform_chat(number % deployment.daemon_count(),
                                                    request_id("begin", number));
            });
    std::this_thread::sleep_for(kill_after);
    deployment.kill_all_daemons();
    for (std::thread& caller : callers)
        caller.join();
    return begun;
}

// What became of the streams that callers resumed, each at another daemon than the one
// that began it.
struct resumed_streams
{
    int interrupted = 0;
    int continued = 0;
    int joined_from_two_versions = 0;
    // Refusals, by the version that began the stream.
    std::map<std::string, int> refused;
    std::map<std::string, int> interrupted_by_version;
    std::set<std::string> errors;
};

// Resumes all streams that were broken off, at the same time.
std::vector<event_stream> send_resumptions(const fleet& deployment,
                                           const std::vector<event_stream>& begun)
{
    std::vector<event_stream> rest(streams);
    std::vector<std::thread> callers;
    callers.reserve(streams);
    for (int number = 0; number < streams; ++number)
        callers.emplace_back(
            [&, number]
            {
                const auto index = static_cast<std::size_t>(number);
                if (!begun.at(index).events.empty())
                    rest.at(index) = deployment.resume_platform_chat(
                        (number + 1) % deployment.daemon_count(),
                        request_id("resume", number), request_id("begin", number),
                        begun.at(index).events.rbegin()->first);
            });
    for (std::thread& caller : callers)
        caller.join();
    return rest;
}

resumed_streams resume_streams(const fleet& deployment, const fleet_options& options,
                               const std::vector<event_stream>& begun)
{
    resumed_streams result;
    const std::vector<event_stream> resumed = send_resumptions(deployment, begun);
    for (std::size_t index = 0; index < resumed.size(); ++index)
    {
        if (begun.at(index).events.empty())
            continue;
        ++result.interrupted;
        const std::string began_at =
            software_of(options, begun.at(index).events.begin()->second);
        ++result.interrupted_by_version[began_at];
        const event_stream& rest = resumed.at(index);
        if (rest.status != 200)
        {
            ++result.refused[began_at];
            result.errors.insert(rest.error);
            continue;
        }
        ++result.continued;
        result.joined_from_two_versions +=
            has_event_of_other_version(options, rest, began_at) ? 1 : 0;
    }
    return result;
}

// One stream over the tries of its caller.
struct caller_stream
{
    // The request that brought its first event, and what came then.
    std::string begun_as;
    event_stream begun;
    event_stream rest;
};

// Begins a stream at daemon 0, at another one if that fails, and resumes it there once
// `may_resume` has returned.
caller_stream run_caller(const fleet& deployment, int number,
                         const std::function<void()>& may_resume)
{
    caller_stream result;
    const int other = 1 + number % (deployment.daemon_count() - 1);
    result.begun_as = request_id("begin", number);
    result.begun = deployment.stream_platform_chat(0, result.begun_as);
    if (result.begun.events.empty())
    {
        result.begun_as = request_id("again", number);
        result.begun = deployment.stream_platform_chat(other, result.begun_as);
    }
    if (result.begun.is_complete || result.begun.events.empty())
        return result;
    may_resume();
    result.rest = deployment.resume_platform_chat(other, request_id("resume", number),
                                                  result.begun_as,
                                                  result.begun.events.rbegin()->first);
    return result;
}

// Begins streams one after the other at daemon 0. Meanwhile the store falls silent, the
// daemon is killed, and the store is back.
std::vector<caller_stream> run_callers_through_outage(fleet& deployment)
{
    constexpr milliseconds between_streams{25};
    constexpr milliseconds silent_after{300};
    constexpr milliseconds kill_after_silence{2500};
    std::promise<void> store_is_back;
    const std::shared_future<void> back = store_is_back.get_future().share();
    std::vector<caller_stream> results(streams);
    std::vector<std::thread> threads;
    threads.emplace_back(
        [&]
        {
            std::this_thread::sleep_for(silent_after);
            set_store_links(deployment, "silent");
            std::this_thread::sleep_for(kill_after_silence);
            deployment.daemon(0).kill();
            set_store_links(deployment, "pass");
            std::this_thread::sleep_for(seconds(1));
            store_is_back.set_value();
        });
    for (int number = 0; number < streams; ++number)
    {
        threads.emplace_back(
            [&, number]
            {
                results.at(static_cast<std::size_t>(number)) =
                    run_caller(deployment, number, [&] { back.wait(); });
            });
        std::this_thread::sleep_for(between_streams);
    }
    for (std::thread& thread : threads)
        thread.join();
    return results;
}

} // namespace

// Guards against streams whose version has no record, since the store fell silent as they
// began, and which another daemon resumes at the base version after a kill (ORDER).
BOOST_AUTO_TEST_CASE(streams_begun_as_the_store_falls_silent_are_not_joined_after_a_kill)
{
    fleet_options options = two_versions();
    options.proxy_store = true;
    options.events_per_stream = 70;
    fleet deployment(options);
    int complete = 0;
    int joined = 0;
    std::set<std::string> versions;
    for (const caller_stream& result : run_callers_through_outage(deployment))
    {
        if (result.begun.events.empty())
            continue;
        const std::string version =
            software_of(options, result.begun.events.begin()->second);
        versions.insert(version);
        for (const event_stream& part : {result.begun, result.rest})
        {
            complete += part.status == 200 && part.is_complete ? 1 : 0;
            joined += has_event_of_other_version(options, part, version) ? 1 : 0;
        }
    }
    BOOST_TEST(versions.size() == 2U);
    BOOST_TEST(joined == 0);
    // Nine of ten streams that can go on have to.
    BOOST_TEST(10 * complete >= 9 * streams,
               complete << " of " << streams << " complete");
}

// Guards against streams that their callers resume, after all daemons were killed, at an
// engine of another software version than the one that began them (ORDER), and against
// refusing them although that version serves (LOST).
BOOST_AUTO_TEST_CASE(a_stream_is_resumed_at_its_version_after_all_daemons_were_killed)
{
    const fleet_options options = two_versions();
    fleet deployment(options);
    const std::vector<event_stream> begun = begin_streams_and_kill(deployment);
    BOOST_REQUIRE(deployment.start_all_daemons());
    const resumed_streams resumed = resume_streams(deployment, options, begun);
    BOOST_TEST(resumed.interrupted >= streams / 2);
    BOOST_TEST(resumed.interrupted_by_version.size() == 2U);
    BOOST_TEST(resumed.joined_from_two_versions == 0);
    BOOST_TEST(resumed.continued == resumed.interrupted);
}

// Guards against streams that are continued at the new version because the engines of the
// old one have left meanwhile (ORDER).
BOOST_AUTO_TEST_CASE(a_stream_whose_version_has_left_is_refused_and_others_are_resumed)
{
    const fleet_options options = two_versions();
    fleet deployment(options);
    const std::vector<event_stream> begun = begin_streams_and_kill(deployment);
    for (const int engine : {0, 2})
        deployment.remove_engine(engine);
    BOOST_REQUIRE(deployment.start_all_daemons());
    const resumed_streams resumed = resume_streams(deployment, options, begun);
    BOOST_TEST(resumed.interrupted_by_version.size() == 2U);
    BOOST_TEST(resumed.joined_from_two_versions == 0);
    const std::map<std::string, int> expected_refusals{
        {"v1", resumed.interrupted_by_version.at("v1")}};
    BOOST_TEST((resumed.refused == expected_refusals));
    BOOST_TEST((resumed.errors == std::set<std::string>{"stream_version_unavailable"}));
}
