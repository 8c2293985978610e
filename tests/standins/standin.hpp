#ifndef POLLENHAVEN_TESTS_STANDINS_STANDIN_HPP
#define POLLENHAVEN_TESTS_STANDINS_STANDIN_HPP

#include <map>
#include <string>

namespace httplib
{
class Server;
}

namespace pollenhaven::standins
{

// Command-line options of a stand-in by name: --slots=4 is stored under "slots".
using options = std::map<std::string, std::string>;

// These return the value of an option, or the fallback if it was not given. number_option
// throws std::invalid_argument if the value isn't a number.
int number_option(const options& option_values, const std::string& name, int fallback);
std::string text_option(const options& option_values, const std::string& name,
                        const std::string& fallback);

// Returns the wall-clock time in milliseconds since the Unix epoch.
long long wall_clock_ms();

// Listens on 127.0.0.1 at the port of the option "port" (0 or none: chosen by the
// system), prints a line that ends in the address, and serves until the server is
// stopped. Returns the exit code of the program, 1 if the server can't listen.
int serve(httplib::Server& server, const options& option_values);

// Each of these runs one stand-in until its server stops, and returns the exit code of
// the program.
int run_service_endpoint(const options& option_values);
int run_tcp_proxy(const options& option_values);
int run_fleet_store(const options& option_values);
int run_fleet_engine(const options& option_values);

} // namespace pollenhaven::standins

#endif
