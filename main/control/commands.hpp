#ifndef POLLENHAVEN_MAIN_CONTROL_COMMANDS_HPP
#define POLLENHAVEN_MAIN_CONTROL_COMMANDS_HPP

#include "main/control/options.hpp"

namespace pollenhaven::control
{

// The commands. Each throws command_error with the exit code to use.
void run_config(const control_options& given);
void run_report(const control_options& given);
void run_explain(const control_options& given);
void run_request(const control_options& given);

// The body of a daemon's answer. Throws command_error(unreachable).
std::string fetch_from_daemon(const std::string& address, const std::string& path);

// The address given with --daemon. Throws command_error(bad_input) if there is none.
std::string required_daemon_address(const control_options& given);

// The newest value of one of the store's keys; empty if there is none. Throws
// command_error(unreachable).
std::string read_store_key(const control_options& given, const std::string& key);

} // namespace pollenhaven::control

#endif
