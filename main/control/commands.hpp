#ifndef POLLENHAVEN_MAIN_CONTROL_COMMANDS_HPP
#define POLLENHAVEN_MAIN_CONTROL_COMMANDS_HPP

#include "main/control/options.hpp"

namespace pollenhaven::control
{

// Each runs one command. All throw command_error, which has the exit code, if the command
// fails.
void run_config(const control_options& options);
void run_report(const control_options& options);
void run_explain(const control_options& options);
void run_request(const control_options& options);

// Returns the body of a daemon's response to a GET of `path`. Throws
// command_error(unreachable) unless the daemon responds with status 200.
std::string fetch_from_daemon(const std::string& address, const std::string& path);

// Returns the address that --daemon names. Throws command_error(bad_input) if it is
// missing.
std::string required_daemon_address(const control_options& options);

// Returns the current value of a key in the store; empty if the key doesn't exist. Throws
// command_error(unreachable) if the store does not respond with status 200 or its
// response is malformed.
std::string read_store_key(const control_options& options, const std::string& key);

} // namespace pollenhaven::control

#endif
