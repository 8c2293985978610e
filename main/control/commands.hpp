#ifndef POLLENHAVEN_MAIN_CONTROL_COMMANDS_HPP
#define POLLENHAVEN_MAIN_CONTROL_COMMANDS_HPP

#include "main/control/options.hpp"

namespace pollenhaven::control
{

// The commands. Each throws command_error with the exit code to use.
void run_config(const options& given);
void run_report(const options& given);
void run_explain(const options& given);
void run_request(const options& given);

// The body of a daemon's answer. Throws command_error(unreachable).
std::string fetch(const std::string& address, const std::string& path);

} // namespace pollenhaven::control

#endif
