#ifndef POLLENHAVEN_TESTS_HARNESS_FLEET_HPP
#define POLLENHAVEN_TESTS_HARNESS_FLEET_HPP

#include "tests/harness/http.hpp"
#include "tests/harness/process.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace pollenhaven::harness
{

// Creates a temporary directory for a test's files and returns its path. Throws
// std::runtime_error if it can't be created.
std::string make_temp_directory();

struct fleet_options
{
    int daemons = 3;
    int engines = 2;
    // The last of the engines, this many, start only with start_late_engines().
    int late_engines = 0;
    int adapter_slots_per_engine = 4;
    int events_per_stream = 5;
    int event_interval_ms = 10;
    // Grace period of a planned stop, in milliseconds.
    int grace_ms = 8000;
    // Number of endpoints of the booking service.
    int booking_endpoints = 2;
    // Each daemon connects to the store through a TCP proxy of its own, which can
    // disconnect it or stall its connections.
    bool proxy_store = false;
    // The daemons connect to each engine through a TCP proxy of its own.
    bool proxy_engines = false;
    // Each daemon connects to each endpoint through a TCP proxy of its own.
    bool proxy_links = false;
    // Maximum number of engines to which one stream is sent. Above 1, an interrupted
    // stream is resumed on another engine.
    int stream_attempts = 1;
    // Callers and daemons may resume the streams of send_platform_chat() too.
    bool resumable_chats = false;
    // Readiness and the directory have addresses of their own, as on the users' platform;
    // else they share that of the callers.
    bool separate_addresses = false;
    // The software versions of the engines, by their numbers; the last one also holds for
    // further engines. The entries state none if this is empty.
    std::vector<std::string> engine_software;
};

// A deployment of daemons with stand-ins for the platform: a store, engines, a plain
// endpoint and booking endpoints. Each is a process of its own. The constructor returns
// once all daemons are ready and chats are served, and throws std::runtime_error if that
// takes more than 15 s.
class fleet
{
public:
    explicit fleet(const fleet_options& options = {});

    // Starts a daemon. If it is still running, it is killed first.
    void start_daemon(int daemon);
    // Starts the engines that fleet_options::late_engines left out. They join by
    // registering themselves with the store.
    void start_late_engines();
    // Kills all daemons at once.
    void kill_all_daemons();
    // Starts all daemons. Returns true if they are ready within ten seconds.
    bool start_all_daemons();
    int daemon_count() const { return options_.daemons; }
    process& daemon(int number) { return daemons_.at(number); }
    const std::string& caller_address(int daemon) const
    {
        return caller_addresses_.at(static_cast<std::size_t>(daemon));
    }
    const std::string& readiness_address(int daemon) const
    {
        return readiness_addresses_.at(static_cast<std::size_t>(daemon));
    }
    const std::string& directory_address(int daemon) const
    {
        return directory_addresses_.at(static_cast<std::size_t>(daemon));
    }
    const std::string& store_address() const { return store_address_; }
    // The address of the daemon for metrics and operator reports.
    const std::string& operator_address(int daemon) const
    {
        return operator_addresses_.at(static_cast<std::size_t>(daemon));
    }
    // The addresses on which the faults of a proxy are set.
    const std::string& store_proxy_control_address(int daemon) const
    {
        return store_proxy_control_addresses_.at(static_cast<std::size_t>(daemon));
    }
    const std::string& engine_proxy_control_address(int engine) const
    {
        return engine_proxy_control_addresses_.at(static_cast<std::size_t>(engine));
    }
    const std::string& engine_address(int engine) const
    {
        return engine_addresses_.at(static_cast<std::size_t>(engine));
    }
    const std::string& booking_address(int endpoint) const
    {
        return booking_addresses_.at(static_cast<std::size_t>(endpoint));
    }
    std::vector<std::string> caller_addresses() const { return caller_addresses_; }
    nlohmann::json engine_counts(int engine) const;
    // The sum of one counter over all engines.
    int engine_total(const std::string& name) const;
    // The number of executions of each booking, by its idempotency key.
    std::map<std::string, int> booking_executions() const;
    // The orders that an engine received, in the order of their arrival.
    std::vector<nlohmann::json> received_orders(int engine) const;
    // The largest number of executions of one request id at the plain endpoint or at one
    // engine.
    int max_executions_per_request() const;
    // The number of loads that engines received without a free adapter slot.
    int adapter_slot_overflows() const;
    // Path of the file that receives the daemon's log lines.
    std::string log_path(int daemon) const;

    void put_store_item(const std::string& key, const nlohmann::json& value) const;
    // Writes the engine's entry in the store with this state, "ready" or "draining".
    void set_engine_state(int engine, const std::string& state) const;
    // Lets the other daemons send nothing to this one any more, by naming an address in
    // its entry at which nobody listens.
    void cut_off_from_peers(int daemon) const;
    // Removes the engine's entry from the store. Its process keeps running.
    void remove_engine(int engine) const;
    // Sends a signal to the engine's process.
    void signal_engine(int engine, int number) const;
    // Sets the mode of the proxies between a daemon and all endpoints.
    void set_links(int daemon, const std::string& mode) const;
    // While the store is down, it answers every call with status 503.
    void set_store_down(bool down) const;
    // Writes the configuration with this version to the store. `extra_route` is the path
    // prefix of one more route; none if empty.
    void write_configuration(int version, const std::string& extra_route = "") const;
    // Writes a configuration with this limit on the idle time of callers' connections,
    // and with a number of further routes that no request uses.
    void write_idle_limit(int version, std::chrono::milliseconds limit,
                          int unused_routes = 0) const;

    // Writes a configuration with these customers, in the platform's form.
    void write_customers(int version, const nlohmann::json& customers) const;
    // The counters of the plain endpoint.
    nlohmann::json service_counts() const;

    // Sends a request to a plain service through the platform's own interface.
    http_response send_platform_request(int daemon, const std::string& request_id,
                                        const std::string& path = "/orders/1") const;
    // Sends a chat on an adapter through the platform's own interface. `prompt_parts` is
    // the list of the prompt's parts; the chat has none if it is empty.
    http_response send_platform_chat(int daemon, const std::string& request_id,
                                     const std::string& adapter,
                                     const std::string& prompt_parts = "") const;
    // Streams a response of the base model through the platform's own interface.
    event_stream stream_platform_chat(int daemon, const std::string& request_id) const;
    // Resumes the stream that the request `begun_by` began after the event `last_event`.
    event_stream resume_platform_chat(int daemon, const std::string& request_id,
                                      const std::string& begun_by, int last_event) const;
    // Calls the booking service through the OpenAI-compatible interface.
    http_response send_booking_request(int daemon, const std::string& key,
                                       const std::string& body = "{}") const;
    // Sends a chat without streaming through the OpenAI-compatible interface.
    http_response send_openai_chat(int daemon, const std::string& model,
                                   const std::string& prompt, int tokens) const;
    // Reads the report at /v1/NAME that a daemon serves to operators.
    nlohmann::json read_operator_report(int daemon, const std::string& name) const;
    // Polls until the condition holds. Returns false after the timeout.
    static bool wait_for(const std::function<bool()>& condition,
                         std::chrono::milliseconds timeout);
    bool all_ready() const;
    // True if each engine has a holder as far as daemon 0 knows.
    bool all_engines_held() const;

private:
    std::string start_standin(const std::vector<std::string>& arguments);
    // Starts a TCP proxy to the target. Returns the address on which it listens, and
    // appends the address on which its faults are set to `control_addresses`.
    std::string start_tcp_proxy(const std::string& target,
                                std::vector<std::string>& control_addresses);
    // Starts the engines whose numbers are at least `first` and below `end`.
    void start_engines(int first, int end);
    // Starts the proxies between each daemon and all endpoints, and has the store name
    // them to this daemon.
    void start_link_proxies();
    void start_service_endpoints();
    nlohmann::json configuration(int version) const;
    nlohmann::json engine_entry(int engine, const std::string& state) const;
    std::map<std::string, std::string>
    platform_chat_fields(const std::string& request_id, const std::string& model) const;
    void write_settings(int daemon) const;
    std::string directory_;
    fleet_options options_;
    std::vector<process> standins_;
    std::string store_address_;
    std::string service_endpoint_address_;
    std::vector<std::string> engine_addresses_;
    // The places of the engines' processes in `standins_`.
    std::vector<std::size_t> engine_standins_;
    // The engine addresses that the daemons use: those of the proxies, if there are any.
    std::vector<std::string> advertised_engine_addresses_;
    std::vector<std::string> engine_proxy_control_addresses_;
    std::vector<std::string> booking_addresses_;
    std::vector<std::string> operator_addresses_;
    // The store's address in the settings of each daemon: its proxy, if there is one.
    std::vector<std::string> store_addresses_by_daemon_;
    std::vector<std::string> store_proxy_control_addresses_;
    std::vector<std::vector<std::string>> link_control_addresses_;
    // The address of each endpoint, by its key in the store.
    std::map<std::string, std::string> endpoint_addresses_;
    std::vector<std::string> caller_addresses_;
    std::vector<std::string> readiness_addresses_;
    std::vector<std::string> directory_addresses_;
    std::vector<std::string> peer_addresses_;
    std::map<int, process> daemons_;
};

} // namespace pollenhaven::harness

#endif
