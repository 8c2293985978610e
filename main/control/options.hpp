#ifndef POLLENHAVEN_MAIN_CONTROL_OPTIONS_HPP
#define POLLENHAVEN_MAIN_CONTROL_OPTIONS_HPP

#include <stdexcept>
#include <string>
#include <vector>

namespace pollenhaven::control
{

// The exit codes of pollenhavenctl; docs/operators/pollenhavenctl.md lists them.
enum class exit_code
{
    success = 0,
    failure = 1,
    bad_input = 2,
    unreachable = 4,
    not_run = 6,
    may_have_run = 7
};

// Ends a command with an exit code. The message says what the user can do about the
// failure.
class command_error : public std::runtime_error
{
public:
    command_error(exit_code code, const std::string& message)
        : std::runtime_error(message), code_(code)
    {
    }
    exit_code code() const { return code_; }

private:
    exit_code code_;
};

// The command line of pollenhavenctl. Texts of options that were not given are empty,
// except for `dialect`, which has a default.
struct control_options
{
    // The command and its arguments; at least one.
    std::vector<std::string> arguments;
    // Addresses of a daemon and of the store, as IP:PORT.
    std::string daemon;
    std::string store;
    std::string dialect;
    // Path of a configuration file.
    std::string file;
    // Host header field of a request; it selects the route.
    std::string host;
    std::string model;
    std::string prompt;
    // Log files to search for a request.
    std::vector<std::string> logs;
    int max_tokens = 0;
    int timeout_s = 0;
    bool json = false;
    bool stream = false;
};

// Parses the command line. Throws command_error(bad_input) if it is invalid, and
// TCLAP::ExitException after it has printed the help or the version.
control_options parse_options(int count, char** arguments);

} // namespace pollenhaven::control

#endif
