#include "main/control/commands.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <map>

namespace pollenhaven::control
{

namespace
{

using nlohmann::json;

constexpr std::chrono::milliseconds connect_timeout{1000};
constexpr int status_ok = 200;
constexpr int column_gap = 2;

std::string format_cell(const json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

// Prints objects that have the same keys as a table, one row per object.
void print_table(const json& rows)
{
    if (rows.empty())
    {
        std::cout << "nothing to show\n";
        return;
    }
    std::map<std::string, std::size_t> widths;
    for (const json& row : rows)
        for (const auto& [name, value] : row.items())
            widths[name] =
                std::max({widths[name], name.size(), format_cell(value).size()});
    const auto print_cell = [&](const std::string& name, const std::string& text)
    {
        std::cout << std::left << std::setw(static_cast<int>(widths[name]) + column_gap)
                  << text;
    };
    for (const auto& [name, width] : widths)
        print_cell(name, name);
    std::cout << '\n';
    for (const json& row : rows)
    {
        for (const auto& [name, value] : row.items())
            print_cell(name, format_cell(value));
        std::cout << '\n';
    }
}

void print_fields(const json& fields)
{
    for (const auto& [name, value] : fields.items())
        std::cout << name << ": " << format_cell(value) << '\n';
}

// Returns the holder of each engine, as the queried daemon knows it. Leaves out engines
// without a holder.
json list_holders(const json& endpoints)
{
    json holders = json::array();
    for (const json& endpoint : endpoints)
        if (!endpoint["holder"].get<std::string>().empty())
            holders.push_back({{"endpoint", endpoint["endpoint"]},
                               {"holder", endpoint["holder"]},
                               {"token", endpoint["holder_token"]},
                               {"queued_loads", endpoint["queued_loads"]}});
    return holders;
}

} // namespace

std::string required_daemon_address(const control_options& options)
{
    if (options.daemon.empty())
        throw command_error(exit_code::bad_input,
                            "no daemon address given; use --daemon IP:PORT");
    return options.daemon;
}

std::string fetch_from_daemon(const std::string& address, const std::string& path)
{
    httplib::Client client("http://" + address);
    client.set_connection_timeout(connect_timeout);
    const httplib::Result result = client.Get(path);
    if (!result || result->status != status_ok)
        throw command_error(exit_code::unreachable,
                            "daemon " + address + path +
                                " gave no valid response; try another daemon");
    return result->body;
}

void run_report(const control_options& options)
{
    const std::string& name = options.arguments.front();
    const std::string resource = name == "holders" ? "endpoints" : name;
    const std::string body =
        fetch_from_daemon(required_daemon_address(options), "/v1/" + resource);
    json report = json::parse(body, nullptr, false);
    if (report.is_discarded())
        throw command_error(exit_code::unreachable,
                            options.daemon + " is not a daemon's metrics address, which "
                                             "serves the reports");
    if (name == "holders")
        report = list_holders(report);
    if (options.json)
        std::cout << report.dump() << '\n';
    else if (report.is_array())
        print_table(report);
    else
        print_fields(report);
}

} // namespace pollenhaven::control
