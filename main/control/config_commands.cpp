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

platform_dialect dialect_of(const control_options& options)
{
    return plugin_registry<platform_dialect>::instance().make(options.dialect,
                                                              options.store);
}

std::string read_configuration_file(const control_options& options)
{
    if (options.file.empty())
        throw command_error(exit_code::bad_input,
                            "no configuration file given; use --file FILE");
    std::ifstream file(options.file);
    if (!file)
        throw command_error(exit_code::bad_input,
                            "can't read the configuration file '" + options.file + "'");
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

json stored_configuration(const control_options& options)
{
    if (options.store.empty())
        throw command_error(exit_code::bad_input,
                            "no store address given; use --store IP:PORT");
    const std::string text =
        read_store_key(options, dialect_of(options).layout.configuration_key);
    if (text.empty())
        throw command_error(exit_code::failure, "the store has no configuration");
    return parse_text(text, "the configuration in the store");
}

void show_configuration(const control_options& options)
{
    std::cout << stored_configuration(options).dump(options.json ? -1 : 2) << '\n';
}

// Parses a file as the daemons do, and reports errors that the daemons would detect only
// when requests arrive.
void check_configuration(const control_options& options)
{
    const std::string text = read_configuration_file(options);
    parse_text(text, "'" + options.file + "'");
    try
    {
        const routing_table table = dialect_of(options).read_routing(text);
        const std::vector<std::string> errors = configuration_errors(table);
        for (const std::string& message : errors)
            std::cerr << options.file << ": " << message << '\n';
        if (!errors.empty())
            throw command_error(exit_code::bad_input,
                                std::to_string(errors.size()) + " errors");
        std::cout << "valid: version " << table.version.value << ", "
                  << table.routes.size() << " routes, " << table.services.size()
                  << " services\n";
    }
    catch (const dialect_error& error)
    {
        throw command_error(exit_code::bad_input, options.file + ": " + error.what());
    }
}

// Prints how the configuration in the store would change if the file replaced it, one
// line per value.
void diff_configuration(const control_options& options)
{
    const json stored = stored_configuration(options);
    const json replacement =
        parse_text(read_configuration_file(options), "'" + options.file + "'");
    const json patch = json::diff(stored, replacement);
    if (options.json)
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

void run_config(const control_options& options)
{
    const std::string action = options.arguments.size() > 1 ? options.arguments[1] : "";
    if (action == "show")
        return show_configuration(options);
    if (action == "check")
        return check_configuration(options);
    if (action == "diff")
        return diff_configuration(options);
    throw command_error(exit_code::bad_input, "config needs one of show, check, diff");
}

} // namespace pollenhaven::control
