// Stand-in for the network: a TCP proxy that tests put between two programs to disconnect
// them or to stall their connections.

#include "servers/socket.hpp"
#include "tests/standins/standin.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <iostream>
#include <memory>
#include <poll.h>
#include <thread>

namespace pollenhaven::standins
{

namespace
{

enum class proxy_mode
{
    forward,
    // Closes the open connections, and new ones as soon as they are accepted.
    disconnect,
    // Keeps old and new connections open and forwards nothing.
    stall
};

std::atomic<proxy_mode> current_mode{proxy_mode::forward};
// Connections with a number up to this one stay open but no longer forward anything.
std::atomic<int> last_stalled_connection{0};
std::atomic<int> last_connection{0};

bool forward_bytes(int from, int to)
{
    std::array<char, 16384> buffer{};
    const ssize_t length = recv(from, buffer.data(), buffer.size(), 0);
    if (length <= 0)
        return length < 0 && (errno == EAGAIN || errno == EINTR);
    ssize_t forwarded = 0;
    while (forwarded < length)
    {
        const ssize_t bytes_written =
            send(to, buffer.data() + forwarded,
                 static_cast<std::size_t>(length - forwarded), MSG_NOSIGNAL);
        if (bytes_written < 0 && errno == EAGAIN)
        {
            pollfd wait{to, POLLOUT, 0};
            poll(&wait, 1, 100);
            continue;
        }
        if (bytes_written <= 0)
            return false;
        forwarded += bytes_written;
    }
    return true;
}

void serve_connection(file_descriptor caller, const network_address& target)
{
    const int connection_number = ++last_connection;
    const file_descriptor callee = connect_to(target);
    for (;;)
    {
        const proxy_mode mode = current_mode;
        if (mode == proxy_mode::disconnect)
            return;
        if (mode == proxy_mode::stall || connection_number <= last_stalled_connection)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            continue;
        }
        std::array<pollfd, 2> poll_entries{
            {{caller.number(), POLLIN, 0}, {callee.number(), POLLIN, 0}}};
        poll(poll_entries.data(), poll_entries.size(), 50);
        if (current_mode != proxy_mode::forward ||
            connection_number <= last_stalled_connection)
            continue;
        if (poll_entries[0].revents != 0 &&
            !forward_bytes(caller.number(), callee.number()))
            return;
        if (poll_entries[1].revents != 0 &&
            !forward_bytes(callee.number(), caller.number()))
            return;
    }
}

void accept_connections(const file_descriptor& listener, const network_address& target)
{
    for (;;)
    {
        pollfd wait{listener.number(), POLLIN, 0};
        poll(&wait, 1, 100);
        auto accepted = std::make_shared<file_descriptor>(accept_from(listener));
        if (accepted->number() < 0 || current_mode == proxy_mode::disconnect)
            continue;
        std::thread([accepted, target]
                    { serve_connection(std::move(*accepted), target); })
            .detach();
    }
}

// Sets the mode that POST /control names: "cut" disconnects, "silent" stalls and "pass"
// forwards. "silence_open" permanently stalls the connections that are open now, and no
// later ones.
void set_mode(const std::string& name)
{
    if (name == "silence_open")
    {
        last_stalled_connection = last_connection.load();
        return;
    }
    current_mode = name == "cut"      ? proxy_mode::disconnect
                   : name == "silent" ? proxy_mode::stall
                                      : proxy_mode::forward;
}

} // namespace

int run_tcp_proxy(const options& option_values)
{
    const network_address address{text_option(option_values, "listen", "")};
    const network_address target{text_option(option_values, "target", "")};
    const file_descriptor listener = listen_on(address);
    std::thread([&] { accept_connections(listener, target); }).detach();
    httplib::Server server;
    server.Post("/control", [](const auto& request, auto&)
                { set_mode(nlohmann::json::parse(request.body).value("mode", "pass")); });
    return serve(server, option_values);
}

} // namespace pollenhaven::standins
