#include "core/interfaces/platform_dialect.hpp"
#include "core/plugin_registry.hpp"
#include "main/control/commands.hpp"
#include "policy/fleet/configuration_check.hpp"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace pollenhaven::control
{

namespace
{

using nlohmann::json;

platform_dialect dialect_of(const control_options& given)
{
    return plugin_registry<platform_dialect>::instance().make(given.dialect, given.store);
}

std::string read_file(const control_options& given)
{
    if (given.file.empty())
        throw command_error(exit_code::bad_input, "name the configuration with --file");
    std::ifstream file(given.file);
    if (!file)
        throw command_error(exit_code::bad_input, "can't read '" + given.file + "'");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

json parse_text(const std::string& text, const std::string& source)
{
    json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object())
        throw command_error(exit_code::bad_input, source + " is not a JSON object");
    return parsed;
}

json stored_configuration(const control_options& given)
{
    if (given.store.empty())
        throw command_error(exit_code::bad_input,
                            "name the store's address with --store IP:PORT");
    const std::string text =
        read_store_key(given, dialect_of(given).layout.configuration_key);
    if (text.empty())
        throw command_error(exit_code::failure, "the store holds no configuration");
    return parse_text(text, "the configuration in the store");
}

void show(const control_options& given)
{
    std::cout << stored_configuration(given).dump(given.json ? -1 : 2) << '\n';
}

// Reads a file as the daemons would, and looks for faults that they would only meet when
// requests come.
void check(const control_options& given)
{
    const std::string text = read_file(given);
    parse_text(text, "'" + given.file + "'");
    try
    {
        const routing_table table = dialect_of(given).read_routing(text);
        const std::vector<std::string> faults = configuration_errors(table);
        for (const std::string& fault : faults)
            std::cerr << given.file << ": " << fault << '\n';
        if (!faults.empty())
            throw command_error(exit_code::bad_input,
                                std::to_string(faults.size()) + " faults");
        std::cout << "valid: version " << table.version.value << ", "
                  << table.routes.size() << " routes, " << table.services.size()
                  << " services\n";
    }
    catch (const dialect_error& error)
    {
        throw command_error(exit_code::bad_input, given.file + ": " + error.what());
    }
}

// Prints what putting the file in force would change, a line for each value.
void difference(const control_options& given)
{
    const json stored = stored_configuration(given);
    const json changed = parse_text(read_file(given), "'" + given.file + "'");
    const json patch = json::diff(stored, changed);
    if (given.json)
    {
        std::cout << patch.dump() << '\n';
        return;
    }
    for (const json& change : patch)
    {
        const std::string action = change["op"];
        const std::string path = change["path"];
        std::cout << action << ' ' << path;
        if (action != "add")
            std::cout << "  was " << stored[json::json_pointer(path)].dump();
        if (action != "remove")
            std::cout << "  is " << change["value"].dump();
        std::cout << '\n';
    }
    if (patch.empty())
        std::cout << "no difference\n";
}

} // namespace

void run_config(const control_options& given)
{
    const std::string action = given.arguments.size() > 1 ? given.arguments[1] : "";
    if (action == "show")
        return show(given);
    if (action == "check")
        return check(given);
    if (action == "diff")
        return difference(given);
    throw command_error(exit_code::bad_input, "config needs one of show, check, diff");
}

} // namespace pollenhaven::control
