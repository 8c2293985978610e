#include "tests/harness/fleet.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

namespace pollenhaven::harness
{

namespace
{

using json = nlohmann::json;

constexpr std::chrono::milliseconds poll_interval{20};
constexpr std::chrono::milliseconds start_timeout{15000};
constexpr int request_timeout_s = 10;
constexpr int completion_timeout_ms = 20000;

} // namespace

std::string make_temp_directory()
{
    std::string name =
        (std::filesystem::temp_directory_path() / "pollenhaven-fleet-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr)
        throw std::runtime_error(
            "can't create a temporary directory for the test's files");
    return name;
}

namespace
{

std::string engine_id(int engine)
{
    return "i-" + std::to_string(engine);
}

json route(const std::string& name, const std::string& prefix, const std::string& kind,
           const std::string& service, int attempts)
{
    return {{"name", name},           {"host", fleet_host},      {"pathPrefix", prefix},
            {"kind", kind},           {"service", service},      {"timeoutMs", 4000},
            {"targetLatencyMs", 500}, {"maxAttempts", attempts}, {"priority", 0},
            {"resumable", false}};
}

} // namespace

fleet::fleet(const fleet_options& options)
    : directory_(make_temp_directory()), options_(options)
{
    std::string store_ports;
    std::vector<std::string> own_store_addresses;
    for (int daemon = 0; options.proxy_links && daemon < options.daemons; ++daemon)
    {
        const std::string port = std::to_string(free_port());
        store_ports += (store_ports.empty() ? "" : ",") + port;
        own_store_addresses.push_back("127.0.0.1:" + port);
    }
    store_address_ = start_standin({"--role=fleet-store", "--more-ports=" + store_ports});
    write_configuration(1);
    start_service_endpoints();
    start_engines(0, options.engines - options.late_engines);
    for (int daemon = 0; daemon < options.daemons; ++daemon)
    {
        caller_addresses_.push_back("127.0.0.1:" + std::to_string(free_port()));
        for (std::vector<std::string>* own :
             {&readiness_addresses_, &directory_addresses_})
            own->push_back(options.separate_addresses
                               ? "127.0.0.1:" + std::to_string(free_port())
                               : caller_addresses_.back());
        operator_addresses_.push_back("127.0.0.1:" + std::to_string(free_port()));
        peer_addresses_.push_back("127.0.0.1:" + std::to_string(free_port()));
        store_addresses_by_daemon_.push_back(
            options.proxy_store
                ? start_tcp_proxy(store_address_, store_proxy_control_addresses_)
            : options.proxy_links
                ? own_store_addresses.at(static_cast<std::size_t>(daemon))
                : store_address_);
    }
    if (options.proxy_links)
        start_link_proxies();
    for (int daemon = 0; daemon < options.daemons; ++daemon)
    {
        write_settings(daemon);
        start_daemon(daemon);
    }
    // A daemon reports ready before the engines have holders, so wait for these and for a
    // chat on an adapter, which needs an order to load it.
    int attempt = 0;
    const auto serves_adapters = [&]
    {
        const std::string name = std::to_string(++attempt);
        return all_ready() && all_engines_held() &&
               send_platform_chat(0, "start-" + name, "start").status == 200;
    };
    if (!wait_for(serves_adapters, start_timeout))
        throw std::runtime_error(
            "the daemons did not serve a chat within 15 s; logs in " + directory_);
}

bool fleet::all_engines_held() const
{
    const nlohmann::json endpoints = read_operator_report(0, "endpoints");
    return std::all_of(endpoints.begin(), endpoints.end(),
                       [](const nlohmann::json& endpoint)
                       {
                           return endpoint["service"] != "assistant" ||
                                  !endpoint["holder"].get<std::string>().empty();
                       });
}

std::string fleet::start_standin(const std::vector<std::string>& arguments)
{
    standins_.emplace_back(program_path("pollenhaven-standin"), arguments,
                           directory_ + "/standins.log");
    const std::string line = standins_.back().read_line();
    return line.substr(line.rfind(' ') + 1);
}

std::string fleet::start_tcp_proxy(const std::string& target,
                                   std::vector<std::string>& control_addresses)
{
    const std::string address = "127.0.0.1:" + std::to_string(free_port());
    control_addresses.push_back(
        start_standin({"--role=relay", "--listen=" + address, "--target=" + target}));
    return address;
}

void fleet::start_link_proxies()
{
    for (const std::string& store : store_addresses_by_daemon_)
    {
        std::vector<std::string>& controls = link_control_addresses_.emplace_back();
        json addresses;
        for (const auto& [key, address] : endpoint_addresses_)
            addresses[key] = start_tcp_proxy(address, controls);
        control_standin(store, {{"addresses", addresses}});
    }
}

void fleet::set_links(int daemon, const std::string& mode) const
{
    for (const std::string& control :
         link_control_addresses_.at(static_cast<std::size_t>(daemon)))
        control_standin(control, {{"mode", mode}});
}

void fleet::start_late_engines()
{
    start_engines(options_.engines - options_.late_engines, options_.engines);
}

void fleet::start_engines(int first, int end)
{
    for (int engine = first; engine < end; ++engine)
    {
        const std::string address = "127.0.0.1:" + std::to_string(free_port());
        engine_addresses_.push_back(address);
        endpoint_addresses_["servers/" + engine_id(engine)] = address;
        advertised_engine_addresses_.push_back(
            options_.proxy_engines
                ? start_tcp_proxy(address, engine_proxy_control_addresses_)
                : address);
        start_standin({"--role=fleet-engine", "--id=" + engine_id(engine),
                       "--port=" + address.substr(address.find(':') + 1),
                       "--slots=" + std::to_string(options_.adapter_slots_per_engine),
                       "--events=" + std::to_string(options_.events_per_stream),
                       "--event-ms=" + std::to_string(options_.event_interval_ms),
                       "--store=" + store_address_,
                       "--entry=" + engine_entry(engine, "ready").dump()});
        engine_standins_.push_back(standins_.size() - 1);
    }
}

void fleet::signal_engine(int engine, int number) const
{
    standins_.at(engine_standins_.at(static_cast<std::size_t>(engine))).signal(number);
}

void fleet::start_service_endpoints()
{
    const auto add = [&](const std::string& id, const std::string& service)
    {
        const std::string address = start_standin({"--role=plain", "--id=" + id});
        endpoint_addresses_["servers/" + id] = address;
        put_store_item("servers/" + id, {{"service", service},
                                         {"addr", address},
                                         {"zone", "zone"},
                                         {"slots", 16},
                                         {"state", "ready"}});
        return address;
    };
    service_endpoint_address_ = add("i-plain", "orders");
    for (int endpoint = 0; endpoint < options_.booking_endpoints; ++endpoint)
        booking_addresses_.push_back(add("b-" + std::to_string(endpoint), "booking"));
}

void fleet::write_settings(int daemon) const
{
    const auto index = static_cast<std::size_t>(daemon);
    const std::string& own_caller_address = caller_address(daemon);
    std::string seeds;
    for (const std::string& peer : peer_addresses_)
        seeds += (seeds.empty() ? "" : ", ") + ("\"" + peer + "\"");
    std::ofstream file(directory_ + "/daemon-" + std::to_string(daemon) + ".toml");
    file << "[daemon]\nid = \"daemon-" << daemon << "\"\nzone = \"zone\"\n"
         << "caller_interface = \"openai\"\n"
         << "[listen]\ncallers = \"" << own_caller_address << "\"\nreadiness = \""
         << readiness_address(daemon) << "\"\nseeds = [" << seeds << "]\ndirectory = \""
         << directory_address(daemon) << "\"\npeers = \"" << peer_addresses_.at(index)
         << "\"\nmetrics = \"" << operator_addresses_.at(index) << "\"\n"
         << "[store]\naddress = \"" << store_addresses_by_daemon_.at(index) << "\"\n"
         << "[orders]\nstore_load_ms = 60\n"
         << "[stop]\ngrace_ms = " << options_.grace_ms << "\n";
}

void fleet::start_daemon(int daemon)
{
    daemons_.erase(daemon);
    daemons_.emplace(daemon, process(program_path("pollenhavend"),
                                     {"--settings", directory_ + "/daemon-" +
                                                        std::to_string(daemon) + ".toml"},
                                     directory_ + "/errors.log", log_path(daemon)));
}

std::string fleet::log_path(int daemon) const
{
    return directory_ + "/daemon-" + std::to_string(daemon) + ".log";
}

void fleet::kill_all_daemons()
{
    for (auto& [number, running] : daemons_)
        running.kill();
}

bool fleet::start_all_daemons()
{
    for (int number = 0; number < options_.daemons; ++number)
        start_daemon(number);
    return wait_for([this] { return all_ready(); }, std::chrono::seconds(10));
}

bool fleet::all_ready() const
{
    for (const auto& [daemon, running] : daemons_)
        if (get(readiness_address(daemon), "/v1/readyz").status != 200)
            return false;
    return true;
}

void fleet::put_store_item(const std::string& key, const json& value) const
{
    control_standin(store_address_, {{"put", {{key, value}}}});
}

json fleet::engine_entry(int engine, const std::string& state) const
{
    json entry{
        {"service", "assistant"},
        {"addr", advertised_engine_addresses_.at(static_cast<std::size_t>(engine))},
        {"zone", "zone"},
        {"slots", 16},
        {"state", state},
        {"models", {{{"name", "base"}, {"version", 1}, {"adapters", json::array()}}}}};
    const std::vector<std::string>& software = options_.engine_software;
    if (!software.empty())
        entry["version"] =
            software.at(std::min(static_cast<std::size_t>(engine), software.size() - 1));
    return entry;
}

void fleet::set_engine_state(int engine, const std::string& state) const
{
    json entry = engine_entry(engine, state);
    entry["born"] = engine_counts(engine)["born"];
    put_store_item("servers/" + engine_id(engine), entry);
}

void fleet::cut_off_from_peers(int daemon) const
{
    put_store_item("pollenhaven/members/daemon-" + std::to_string(daemon),
                   {{"callers", caller_address(daemon)},
                    {"peers", "127.0.0.1:" + std::to_string(free_port())},
                    {"zone", "zone"}});
}

void fleet::remove_engine(int engine) const
{
    control_standin(store_address_, {{"remove", {"servers/" + engine_id(engine)}}});
}

void fleet::set_store_down(bool down) const
{
    control_standin(store_address_, {{"down", down}});
}

json fleet::configuration(int version) const
{
    json routes{
        route("chat", "/chat/", "streaming", "assistant", 1),
        route("completions", "/v1/chat/", "streaming", "assistant",
              options_.stream_attempts),
        route("orders", "/orders/", "non_idempotent", "orders", 1),
        route("booking", "/v1/services/booking/", "non_idempotent", "booking", 1)};
    routes[0]["resumable"] = options_.resumable_chats;
    if (options_.resumable_chats)
        routes[0]["maxAttempts"] = 2;
    routes[1]["resumable"] = options_.stream_attempts > 1;
    routes[1]["timeoutMs"] = completion_timeout_ms;
    const json engine{
        {"slots", 16},
        {"adapterSlots", options_.adapter_slots_per_engine},
        {"weightsMb", 100000},
        {"models", {{{"name", "base"}, {"weightsMb", 1}, {"adapterMb", 1}}}}};
    return {{"version", version},
            {"routes", routes},
            {"services",
             {{{"name", "assistant"}, {"maxConns", 100}, {"engine", engine}},
              {{"name", "orders"}, {"maxConns", 100}},
              {{"name", "booking"}, {"maxConns", 100}}}},
            {"limits", json::object()}};
}

void fleet::write_configuration(int version, const std::string& extra_route) const
{
    json written = configuration(version);
    if (!extra_route.empty())
        written["routes"].push_back(
            route("extra", extra_route, "idempotent", "orders", 2));
    put_store_item("op/config", written);
}

void fleet::write_idle_limit(int version, std::chrono::milliseconds limit,
                             int unused_routes) const
{
    json written = configuration(version);
    for (int unused = 0; unused < unused_routes; ++unused)
    {
        const std::string name = "unused-" + std::to_string(unused);
        written["routes"].push_back(
            route(name, "/" + name + "/", "idempotent", "orders", 2));
    }
    written["limits"]["idleTimeoutMs"] = limit.count();
    put_store_item("op/config", written);
}

void fleet::write_customers(int version, const json& customers) const
{
    json written = configuration(version);
    written["tenants"] = customers;
    put_store_item("op/config", written);
}

json fleet::service_counts() const
{
    return standin_counts(service_endpoint_address_);
}

json fleet::engine_counts(int engine) const
{
    return standin_counts(engine_addresses_.at(static_cast<std::size_t>(engine)));
}

std::vector<json> fleet::received_orders(int engine) const
{
    const json all = engine_counts(engine);
    return all["orders"].get<std::vector<json>>();
}

int fleet::max_executions_per_request() const
{
    int max_executions =
        standin_counts(service_endpoint_address_)["most_runs"].get<int>();
    for (int engine = 0; engine < options_.engines; ++engine)
        max_executions =
            std::max(max_executions, engine_counts(engine)["most_runs"].get<int>());
    return max_executions;
}

int fleet::adapter_slot_overflows() const
{
    return engine_total("overfilled");
}

int fleet::engine_total(const std::string& name) const
{
    int total = 0;
    for (int engine = 0; engine < options_.engines; ++engine)
        total += engine_counts(engine)[name].get<int>();
    return total;
}

std::map<std::string, int> fleet::booking_executions() const
{
    std::map<std::string, int> all;
    for (const std::string& address : booking_addresses_)
    {
        const json executions = standin_counts(address)["carried_out"];
        for (const auto& [key, times] : executions.items())
            all[key] += times.get<int>();
    }
    return all;
}

json fleet::read_operator_report(int daemon, const std::string& name) const
{
    return get(operator_address(daemon), "/v1/" + name).parsed();
}

http_response fleet::send_booking_request(int daemon, const std::string& key,
                                          const std::string& body) const
{
    return post(caller_address(daemon), "/v1/services/booking/refill", body,
                {{"Host", fleet_host}, {"Idempotency-Key", key}}, request_timeout_s);
}

http_response fleet::send_openai_chat(int daemon, const std::string& model,
                                      const std::string& prompt, int tokens) const
{
    return post(caller_address(daemon), "/v1/chat/completions",
                chat_body(model, prompt, tokens), {{"Host", fleet_host}},
                request_timeout_s);
}

http_response fleet::send_platform_request(int daemon, const std::string& request_id,
                                           const std::string& path) const
{
    return post(caller_address(daemon), path, "body",
                {{"Host", fleet_host}, {"X-Pollenhaven-Request-Id", request_id}},
                request_timeout_s);
}

std::map<std::string, std::string>
fleet::platform_chat_fields(const std::string& request_id, const std::string& model) const
{
    return {{"Host", fleet_host},
            {"X-Pollenhaven-Request-Id", request_id},
            {"X-Pollenhaven-Model", model},
            {"X-Pollenhaven-Token-Count", "100,50"}};
}

event_stream fleet::stream_platform_chat(int daemon, const std::string& request_id) const
{
    return read_event_stream(caller_address(daemon), "/chat/1", "body of " + request_id,
                             platform_chat_fields(request_id, "base"));
}

event_stream fleet::resume_platform_chat(int daemon, const std::string& request_id,
                                         const std::string& begun_by,
                                         int last_event) const
{
    std::map<std::string, std::string> fields = platform_chat_fields(request_id, "base");
    fields["Resumes"] = begun_by;
    fields["Last-Event-Id"] = std::to_string(last_event);
    return read_event_stream(caller_address(daemon), "/chat/1", "body of " + begun_by,
                             fields);
}

http_response fleet::send_platform_chat(int daemon, const std::string& request_id,
                                        const std::string& adapter,
                                        const std::string& prompt_parts) const
{
    std::map<std::string, std::string> fields =
        platform_chat_fields(request_id, "base/" + adapter);
    if (!prompt_parts.empty())
        fields["X-Pollenhaven-Prefix-Hash"] = prompt_parts;
    return post(caller_address(daemon), "/chat/1", "body of " + request_id, fields,
                request_timeout_s);
}

bool fleet::wait_for(const std::function<bool()>& condition,
                     std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

} // namespace pollenhaven::harness
