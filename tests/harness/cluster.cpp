#include "tests/harness/cluster.hpp"

#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace pollenhaven::harness
{

namespace
{

using nlohmann::json;

std::string loopback(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string option(const std::string& name, int value)
{
    return "--" + name + "=" + std::to_string(value);
}

std::string in_quotes(const std::string& text)
{
    return "\"" + text + "\"";
}

// One of the examples in config/, which the demo and the tests use.
std::string read_example(const std::string& name)
{
    std::ifstream file(std::string(POLLENHAVEN_CONFIG_FOLDER) + "/" + name);
    if (!file)
        throw std::runtime_error("the example " + name + " can't be read");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// Replaces the value in the line that sets the key.
void set_value(std::string& text, const std::string& key, const std::string& value)
{
    const std::string start = "\n" + key + " = ";
    const std::size_t line = text.find(start);
    if (line == std::string::npos)
        throw std::runtime_error("the example doesn't set " + key);
    const std::size_t from = line + start.size();
    text.replace(from, text.find('\n', from) - from, value);
}

std::vector<std::string> with_role(const std::string& role,
                                   const std::vector<std::string>& more)
{
    std::vector<std::string> arguments{"--role=" + role};
    arguments.insert(arguments.end(), more.begin(), more.end());
    return arguments;
}

std::string make_folder()
{
    std::string pattern =
        (std::filesystem::temp_directory_path() / "pollenhaven-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("can't make a folder for a test");
    return pattern;
}

} // namespace

standin::standin(const std::string& role, const std::vector<std::string>& more)
    : program_(program_path("pollenhaven-standin"), with_role(role, more), "/dev/null")
{
    const std::string line = program_.read_line();
    address_ = line.substr(line.find(' ') + 1);
}

cluster::cluster(const cluster_options& given) : options(given), folder(make_folder())
{
    key_value = start_standin("key-value", {});
    store = start_standin(
        "store", {option("milliloads-per-second", options.milliloads_per_second)});
    instances = start_standin("instances", {"--lag-ms=500"});
    for (int i = 0; i < options.engines; ++i)
    {
        const bool checks = i < options.engines_checking_fencing;
        const std::string address = start_standin(
            "engine", {option("slots", options.slots), option("step-ms", options.step_ms),
                       option("check-fencing", checks ? 1 : 0), "--store=" + store});
        engines.push_back(address);
        std::string used = address;
        if (options.relay_engines)
        {
            used = loopback(free_port());
            engine_relays.push_back(start_relay(used, address));
        }
        engine_addresses_.push_back(used);
        set_instance("engine-" + std::to_string(i), "live");
    }
    for (int i = 0; i < options.service_workers; ++i)
        services.push_back(start_standin("service", {}));
    apply_section(options.partner, read_example(options.partner + ".document.toml"));
    apply_section("fleet", make_fleet_section());
    for (int i = 0; i < options.daemons; ++i)
    {
        running_daemon daemon;
        daemon.id = options.partner + "-entry-" + std::to_string(i + 1);
        daemon.caller_address = loopback(free_port());
        daemon.peer_address = loopback(free_port());
        daemons.push_back(std::move(daemon));
    }
    for (std::size_t i = 0; i < daemons.size(); ++i)
    {
        write_settings(daemons[i], i);
        set_instance(daemons[i].id, "live");
        start_daemon(i);
    }
}

cluster::~cluster()
{
    daemons.clear();
    standins_.clear();
    if (std::uncaught_exceptions() == 0 && std::getenv("POLLENHAVEN_KEEP") == nullptr)
        std::filesystem::remove_all(folder);
}

std::string cluster::start_standin(const std::string& role,
                                   const std::vector<std::string>& more)
{
    standins_.push_back(std::make_unique<process>(program_path("pollenhaven-standin"),
                                                  with_role(role, more),
                                                  folder + "/standins.log"));
    const std::string line = standins_.back()->read_line();
    return line.substr(line.find(' ') + 1);
}

std::string cluster::start_relay(const std::string& listen, const std::string& target)
{
    return start_standin("relay", {"--listen=" + listen, "--target=" + target});
}

std::string cluster::model(int number) const
{
    return options.partner + "-" + std::to_string(number) + "@v1";
}

void cluster::apply_section(const std::string& name, const std::string& text)
{
    const std::string file = write_file(name + ".toml", text);
    if (control_tool({"config", "apply", "--section", name, "--file", file}) != 0)
        throw std::runtime_error("section " + name + " was refused; see " + folder);
}

std::string cluster::make_fleet_section() const
{
    std::ostringstream text;
    for (std::size_t i = 0; i < engines.size(); ++i)
        text << "[[endpoint]]\nname = \"engine-" << i << "\"\naddress = \""
             << engine_addresses_[i] << "\"\nchecks_fencing = "
             << (static_cast<int>(i) < options.engines_checking_fencing ? "true"
                                                                        : "false")
             << "\nzone = \"" << options.zones[i % options.zones.size()] << "\"\n\n";
    for (std::size_t i = 0; i < services.size(); ++i)
        text << "[[endpoint]]\nname = \"worker-" << i
             << "\"\nkind = \"service\"\nservice = \"" << options.service
             << "\"\naddress = \"" << services[i] << "\"\n\n";
    for (int i = 0; i < options.adapters; ++i)
        text << "[[adapter]]\nname = \"" << options.partner << "-" << i
             << "\"\nversions = [\"v1\"]\npartner = \"" << options.partner
             << "\"\npriority = \"" << (i % 10 == 9 ? "overnight" : "interactive")
             << "\"\n\n";
    return text.str();
}

void cluster::write_settings(running_daemon& daemon, std::size_t number) const
{
    auto& self = const_cast<cluster&>(*this);
    std::string key_value_address = key_value;
    if (options.relay_key_value)
    {
        key_value_address = loopback(free_port());
        daemon.key_value_relay = self.start_relay(key_value_address, key_value);
    }
    std::string advertised = daemon.peer_address;
    if (options.relay_peers)
    {
        advertised = loopback(free_port());
        daemon.peer_relay = self.start_relay(advertised, daemon.peer_address);
    }
    std::string text = read_example(options.partner + ".daemon.toml");
    set_value(text, "id", in_quotes(daemon.id));
    set_value(text, "region", in_quotes(options.region));
    set_value(text, "zone", in_quotes(options.zones[number % options.zones.size()]));
    set_value(text, "caller_address", in_quotes(daemon.caller_address));
    set_value(text, "peer_address",
              in_quotes(daemon.peer_address) +
                  "\nadvertised_peer_address = " + in_quotes(advertised));
    set_value(text, "key_value_address", in_quotes(key_value_address));
    set_value(text, "instance_list_address", in_quotes(instances));
    set_value(text, "time_to_live_ms", std::to_string(options.lease_ms));
    set_value(text, "margin_ms", "500");
    set_value(text, "take_over_delay_ms", "2000");
    std::string seeds;
    for (const running_daemon& other : daemons)
        seeds += (seeds.empty() ? "" : ", ") + in_quotes(other.peer_address);
    set_value(text, "seed_peers", "[" + seeds + "]");
    const std::string threads = std::to_string(options.threads);
    text +=
        "report_lag_ms = " + std::to_string(options.report_lag_ms) +
        "\ncaller_threads = " + threads + "\ndispatch_threads = " + threads +
        "\n\n[telemetry]\nspan_file = " + in_quotes(folder + "/" + daemon.id + ".spans") +
        "\n";
    daemon.settings_file = write_file(daemon.id + ".toml", text);
}

void cluster::start_daemon(std::size_t number)
{
    running_daemon& daemon = daemons[number];
    daemon.program = std::make_unique<process>(
        program_path("pollenhavend"),
        std::vector<std::string>{"--settings", daemon.settings_file},
        folder + "/" + daemon.id + ".log");
}

void cluster::wait_ready()
{
    for (const running_daemon& daemon : daemons)
    {
        const bool ready = eventually(
            [&]
            {
                const json report = get(daemon.caller_address, "/v1/endpoints").parsed();
                if (!report.is_array() ||
                    report.size() != engines.size() + services.size())
                    return false;
                for (const json& endpoint : report)
                {
                    if (!endpoint.value("ready", false))
                        return false;
                }
                return true;
            });
        if (!ready)
            throw std::runtime_error("daemon " + daemon.id +
                                     " did not see all endpoints ready; "
                                     "logs are in " +
                                     folder);
    }
}

int cluster::control_tool(const std::vector<std::string>& arguments, std::string* output)
{
    std::vector<std::string> words = arguments;
    words.insert(words.end(), {"--key-value", key_value, "--region", options.region});
    const std::string log = folder + "/control.log";
    process tool(program_path("pollenhavenctl"), words, log);
    std::string said;
    try
    {
        for (;;)
            said += tool.read_line() + "\n";
    }
    catch (const std::runtime_error&)
    {
        // Its output has ended.
    }
    if (output != nullptr)
        *output = said;
    return tool.wait(std::chrono::seconds(30)).value_or(-1);
}

std::string cluster::write_file(const std::string& name, const std::string& text) const
{
    const std::string path = folder + "/" + name;
    std::ofstream(path) << text;
    return path;
}

void cluster::set_instance(const std::string& name, const std::string& state)
{
    control(instances, {{name, state}});
}

long cluster::engine_total(const std::string& name) const
{
    long total = 0;
    for (const std::string& engine : engines)
        total += counts(engine).value(name, 0L);
    return total;
}

std::map<std::string, int> cluster::carried_out() const
{
    std::map<std::string, int> all;
    for (const std::string& service : services)
    {
        const json counted = counts(service);
        for (const auto& [key, times] : counted.items())
            all[key] += times.get<int>();
    }
    return all;
}

std::string cluster::owner_of(const std::string& endpoint, std::size_t asked) const
{
    const json report = get(daemons[asked].caller_address, "/v1/endpoints").parsed();
    for (const json& line : report)
    {
        if (line.value("endpoint", "") == endpoint)
            return line.value("owner", "");
    }
    return "";
}

running_daemon& cluster::daemon_named(const std::string& id)
{
    for (running_daemon& daemon : daemons)
    {
        if (daemon.id == id)
            return daemon;
    }
    throw std::runtime_error("no daemon is named '" + id + "'");
}

bool eventually(const std::function<bool()>& condition, std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < deadline)
    {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return condition();
}

} // namespace pollenhaven::harness
