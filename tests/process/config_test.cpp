// Configuration in force everywhere, also where the store doesn't answer, and the
// operators' view of it.

#define BOOST_TEST_MODULE config
#include "tests/harness/fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <thread>

using namespace pollenhaven::harness;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

// The exit codes that docs/operators/pollenhavenctl.md promises.
constexpr int exit_bad_input = 2;
constexpr int exit_unreachable = 4;

bool serves(const fleet& deployment, int daemon, const std::string& path)
{
    return deployment.send_platform_request(daemon, "probe" + path, path).status == 200;
}

int control_tool(const std::vector<std::string>& arguments, std::string* said = nullptr)
{
    const std::string folder = make_temp_directory();
    process tool(program_path("pollenhavenctl"), arguments, folder + "/errors",
                 folder + "/said");
    const int code = tool.wait(seconds(10)).value_or(-1);
    std::ifstream file(folder + "/said");
    if (said != nullptr)
        *said = std::string((std::istreambuf_iterator<char>(file)),
                            std::istreambuf_iterator<char>());
    return code;
}

} // namespace

BOOST_AUTO_TEST_CASE(an_edit_is_in_force_everywhere_within_three_seconds)
{
    fleet_options options;
    options.daemons = 4;
    options.proxy_store = true;
    const fleet deployment(options);
    // One daemon doesn't reach the store: it learns from its peers.
    control_standin(deployment.store_proxy(3), {{"mode", "cut"}});
    std::this_thread::sleep_for(seconds(2));
    for (int edit = 2; edit < 7; ++edit)
    {
        const std::string path = "/edit-" + std::to_string(edit) + "/";
        deployment.write_configuration(edit, path);
        const bool in_force = fleet::wait_for(
            [&]
            {
                for (int daemon = 0; daemon < 4; ++daemon)
                {
                    const std::string before = "/edit-" + std::to_string(edit - 1) + "/";
                    if (serves(deployment, daemon, before) ||
                        !serves(deployment, daemon, path))
                        return false;
                }
                return true;
            },
            seconds(3));
        BOOST_TEST(in_force, "edit " << edit << " was not in force in time");
    }
}

BOOST_AUTO_TEST_CASE(a_large_configuration_reaches_a_daemon_through_its_peers)
{
    fleet_options options;
    options.proxy_store = true;
    const fleet deployment(options);
    control_standin(deployment.store_proxy(2), {{"mode", "cut"}});
    std::this_thread::sleep_for(seconds(2));
    // Several datagrams long.
    deployment.write_configuration(2, "/" + std::string(40000, 'x') + "/");
    BOOST_TEST(fleet::wait_for(
        [&] {
            return deployment.read_operator_report(
                       2, "status")["configuration_version"] == 2;
        },
        seconds(5)));
}

BOOST_AUTO_TEST_CASE(a_daemon_that_the_store_turns_away_learns_of_endpoints)
{
    fleet_options options;
    options.proxy_store = true;
    const fleet deployment(options);
    control_standin(deployment.store_proxy(2), {{"mode", "cut"}});
    std::this_thread::sleep_for(seconds(2));
    deployment.set_engine_state(0, "draining");
    const auto knows = [&]
    {
        for (const nlohmann::json& line : deployment.read_operator_report(2, "endpoints"))
            if (line["endpoint"] == "i-0")
                return line["state"] == "leaving";
        return false;
    };
    BOOST_TEST(fleet::wait_for(knows, seconds(3)));
}

BOOST_AUTO_TEST_CASE(a_daemon_restarted_in_an_outage_learns_from_its_peers)
{
    fleet deployment;
    BOOST_TEST(deployment.send_platform_chat(2, "before", "a1").status == 200);
    deployment.set_store_down(true);
    std::this_thread::sleep_for(seconds(1));
    deployment.daemon(2).kill();
    deployment.start_daemon(2);
    BOOST_TEST(
        fleet::wait_for([&] { return serves(deployment, 2, "/orders/1"); }, seconds(5)));
    BOOST_TEST(fleet::wait_for(
        [&] { return deployment.send_platform_chat(2, "resident", "a1").status == 200; },
        seconds(5)));
    deployment.set_store_down(false);
    BOOST_TEST(fleet::wait_for([&] { return deployment.all_ready(); }, seconds(5)));
}

BOOST_AUTO_TEST_CASE(operators_see_check_and_compare_the_configuration)
{
    fleet_options options;
    options.daemons = 1;
    options.engines = 1;
    const fleet deployment(options);
    const std::string& store = deployment.store_address();
    std::string shown;
    BOOST_TEST(control_tool({"config", "show", "--store", store}, &shown) == 0);
    nlohmann::json document = nlohmann::json::parse(shown);
    BOOST_TEST(document["version"] == 1);

    const std::string path = make_temp_directory() + "/next.json";
    document["version"] = 2;
    document["routes"][0]["timeoutMs"] = 5000;
    std::ofstream(path) << document.dump();
    std::string said;
    BOOST_TEST(control_tool({"config", "check", "--file", path}, &said) == 0);
    BOOST_TEST(said.find("valid: version 2") != std::string::npos, said);
    BOOST_TEST(
        control_tool({"config", "diff", "--store", store, "--file", path}, &said) == 0);
    BOOST_TEST(said.find("replace /routes/0/timeoutMs  was 4000  is 5000") !=
                   std::string::npos,
               said);

    for (const char* fault : {"not json", "[]", R"({"version":1,"routes":[{}]})"})
    {
        std::ofstream(path) << fault;
        BOOST_TEST(control_tool({"config", "check", "--file", path}) == exit_bad_input,
                   fault);
    }
    document["routes"][0]["service"] = "nowhere";
    std::ofstream(path) << document.dump();
    BOOST_TEST(control_tool({"config", "check", "--file", path}) == exit_bad_input);
    BOOST_TEST(control_tool({"config", "show", "--store", "127.0.0.1:1"}) ==
               exit_unreachable);
}

BOOST_AUTO_TEST_CASE(operators_see_daemons_endpoints_and_holders)
{
    const fleet deployment;
    const std::string& daemon = deployment.operator_address(0);
    for (const char* report : {"status", "endpoints", "adapters", "members", "holders"})
    {
        std::string said;
        BOOST_TEST(control_tool({report, "--daemon", daemon, "--json"}, &said) == 0,
                   report);
        BOOST_TEST(!nlohmann::json::parse(said, nullptr, false).empty(), report);
        BOOST_TEST(control_tool({report, "--daemon", daemon}, &said) == 0);
        BOOST_TEST(!said.empty(), report);
    }
    std::string said;
    control_tool({"holders", "--daemon", daemon, "--json"}, &said);
    BOOST_TEST(nlohmann::json::parse(said).size() == 2U);
    for (const char* mode : {"--stream", "--json"})
        BOOST_TEST(control_tool({"request", "--daemon", deployment.caller_address(0),
                                 "--host", fleet_host, "--model", "base/a1", "--prompt",
                                 "who?", "--max-tokens", "3", mode}) == 0,
                   mode);
    BOOST_TEST(control_tool({"status", "--daemon", "127.0.0.1:1"}) == exit_unreachable);
    BOOST_TEST(control_tool({"status"}) == exit_bad_input);
    BOOST_TEST(control_tool({"nonsense"}) == exit_bad_input);
}
