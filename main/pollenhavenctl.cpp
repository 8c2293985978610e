#include "main/control/commands.hpp"

#include <tclap/ArgException.h>

#include <functional>
#include <iostream>
#include <map>

namespace
{

using pollenhaven::control::command_error;
using pollenhaven::control::control_options;
using pollenhaven::control::exit_code;

void run(const control_options& options)
{
    using namespace pollenhaven::control;
    static const std::map<std::string, std::function<void(const control_options&)>>
        commands = {{"config", run_config},    {"status", run_report},
                    {"endpoints", run_report}, {"adapters", run_report},
                    {"members", run_report},   {"customers", run_report},
                    {"holders", run_report},   {"entry", run_report},
                    {"explain", run_explain},  {"request", run_request}};
    const auto command = commands.find(options.arguments.front());
    if (command == commands.end())
        throw command_error(exit_code::bad_input, "unknown command '" +
                                                      options.arguments.front() +
                                                      "'; see --help");
    command->second(options);
}

} // namespace

int main(int count, char** arguments)
{
    try
    {
        run(pollenhaven::control::parse_options(count, arguments));
        return 0;
    }
    catch (const TCLAP::ExitException& exit_exception)
    {
        return exit_exception.getExitStatus();
    }
    catch (const command_error& error)
    {
        std::cerr << "pollenhavenctl: " << error.what() << '\n';
        return static_cast<int>(error.code());
    }
    catch (const std::exception& error)
    {
        std::cerr << "pollenhavenctl: " << error.what() << '\n';
        return static_cast<int>(exit_code::failure);
    }
}
