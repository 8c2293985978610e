// Streams of a daemon that is gone, after the store has come back from a copy of itself
// that lacks their records, while engines of two software versions serve.

#define BOOST_TEST_MODULE stream_restore
#include "tests/process/checks.hpp"

#include <set>
#include <thread>

using namespace pollenhaven::harness;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr int status_ok = 200;
constexpr int streams = 40;
constexpr milliseconds between_streams{25};
constexpr milliseconds store_away{300};
constexpr milliseconds between_restores{700};
// Until then the last streams have begun.
constexpr milliseconds settling_time{500};

fleet_options two_versions()
{
    fleet_options options;
    options.daemons = 4;
    options.engines = 6;
    options.engine_software = {"v1", "v2", "v1", "v2", "v1", "v2"};
    options.resumable_chats = true;
    options.events_per_stream = 70;
    options.event_interval_ms = 50;
    return options;
}

// How the streams of daemon 0 end and what happens to the fleet meanwhile.
struct disruption
{
    // How long callers wait before they resume their streams elsewhere.
    milliseconds callers_wait{0};
    // The number of times that the store comes back from the copy.
    int restores = 1;
    // The daemons are killed this long after the restore instead of while the store is
    // away, if it isn't zero.
    milliseconds killed_after_restore{0};
    // This daemon is killed together with daemon 0, if it isn't 0.
    int also_killed = 0;
};

bool is_served(const event_stream& stream)
{
    return stream.status == status_ok && stream.is_complete;
}

struct outcome
{
    std::set<std::string> versions;
    int complete = 0;
    int joined = 0;
    std::set<std::string> errors;
};

void restore_copy(const fleet& deployment)
{
    std::this_thread::sleep_for(store_away);
    control_standin(deployment.store_address(), {{"restore", true}});
    deployment.set_store_down(false);
}

void kill_daemons(fleet& deployment, const disruption& disrupted)
{
    deployment.daemon(0).kill();
    if (disrupted.also_killed != 0)
        deployment.daemon(disrupted.also_killed).kill();
}

// Lets the store come back from the copy, and kills the daemons.
void restore_and_kill(fleet& deployment, const disruption& disrupted)
{
    const bool are_killed_later = disrupted.killed_after_restore.count() > 0;
    deployment.set_store_down(true);
    if (!are_killed_later)
        kill_daemons(deployment, disrupted);
    restore_copy(deployment);
    for (int time = 1; time < disrupted.restores; ++time)
    {
        std::this_thread::sleep_for(between_restores);
        deployment.set_store_down(true);
        restore_copy(deployment);
    }
    std::this_thread::sleep_for(disrupted.killed_after_restore);
    if (are_killed_later)
        kill_daemons(deployment, disrupted);
}

// Begins streams at daemon 0, which is then lost while the store comes back from a copy
// that was made before, and resumes them at the daemons that are left.
outcome lose_daemon_and_records(const disruption& disrupted)
{
    const fleet_options options = two_versions();
    fleet deployment(options);
    control_standin(deployment.store_address(), {{"copy", true}});
    std::vector<event_stream> begun(streams);
    std::vector<event_stream> rest(streams);
    std::vector<int> left;
    for (int daemon = 1; daemon < options.daemons; ++daemon)
        if (daemon != disrupted.also_killed)
            left.push_back(daemon);
    std::vector<std::thread> callers;
    for (int number = 0; number < streams; ++number)
    {
        const auto index = static_cast<std::size_t>(number);
        callers.emplace_back(
            [&, number, index]
            {
                begun.at(index) =
                    deployment.stream_platform_chat(0, request_id("begin", number));
                if (begun.at(index).is_complete || begun.at(index).events.empty())
                    return;
                std::this_thread::sleep_for(disrupted.callers_wait);
                rest.at(index) = deployment.resume_platform_chat(
                    left.at(index % left.size()), request_id("resume", number),
                    request_id("begin", number), begun.at(index).events.rbegin()->first);
            });
        std::this_thread::sleep_for(between_streams);
    }
    std::this_thread::sleep_for(settling_time);
    restore_and_kill(deployment, disrupted);
    for (std::thread& caller : callers)
        caller.join();
    outcome result;
    for (std::size_t index = 0; index < begun.size(); ++index)
    {
        if (begun.at(index).events.empty())
            continue;
        const std::string version =
            software_of(options, begun.at(index).events.begin()->second);
        result.versions.insert(version);
        result.complete += is_served(begun.at(index)) || is_served(rest.at(index));
        result.joined += has_event_of_other_version(options, rest.at(index), version);
        result.errors.insert(rest.at(index).error);
    }
    return result;
}

void check(const outcome& result)
{
    BOOST_TEST(result.versions.size() == 2U);
    BOOST_TEST(result.joined == 0);
    // Nine of ten streams whose beginning a daemon that is left could know must go on.
    BOOST_TEST(10 * result.complete >= 9 * streams,
               result.complete << " of " << streams << " complete");
    for (const std::string& error : result.errors)
        BOOST_TEST_MESSAGE("error: '" << error << "'");
}

} // namespace

// Guards against streams of a lost daemon that are resumed at the base version, because a
// restored store lacks their records (ORDER), and against refusing all of them.
BOOST_AUTO_TEST_CASE(streams_of_a_killed_daemon_go_on_at_their_version_at_once)
{
    check(lose_daemon_and_records({}));
}

// Guards against the same when callers come after the time in which the daemons that are
// left have written their own records again.
BOOST_AUTO_TEST_CASE(streams_of_a_killed_daemon_go_on_at_their_version_seconds_later)
{
    disruption late;
    late.callers_wait = seconds(6);
    check(lose_daemon_and_records(late));
}

// Guards against the loss of what was written again after a first restore.
BOOST_AUTO_TEST_CASE(streams_of_a_killed_daemon_go_on_after_two_restores)
{
    disruption twice;
    twice.restores = 2;
    twice.callers_wait = seconds(3);
    check(lose_daemon_and_records(twice));
}

// Guards against holders of copies that are lost together with the daemon that wrote the
// records.
BOOST_AUTO_TEST_CASE(streams_go_on_although_another_daemon_is_lost_too)
{
    disruption both;
    both.also_killed = 2;
    both.callers_wait = seconds(6);
    check(lose_daemon_and_records(both));
}

// Guards against a daemon that is lost before it has written its records again.
BOOST_AUTO_TEST_CASE(streams_go_on_whose_daemon_is_lost_just_after_the_restore)
{
    disruption later;
    later.killed_after_restore = milliseconds(30);
    later.callers_wait = seconds(3);
    check(lose_daemon_and_records(later));
}
