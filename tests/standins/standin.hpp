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

// Command-line options of a stand-in by name, for example "slots" for --slots=4.
using options = std::map<std::string, std::string>;

int number_option(const options& given, const std::string& name, int fallback);
std::string text_option(const options& given, const std::string& name,
                        const std::string& fallback);

// Binds the server to 127.0.0.1 (port 0 lets the system choose), prints the address on a
// line of its own and serves until the process ends. Returns the exit code.
int serve(httplib::Server& server, const options& given);

int run_plain(const options& given);
int run_tcp_proxy(const options& given);
int run_fleet_store(const options& given);
int run_fleet_engine(const options& given);

} // namespace pollenhaven::standins

#endif
