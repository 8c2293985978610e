#define BOOST_TEST_MODULE config
#include "tests/harness/cluster.hpp"

#include <boost/test/unit_test.hpp>

#include <fstream>

#include <thread>

using namespace pollenhaven::harness;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// The exit codes that docs/operators/pollenhavenctl.md promises.
constexpr int exit_bad_input = 2;
constexpr int exit_lost_race = 3;
constexpr int exit_unreachable = 4;

std::string adapter_text(const std::string& name)
{
    return "[[adapter]]\nname = \"" + name +
           "\"\nversions = [\"v1\"]\npartner = \"suva\"\n";
}

bool serves(const running_daemon& daemon, const std::string& model)
{
    return post(daemon.caller_address, "/v1/chat/completions", chat_body(model, "x", 2))
               .status == 200;
}

int apply(cluster& deployment, const std::string& section, const std::string& text)
{
    const std::string file = deployment.write_file(section + ".toml", text);
    return deployment.control_tool(
        {"config", "apply", "--section", section, "--file", file});
}

} // namespace

BOOST_AUTO_TEST_CASE(an_edit_is_in_force_everywhere_within_three_seconds)
{
    cluster deployment({.daemons = 4, .engines = 2, .relay_key_value = true});
    deployment.wait_ready();
    // One daemon doesn't reach the service: it learns from its peers.
    control(deployment.daemons[3].key_value_relay, {{"mode", "cut"}});
    for (int i = 0; i < 5; ++i)
    {
        const std::string name = "edit-" + std::to_string(i);
        BOOST_TEST(apply(deployment, "more", adapter_text(name)) == 0);
        const bool in_force = eventually(
            [&]
            {
                for (const running_daemon& daemon : deployment.daemons)
                {
                    const nlohmann::json status =
                        get(daemon.caller_address, "/v1/status").parsed();
                    if (status["sections"].value("more", 0) !=
                        get(deployment.daemons[0].caller_address, "/v1/status")
                            .parsed()["sections"]
                            .value("more", -1))
                        return false;
                    if (i > 0 && serves(daemon, "edit-" + std::to_string(i - 1) + "@v1"))
                        return false;
                    if (!serves(daemon, name + "@v1"))
                        return false;
                }
                return true;
            },
            seconds(3));
        BOOST_TEST(in_force, "edit " << i << " was not in force in time");
    }
}

BOOST_AUTO_TEST_CASE(racing_operators_lose_neither_edit)
{
    cluster deployment({.daemons = 2, .engines = 1});
    deployment.wait_ready();
    BOOST_TEST(apply(deployment, "team", adapter_text("zero")) == 0);
    const std::string first = deployment.folder + "/first.toml";
    const std::string second = deployment.folder + "/second.toml";
    for (const std::string& file : {first, second})
        BOOST_TEST(deployment.control_tool(
                       {"config", "edit", "--section", "team", "--file", file}) == 0);
    const auto append = [](const std::string& file, const std::string& text)
    { std::ofstream(file, std::ios::app) << text; };
    append(first, adapter_text("one"));
    append(second, adapter_text("two"));
    BOOST_TEST(deployment.control_tool({"config", "apply", "--section", "team", "--file",
                                        first, "--wait"}) == 0);
    BOOST_TEST(deployment.control_tool({"config", "apply", "--section", "team", "--file",
                                        second}) == exit_lost_race);
    for (const running_daemon& daemon : deployment.daemons)
    {
        BOOST_TEST(serves(daemon, "one@v1"));
        BOOST_TEST(!serves(daemon, "two@v1"));
    }
    // Merged and applied again, both are in force.
    BOOST_TEST(deployment.control_tool(
                   {"config", "edit", "--section", "team", "--file", second}) == 0);
    append(second, adapter_text("two"));
    BOOST_TEST(deployment.control_tool({"config", "apply", "--section", "team", "--file",
                                        second, "--wait"}) == 0);
    for (const running_daemon& daemon : deployment.daemons)
    {
        BOOST_TEST(serves(daemon, "one@v1"));
        BOOST_TEST(serves(daemon, "two@v1"));
    }
}

