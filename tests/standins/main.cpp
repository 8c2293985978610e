// Test stand-ins for the systems around pollenhaven: the store, engines, plain endpoints
// and the network. Tests and the demo start them; they are not part of a release. POST
// /control with a JSON object sets faults; GET /counts returns the counters that tests
// check.

#include "tests/standins/standin.hpp"

#include <httplib.h>

#include <chrono>
#include <csignal>
#include <functional>
#include <iostream>

namespace pollenhaven::standins
{

namespace
{

constexpr std::size_t server_threads = 192;

options parse(int count, char** arguments)
{
    options option_values;
    for (int i = 1; i < count; ++i)
    {
        const std::string argument = arguments[i];
        const std::size_t equals = argument.find('=');
        if (argument.compare(0, 2, "--") != 0 || equals == std::string::npos)
            throw std::invalid_argument("'" + argument +
                                        "' is not of the form --name=value");
        option_values[argument.substr(2, equals - 2)] = argument.substr(equals + 1);
    }
    return option_values;
}

int run(const options& option_values)
{
    const std::map<std::string, std::function<int(const options&)>> roles = {
        {"plain", run_service_endpoint},
        {"relay", run_tcp_proxy},
        {"fleet-store", run_fleet_store},
        {"fleet-engine", run_fleet_engine}};
    const auto role = roles.find(text_option(option_values, "role", ""));
    if (role == roles.end())
        throw std::invalid_argument(
            "--role must be plain, relay, fleet-store or fleet-engine");
    return role->second(option_values);
}

} // namespace

long long wall_clock_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

int number_option(const options& option_values, const std::string& name, int fallback)
{
    const auto found = option_values.find(name);
    return found == option_values.end() ? fallback : std::stoi(found->second);
}

std::string text_option(const options& option_values, const std::string& name,
                        const std::string& fallback)
{
    const auto found = option_values.find(name);
    return found == option_values.end() ? fallback : found->second;
}

int serve(httplib::Server& server, const options& option_values)
{
    server.new_task_queue = [] { return new httplib::ThreadPool(server_threads); };
    server.set_tcp_nodelay(true);
    server.set_keep_alive_max_count(1000000);
    int port = number_option(option_values, "port", 0);
    const bool bound = port == 0 ? (port = server.bind_to_any_port("127.0.0.1")) > 0
                                 : server.bind_to_port("127.0.0.1", port);
    if (!bound)
    {
        std::cerr << "can't listen on 127.0.0.1 port " << port << '\n';
        return 1;
    }
    std::cout << "listening 127.0.0.1:" << port << std::endl;
    return server.listen_after_bind() ? 0 : 1;
}

} // namespace pollenhaven::standins

int main(int count, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    try
    {
        return pollenhaven::standins::run(pollenhaven::standins::parse(count, arguments));
    }
    catch (const std::exception& error)
    {
        std::cerr << "stand-in: " << error.what() << '\n';
        return 2;
    }
}
