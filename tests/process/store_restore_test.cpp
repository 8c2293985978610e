// A store that comes back from an older copy of itself: what was written since is gone,
// and its revisions are given out again.

#define BOOST_TEST_MODULE store_restore
#include "tests/process/checks.hpp"

#include <thread>

using namespace pollenhaven::harness;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

// The time within which a change must be in force, and a leaving endpoint left alone.
constexpr seconds change_bound{3};
constexpr milliseconds drain_bound{2000};

void save_copy(const fleet& deployment)
{
    control_standin(deployment.store_address(), {{"copy", true}});
}

void restore_copy(const fleet& deployment)
{
    control_standin(deployment.store_address(), {{"restore", true}});
}

std::string path_of_edit(int version)
{
    return "/edit-" + std::to_string(version) + "/";
}

bool all_serve(const fleet& deployment, const std::string& path)
{
    for (int daemon = 0; daemon < deployment.daemon_count(); ++daemon)
        if (deployment.send_platform_request(daemon, "probe" + path, path).status != 200)
            return false;
    return true;
}

// Makes changes that the restored store will have forgotten, so that its revisions are
// far behind those that the daemons know.
void make_changes(const fleet& deployment, int last_version)
{
    for (int version = 2; version <= last_version; ++version)
    {
        deployment.write_configuration(version, path_of_edit(version));
        for (const int engine : {0, 1})
            deployment.set_engine_state(engine, "ready");
    }
    BOOST_REQUIRE(fleet::wait_for(
        [&] { return all_serve(deployment, path_of_edit(last_version)); }, change_bound));
}

int requests_at(const fleet& deployment, int engine)
{
    return static_cast<int>(deployment.engine_counts(engine)["arrivals"].size());
}

} // namespace

// Guards against a change that is taken for an old one, because the store gives out again
// the revisions that it has lost (CONFIG), and against a configuration that goes back.
BOOST_AUTO_TEST_CASE(a_configuration_is_in_force_in_time_after_a_restored_store)
{
    const fleet deployment;
    save_copy(deployment);
    make_changes(deployment, 6);
    restore_copy(deployment);
    BOOST_TEST(all_serve(deployment, path_of_edit(6)));
    deployment.write_configuration(6, path_of_edit(6));
    std::this_thread::sleep_for(milliseconds(500));
    BOOST_TEST(all_serve(deployment, path_of_edit(6)));
    deployment.write_configuration(7, "/late/");
    BOOST_TEST(
        fleet::wait_for([&] { return all_serve(deployment, "/late/"); }, change_bound));
}

// Guards against requests at an endpoint whose leaving is taken for an old change
// (DRAIN).
BOOST_AUTO_TEST_CASE(an_engine_that_leaves_after_a_restored_store_gets_no_requests)
{
    const fleet deployment;
    save_copy(deployment);
    make_changes(deployment, 6);
    restore_copy(deployment);
    std::this_thread::sleep_for(seconds(1));
    deployment.set_engine_state(0, "draining");
    std::this_thread::sleep_for(drain_bound);
    const int before = requests_at(deployment, 0);
    for (int request = 0; request < 30; ++request)
        deployment.send_platform_chat(request % deployment.daemon_count(),
                                      "after-" + std::to_string(request),
                                      "a" + std::to_string(request % 6));
    BOOST_TEST(requests_at(deployment, 0) == before);
}

// Guards against requests at an endpoint that is gone, because the restored store has its
// entry again (DRAIN).
BOOST_AUTO_TEST_CASE(an_engine_that_was_removed_is_not_used_because_the_copy_has_it)
{
    const fleet deployment;
    save_copy(deployment);
    make_changes(deployment, 3);
    deployment.remove_engine(0);
    std::this_thread::sleep_for(drain_bound);
    const int before = requests_at(deployment, 0);
    restore_copy(deployment);
    for (int request = 0; request < 60; ++request)
    {
        deployment.send_platform_chat(request % deployment.daemon_count(),
                                      "after-" + std::to_string(request),
                                      "a" + std::to_string(request % 3));
        std::this_thread::sleep_for(milliseconds(20));
    }
    BOOST_TEST(requests_at(deployment, 0) == before);
}

// Guards against two holders of one engine, and orders with a token that is lower than an
// earlier one, after a store has forgotten a takeover (ONE).
BOOST_AUTO_TEST_CASE(tokens_of_orders_never_decrease_after_a_restored_store)
{
    fleet deployment;
    save_copy(deployment);
    make_changes(deployment, 6);
    const std::string holder =
        settled_holders(deployment, fleet_options().engines).begin()->second;
    const int killed = holder.back() - '0';
    const int observer = killed == 0 ? 1 : 0;
    deployment.daemon(killed).kill();
    BOOST_REQUIRE(fleet::wait_for(
        [&] { return holders_by_engine(deployment, observer).begin()->second != holder; },
        seconds(15)));
    const auto load_adapters = [&](const std::string& kind, int count)
    {
        int served = 0;
        for (int number = 0; number < count; ++number)
            served += serves_adapter(deployment, observer, kind + std::to_string(number));
        return served;
    };
    BOOST_TEST(
        fleet::wait_for([&] { return load_adapters("before", 4) == 4; }, seconds(15)));
    restore_copy(deployment);
    deployment.start_daemon(killed);
    BOOST_TEST(
        fleet::wait_for([&] { return load_adapters("after", 8) == 8; }, seconds(25)));
    check_fencing_tokens_never_decrease(deployment, 2);
}
