#include "servers/gateway/gateway_settings.hpp"

#include "servers/settings_file.hpp"
#include "servers/socket.hpp"

namespace pollenhaven
{

namespace
{

void read_daemon(gateway_settings& settings, toml_reader& reader)
{
    settings.id = {reader.required_text("id")};
    settings.zone = reader.required_text("zone");
    constexpr double max_memory_mb = 1e6;
    settings.memory_mb = reader.real("memory_mb", settings.memory_mb, 1, max_memory_mb);
    constexpr double min_cores = 0.001;
    constexpr double max_cores = 1024;
    settings.cores = reader.real("cores", settings.cores, min_cores, max_cores);
    settings.dialect = reader.text("dialect", settings.dialect);
    settings.caller_interface =
        reader.text("caller_interface", settings.caller_interface);
}

// The platform may list other instances with a port other than that of their peer
// address; `seed_port` replaces it.
void read_seeds(gateway_settings& settings, toml_reader& reader)
{
    constexpr long long max_port = 65535;
    const long long port = reader.number("seed_port", 0, 0, max_port);
    for (const std::string& seed : reader.string_list("seeds"))
    {
        const std::string host = seed.substr(0, seed.rfind(':'));
        const network_address address{port == 0 ? seed
                                                : host + ":" + std::to_string(port)};
        try
        {
            to_socket_address(address);
            settings.seeds.push_back(address);
        }
        catch (const std::runtime_error& error)
        {
            reader.report_error("seeds", error.what());
        }
    }
}

void read_listen(gateway_settings& settings, toml_reader& reader)
{
    settings.caller_address = read_address_setting(reader, "callers", "");
    settings.readiness_address = read_address_setting(reader, "readiness", "");
    settings.directory_address = read_address_setting(reader, "directory", "");
    settings.peer_address = read_address_setting(reader, "peers", "");
    if (!reader.text("metrics", "").empty())
        settings.metrics_address = read_address_setting(reader, "metrics", "");
    read_seeds(settings, reader);
    settings.directory_lifetime = seconds(reader.number(
        "directory_lifetime_s", settings.directory_lifetime.count(), 1, 60));
}

void read_store(gateway_settings& settings, toml_reader& reader)
{
    settings.store_address = read_address_setting(reader, "address", "");
    constexpr long long max_writes_per_second = 1'000'000;
    settings.store_writes_per_second = static_cast<int>(reader.number(
        "writes_per_s", settings.store_writes_per_second, 1, max_writes_per_second));
    settings.lease.time_to_live =
        read_duration_setting(reader, "lease_ms", settings.lease.time_to_live);
    settings.lease.margin =
        read_duration_setting(reader, "lease_margin_ms", settings.lease.margin);
    settings.lease_renewal_interval = read_duration_setting(
        reader, "lease_renewal_ms", settings.lease_renewal_interval);
    if (settings.lease.margin + settings.lease_renewal_interval >=
        settings.lease.time_to_live)
        reader.report_error("lease_ms", "must exceed lease_margin_ms + lease_renewal_ms");
}

void read_orders(gateway_settings& settings, toml_reader& reader)
{
    constexpr long long max_loads = 64;
    constexpr double max_loads_at_full_speed = 100'000;
    settings.max_order_delay =
        read_duration_setting(reader, "order_flight_ms", settings.max_order_delay);
    load_time_model& load_times = settings.load_timing.load_times;
    load_times.full_speed_ms = static_cast<double>(
        read_duration_setting(
            reader, "store_load_ms",
            milliseconds(static_cast<long long>(load_times.full_speed_ms)))
            .count());
    load_times.loads_at_full_speed =
        reader.real("loads_at_full_speed", load_times.loads_at_full_speed, 1,
                    max_loads_at_full_speed);
    settings.load_timing.memory_load =
        read_duration_setting(reader, "memory_load_ms", settings.load_timing.memory_load);
    settings.load_timing.store_loads_at_once = static_cast<int>(reader.number(
        "store_loads_at_once", settings.load_timing.store_loads_at_once, 1, max_loads));
    settings.load_timing.loads_at_once = static_cast<int>(
        reader.number("loads_at_once", settings.load_timing.loads_at_once, 1, max_loads));
}

void read_retries(gateway_settings& settings, toml_reader& reader)
{
    constexpr double max_slack = 1e6;
    settings.retry_budget.ratio = reader.real("ratio", settings.retry_budget.ratio, 0, 1);
    settings.retry_budget.slack =
        reader.real("slack", settings.retry_budget.slack, 0, max_slack);
    settings.retry_budget.window =
        seconds(reader.number("window_s", settings.retry_budget.window.count(), 1, 3600));
}

void read_quotas(gateway_settings& settings, toml_reader& reader)
{
    constexpr double max_slack = 1e12;
    settings.quota_slack = reader.real("slack", settings.quota_slack, 0, max_slack);
}

void read_stop(gateway_settings& settings, toml_reader& reader)
{
    settings.stop_grace = read_duration_setting(reader, "grace_ms", settings.stop_grace);
}

} // namespace

gateway_settings read_gateway_settings(const std::string& path)
{
    const toml::table root = parse_settings_file(path);
    reject_unknown_tables(
        root, path, {"daemon", "listen", "store", "orders", "retries", "quotas", "stop"});
    gateway_settings settings;
    const auto read = [&](const std::string& table, auto function)
    {
        read_settings_table(root, path, table,
                            [&](toml_reader& reader) { function(settings, reader); });
    };
    read("daemon", read_daemon);
    read("listen", read_listen);
    read("store", read_store);
    read("orders", read_orders);
    read("retries", read_retries);
    read("quotas", read_quotas);
    read("stop", read_stop);
    return settings;
}

} // namespace pollenhaven
