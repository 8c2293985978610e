#include "servers/gateway/gateway.hpp"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>

namespace
{

constexpr int exit_failure = 1;
constexpr int exit_bad_settings = 2;

// Returns the path of the settings file: the one on the command line, or the one in the
// environment variable that the platform sets.
std::string settings_file_path(const std::string& path, const std::string& variable)
{
    if (!path.empty())
        return path;
    const char* const path_from_environment =
        variable.empty() ? nullptr : std::getenv(variable.c_str());
    if (path_from_environment == nullptr)
        throw pollenhaven::settings_error(
            "no settings file given; use --settings FILE, or "
            "--settings-variable NAME with the variable set");
    return path_from_environment;
}

} // namespace

int main(int count, char** arguments)
{
    try
    {
        TCLAP::CmdLine command_line(
            "The pollenhaven daemon; one runs on each entry instance.", ' ', "0.1.0");
        const TCLAP::ValueArg<std::string> settings_path("s", "settings",
                                                         "The settings file (TOML).",
                                                         false, "", "FILE", command_line);
        const TCLAP::ValueArg<std::string> settings_variable(
            "", "settings-variable",
            "The environment variable with the settings file's path.", false, "", "NAME",
            command_line);
        const TCLAP::SwitchArg check("c", "check", "Validate the settings and exit.",
                                     command_line);
        command_line.parse(count, arguments);
        const std::string path =
            settings_file_path(settings_path.getValue(), settings_variable.getValue());
        const pollenhaven::gateway_settings settings =
            pollenhaven::read_gateway_settings(path);
        if (!check.getValue())
            return pollenhaven::run_gateway(settings, path);
        std::cout << "settings are valid\n";
        return 0;
    }
    catch (const pollenhaven::settings_error& error)
    {
        std::cerr << "pollenhavend: " << error.what() << '\n';
        return exit_bad_settings;
    }
    catch (const std::exception& error)
    {
        std::cerr << "pollenhavend: " << error.what() << '\n';
        return exit_failure;
    }
}
