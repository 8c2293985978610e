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
#include <sys/socket.h>
#include <thread>
#include <vector>

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
    stall,
    // As `stall`, but new connections are never established.
    unreachable,
    // Resets the open connections and refuses new ones.
    refuse,
    // Forwards on the open connections and refuses new ones.
    refuse_new
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
        if (mode == proxy_mode::disconnect || mode == proxy_mode::refuse)
            return;
        if (mode == proxy_mode::stall || mode == proxy_mode::unreachable ||
            connection_number <= last_stalled_connection)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            continue;
        }
        std::array<pollfd, 2> poll_entries{
            {{caller.number(), POLLIN, 0}, {callee.number(), POLLIN, 0}}};
        poll(poll_entries.data(), poll_entries.size(), 50);
        if ((current_mode != proxy_mode::forward &&
             current_mode != proxy_mode::refuse_new) ||
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

// The listening socket of the proxy, whose state follows the mode.
class proxy_listener
{
public:
    explicit proxy_listener(network_address address)
        : address_(std::move(address)), socket_(listen_on(address_))
    {
    }

    const file_descriptor& socket() const { return socket_; }
    // Returns false if no connections are to be accepted now.
    bool update()
    {
        const proxy_mode mode = current_mode;
        if (mode == proxy_mode::refuse || mode == proxy_mode::refuse_new)
            socket_ = file_descriptor(-1);
        else if (mode == proxy_mode::unreachable)
            fill_queue();
        else if (socket_.number() < 0 || !fillers_.empty())
        {
            fillers_.clear();
            socket_ = file_descriptor(-1);
            socket_ = listen_on(address_);
        }
        return socket_.number() >= 0 && fillers_.empty();
    }

private:
    // While the queue of connections to be accepted is full, the system ignores attempts
    // to connect.
    void fill_queue()
    {
        constexpr int fillers = 4;
        if (!fillers_.empty() || socket_.number() < 0)
            return;
        listen(socket_.number(), 0);
        for (int number = 0; number < fillers; ++number)
            fillers_.push_back(connect_to(address_));
    }

    network_address address_;
    file_descriptor socket_;
    std::vector<file_descriptor> fillers_;
};

void accept_connections(proxy_listener& listener, const network_address& target)
{
    for (;;)
    {
        if (!listener.update())
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
            continue;
        }
        pollfd wait{listener.socket().number(), POLLIN, 0};
        poll(&wait, 1, 10);
        auto accepted = std::make_shared<file_descriptor>(accept_from(listener.socket()));
        if (accepted->number() < 0 || current_mode == proxy_mode::disconnect)
            continue;
        std::thread([accepted, target]
                    { serve_connection(std::move(*accepted), target); })
            .detach();
    }
}

// Sets the mode that POST /control names: "cut" disconnects, "silent" stalls, "pass"
// forwards, and "unreachable", "refuse" and "refuse_new" do as proxy_mode says.
// "silence_open" permanently stalls the connections that are open now, and no later ones.
void set_mode(const std::string& name)
{
    if (name == "silence_open")
    {
        last_stalled_connection = last_connection.load();
        return;
    }
    current_mode = name == "cut"           ? proxy_mode::disconnect
                   : name == "silent"      ? proxy_mode::stall
                   : name == "unreachable" ? proxy_mode::unreachable
                   : name == "refuse"      ? proxy_mode::refuse
                   : name == "refuse_new"  ? proxy_mode::refuse_new
                                           : proxy_mode::forward;
}

} // namespace

int run_tcp_proxy(const options& option_values)
{
    const network_address address{text_option(option_values, "listen", "")};
    const network_address target{text_option(option_values, "target", "")};
    proxy_listener listener(address);
    std::thread([&] { accept_connections(listener, target); }).detach();
    httplib::Server server;
    server.Post("/control", [](const auto& request, auto&)
                { set_mode(nlohmann::json::parse(request.body).value("mode", "pass")); });
    return serve(server, option_values);
}

} // namespace pollenhaven::standins
