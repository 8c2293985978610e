// Distribution of the configuration to all daemons, including those that can't reach the
// store, and the operator tool pollenhavenctl.

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

// Exit codes as documented in docs/operators/pollenhavenctl.md.
constexpr int exit_bad_input = 2;
constexpr int exit_unreachable = 4;

bool serves_path(const fleet& deployment, int daemon, const std::string& path)
{
    return deployment.send_platform_request(daemon, "probe" + path, path).status == 200;
}

int run_pollenhavenctl(const std::vector<std::string>& arguments,
                       std::string* output = nullptr)
{
    const std::string directory = make_temp_directory();
    process tool(program_path("pollenhavenctl"), arguments, directory + "/errors",
                 directory + "/output");
    const int code = tool.wait(seconds(10)).value_or(-1);
    std::ifstream file(directory + "/output");
    if (output != nullptr)
        *output = std::string((std::istreambuf_iterator<char>(file)),
                              std::istreambuf_iterator<char>());
    return code;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_new_configuration_is_in_force_on_all_daemons_within_three_seconds)
{
    fleet_options options;
    options.daemons = 4;
    options.proxy_store = true;
    const fleet deployment(options);
    // Daemon 3 can't reach the store and receives the configuration from its peers.
    control_standin(deployment.store_proxy_control_address(3), {{"mode", "cut"}});
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
                    const std::string previous_path =
                        "/edit-" + std::to_string(edit - 1) + "/";
                    if (serves_path(deployment, daemon, previous_path) ||
                        !serves_path(deployment, daemon, path))
                        return false;
                }
                return true;
            },
            seconds(3));
        BOOST_TEST(in_force,
                   "configuration version " << edit << " was not in force after 3 s");
    }
}

BOOST_AUTO_TEST_CASE(a_large_configuration_reaches_a_daemon_through_its_peers)
{
    fleet_options options;
    options.proxy_store = true;
    const fleet deployment(options);
    control_standin(deployment.store_proxy_control_address(2), {{"mode", "cut"}});
    std::this_thread::sleep_for(seconds(2));
    // Too large for one datagram, so it is sent in several.
    deployment.write_configuration(2, "/" + std::string(40000, 'x') + "/");
    BOOST_TEST(fleet::wait_for(
        [&] {
            return deployment.read_operator_report(
                       2, "status")["configuration_version"] == 2;
        },
        seconds(5)));
}

BOOST_AUTO_TEST_CASE(a_daemon_disconnected_from_the_store_receives_endpoint_changes)
{
    fleet_options options;
    options.proxy_store = true;
    const fleet deployment(options);
    control_standin(deployment.store_proxy_control_address(2), {{"mode", "cut"}});
    std::this_thread::sleep_for(seconds(2));
    deployment.set_engine_state(0, "draining");
    const auto reports_engine_as_leaving = [&]
    {
        for (const nlohmann::json& line : deployment.read_operator_report(2, "endpoints"))
            if (line["endpoint"] == "i-0")
                return line["state"] == "leaving";
        return false;
    };
    BOOST_TEST(fleet::wait_for(reports_engine_as_leaving, seconds(3)));
}

BOOST_AUTO_TEST_CASE(a_daemon_restarted_in_a_store_outage_gets_its_state_from_peers)
{
    fleet deployment;
    BOOST_TEST(deployment.send_platform_chat(2, "before", "a1").status == 200);
    deployment.set_store_down(true);
    std::this_thread::sleep_for(seconds(1));
    deployment.daemon(2).kill();
    deployment.start_daemon(2);
    BOOST_TEST(fleet::wait_for([&] { return serves_path(deployment, 2, "/orders/1"); },
                               seconds(5)));
    BOOST_TEST(fleet::wait_for(
        [&] { return deployment.send_platform_chat(2, "resident", "a1").status == 200; },
        seconds(5)));
    deployment.set_store_down(false);
    BOOST_TEST(fleet::wait_for([&] { return deployment.all_ready(); }, seconds(5)));
}

BOOST_AUTO_TEST_CASE(pollenhavenctl_shows_checks_and_diffs_the_configuration)
{
    fleet_options options;
    options.daemons = 1;
    options.engines = 1;
    const fleet deployment(options);
    const std::string& store = deployment.store_address();
    std::string shown_configuration;
    BOOST_TEST(run_pollenhavenctl({"config", "show", "--store", store},
                                  &shown_configuration) == 0);
    nlohmann::json document = nlohmann::json::parse(shown_configuration);
    BOOST_TEST(document["version"] == 1);

    const std::string path = make_temp_directory() + "/next.json";
    document["version"] = 2;
    document["routes"][0]["timeoutMs"] = 5000;
    std::ofstream(path) << document.dump();
    std::string output;
    BOOST_TEST(run_pollenhavenctl({"config", "check", "--file", path}, &output) == 0);
    BOOST_TEST(output.find("valid: version 2") != std::string::npos, output);
    BOOST_TEST(run_pollenhavenctl({"config", "diff", "--store", store, "--file", path},
                                  &output) == 0);
    BOOST_TEST(output.find("replace /routes/0/timeoutMs  was 4000  is 5000") !=
                   std::string::npos,
               output);

    for (const char* invalid_document :
         {"not json", "[]", R"({"version":1,"routes":[{}]})"})
    {
        std::ofstream(path) << invalid_document;
        BOOST_TEST(run_pollenhavenctl({"config", "check", "--file", path}) ==
                       exit_bad_input,
                   invalid_document);
    }
    document["routes"][0]["service"] = "nowhere";
    std::ofstream(path) << document.dump();
    BOOST_TEST(run_pollenhavenctl({"config", "check", "--file", path}) == exit_bad_input);
    BOOST_TEST(run_pollenhavenctl({"config", "show", "--store", "127.0.0.1:1"}) ==
               exit_unreachable);
}

BOOST_AUTO_TEST_CASE(pollenhavenctl_shows_reports_and_sends_requests)
{
    const fleet deployment;
    const std::string& daemon = deployment.operator_address(0);
    for (const char* report : {"status", "endpoints", "adapters", "members", "holders"})
    {
        std::string output;
        BOOST_TEST(run_pollenhavenctl({report, "--daemon", daemon, "--json"}, &output) ==
                       0,
                   report);
        BOOST_TEST(!nlohmann::json::parse(output, nullptr, false).empty(), report);
        BOOST_TEST(run_pollenhavenctl({report, "--daemon", daemon}, &output) == 0);
        BOOST_TEST(!output.empty(), report);
    }
    std::string output;
    run_pollenhavenctl({"holders", "--daemon", daemon, "--json"}, &output);
    BOOST_TEST(nlohmann::json::parse(output).size() == 2U);
    for (const char* mode : {"--stream", "--json"})
        BOOST_TEST(
            run_pollenhavenctl({"request", "--daemon", deployment.caller_address(0),
                                "--host", fleet_host, "--model", "base/a1", "--prompt",
                                "who?", "--max-tokens", "3", mode}) == 0,
            mode);
    BOOST_TEST(run_pollenhavenctl({"status", "--daemon", "127.0.0.1:1"}) ==
               exit_unreachable);
    BOOST_TEST(run_pollenhavenctl({"status"}) == exit_bad_input);
    BOOST_TEST(run_pollenhavenctl({"nonsense"}) == exit_bad_input);
}
