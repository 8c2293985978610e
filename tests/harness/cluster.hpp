#ifndef POLLENHAVEN_TESTS_HARNESS_CLUSTER_HPP
#define POLLENHAVEN_TESTS_HARNESS_CLUSTER_HPP

#include "tests/harness/http.hpp"
#include "tests/harness/process.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pollenhaven::harness
{

struct cluster_options
{
    std::string region = "viti-west";
    std::string partner = "suva";
    std::string service = "booking";
    std::vector<std::string> zones = {"lautoka", "nadi", "ba"};
    int daemons = 2;
    int engines = 2;
    int service_workers = 1;
    int adapters = 20;
    int slots = 4;
    int step_ms = 10;
    int milliloads_per_second = 3000;
    // Engines with numbers below this refuse old fencing numbers.
    int engines_checking_fencing = 0;
    // Puts a relay between each daemon and the key-value service.
    bool relay_key_value = false;
    // Puts a relay before each daemon's peer address.
    bool relay_peers = false;
    // Puts a relay before each engine.
    bool relay_engines = false;
    int lease_ms = 4000;
    int report_lag_ms = 500;
    int threads = 96;
};

// One stand-in program by itself.
class standin
{
public:
    explicit standin(const std::string& role, const std::vector<std::string>& more = {});

    const std::string& address() const { return address_; }
    process& program() { return program_; }

private:
    process program_;
    std::string address_;
};

struct running_daemon
{
    std::string id;
    std::string caller_address;
    std::string peer_address;
    std::string settings_file;
    std::string key_value_relay;
    std::string peer_relay;
    std::unique_ptr<process> program;
};

// The stand-ins and daemons of one deployment, all on loopback, in a folder of their own
// that is removed at the end if nothing failed.
class cluster
{
public:
    explicit cluster(const cluster_options& given);
    ~cluster();
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    void start_daemon(std::size_t number);
    // Waits until every endpoint is ready as seen by each running daemon.
    void wait_ready();
    // Runs pollenhavenctl and returns its exit code; its output goes to the text.
    int control_tool(const std::vector<std::string>& arguments,
                     std::string* output = nullptr);
    std::string write_file(const std::string& name, const std::string& text) const;
    void set_instance(const std::string& name, const std::string& state);

    // A count over all engine stand-ins.
    long engine_total(const std::string& name) const;
    // Calls carried out by all service stand-ins, by key.
    std::map<std::string, int> carried_out() const;
    std::string owner_of(const std::string& endpoint, std::size_t asked = 0) const;
    running_daemon& daemon_named(const std::string& id);
    std::string model(int number) const;

    cluster_options options;
    std::string folder;
    std::string key_value;
    std::string store;
    std::string instances;
    std::vector<std::string> engines;
    std::vector<std::string> engine_relays;
    std::vector<std::string> services;
    std::vector<running_daemon> daemons;

private:
    std::string start_standin(const std::string& role,
                              const std::vector<std::string>& more);
    std::string start_relay(const std::string& listen, const std::string& target);
    void apply_section(const std::string& name, const std::string& text);
    std::string make_fleet_section() const;
    void write_settings(running_daemon& daemon, std::size_t number) const;

    std::vector<std::unique_ptr<process>> standins_;
    std::vector<std::string> engine_addresses_;
};

// Waits until the condition holds; false if it doesn't in time.
bool eventually(const std::function<bool()>& condition,
                std::chrono::milliseconds timeout = std::chrono::seconds(20));

} // namespace pollenhaven::harness

#endif