BOOST_AUTO_TEST_CASE(a_lost_reply_of_an_edit_is_recognised)
{
    cluster deployment({.daemons = 1, .engines = 1});
    deployment.wait_ready();
    control(deployment.key_value, {{"lose_replies", 1}});
    std::string said;
    const std::string file = deployment.write_file("lost.toml", adapter_text("lost"));
    const int code = deployment.control_tool(
        {"config", "apply", "--section", "more", "--file", file, "--wait"}, &said);
    BOOST_TEST(code == 0);
    BOOST_TEST(said.find("accepted") != std::string::npos);
    BOOST_TEST(serves(deployment.daemons[0], "lost@v1"));
}

BOOST_AUTO_TEST_CASE(a_faulty_edit_is_refused_and_changes_nothing)
{
    cluster deployment({.daemons = 1, .engines = 1});
    deployment.wait_ready();
    const std::vector<std::string> faulty = {
        "[[adapter]]\nname = \"x\"\n",
        adapter_text("x") + "colour = 1\n",
        "[[adapter]]\nname = \"x\"\nversions = [\"v1\"]\npartner = \"nobody\"\n",
        "[[partner]]\nname = \"suva\"\n",
        "[oops]\n",
        "not toml"};
    for (const std::string& text : faulty)
        BOOST_TEST(apply(deployment, "faulty", text) == exit_bad_input);
    BOOST_TEST(serves(deployment.daemons[0], deployment.model(0)));
}

BOOST_AUTO_TEST_CASE(a_daemon_restarted_in_an_outage_learns_from_its_peers)
{
    cluster deployment({.daemons = 3, .engines = 2});
    deployment.wait_ready();
    // One that owns no engine, so that the engines keep serving.
    std::size_t restarted = 0;
    for (std::size_t i = 0; i < deployment.daemons.size(); ++i)
    {
        const std::string& id = deployment.daemons[i].id;
        if (deployment.owner_of("engine-0") != id &&
            deployment.owner_of("engine-1") != id)
            restarted = i;
    }
    control(deployment.key_value, {{"state", "down"}});
    deployment.daemons[restarted].program->kill();
    deployment.start_daemon(restarted);
    BOOST_TEST(eventually(
        [&] { return serves(deployment.daemons[restarted], "suva-1@v1"); }, seconds(5)));
    control(deployment.key_value, {{"state", "up"}});
    deployment.wait_ready();
}

// The daemon that grants the store's permits dies and comes back in an outage, so that it
// doesn't hold them any more, and nobody else can take them.
BOOST_AUTO_TEST_CASE(loads_go_on_without_a_permit_holder)
{
    cluster deployment({.daemons = 3, .engines = 3});
    deployment.wait_ready();
    const std::string holder = get(deployment.daemons[0].caller_address, "/v1/status")
                                   .parsed()
                                   .value("store_holder", "");
    const std::size_t other = deployment.daemons[0].id == holder ? 1 : 0;
    std::size_t restarted = 0;
    while (deployment.daemons[restarted].id != holder)
        ++restarted;
    control(deployment.key_value, {{"state", "down"}});
    deployment.daemons[restarted].program->kill();
    deployment.start_daemon(restarted);
    std::this_thread::sleep_for(seconds(3));
    for (int i = 0; i < 3; ++i)
        BOOST_TEST(serves(deployment.daemons[other], deployment.model(i)));
    control(deployment.key_value, {{"state", "up"}});
}

BOOST_AUTO_TEST_CASE(an_edit_in_an_outage_says_so)
{
    cluster deployment({.daemons = 1, .engines = 1});
    deployment.wait_ready();
    control(deployment.key_value, {{"state", "down"}});
    BOOST_TEST(apply(deployment, "more", adapter_text("x")) == exit_unreachable);
    control(deployment.key_value, {{"state", "up"}});
    BOOST_TEST(apply(deployment, "more", adapter_text("x")) == 0);
}
