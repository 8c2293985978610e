// A TCP relay that a test puts between two programs to cut or silence their connections.

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
    pass,
    // Refuses new connections and closes the open ones.
    cut,
    // Keeps connections open and passes nothing, new ones included.
    silent
};

std::atomic<proxy_mode> current_mode{proxy_mode::pass};
// Connections opened before this number are silent for good, while newer ones pass.
std::atomic<int> silent_before{0};
std::atomic<int> last_number{0};

bool move_bytes(int from, int to)
{
    std::array<char, 16384> buffer{};
    const ssize_t length = recv(from, buffer.data(), buffer.size(), 0);
    if (length <= 0)
        return length < 0 && (errno == EAGAIN || errno == EINTR);
    ssize_t done = 0;
    while (done < length)
    {
        const ssize_t sent = send(to, buffer.data() + done,
                                  static_cast<std::size_t>(length - done), MSG_NOSIGNAL);
        if (sent < 0 && errno == EAGAIN)
        {
            pollfd wait{to, POLLOUT, 0};
            poll(&wait, 1, 100);
            continue;
        }
        if (sent <= 0)
            return false;
        done += sent;
    }
    return true;
}

void relay(file_descriptor caller, const network_address& target)
{
    const int number = ++last_number;
    const file_descriptor callee = connect_to(target);
    for (;;)
    {
        const proxy_mode mode = current_mode;
        if (mode == proxy_mode::cut)
            return;
        if (mode == proxy_mode::silent || number <= silent_before)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            continue;
        }
        std::array<pollfd, 2> waits{
            {{caller.number(), POLLIN, 0}, {callee.number(), POLLIN, 0}}};
        poll(waits.data(), waits.size(), 50);
        if (current_mode != proxy_mode::pass || number <= silent_before)
            continue;
        if (waits[0].revents != 0 && !move_bytes(caller.number(), callee.number()))
            return;
        if (waits[1].revents != 0 && !move_bytes(callee.number(), caller.number()))
            return;
    }
}

void accept_forever(const file_descriptor& listener, const network_address& target)
{
    for (;;)
    {
        pollfd wait{listener.number(), POLLIN, 0};
        poll(&wait, 1, 100);
        auto accepted = std::make_shared<file_descriptor>(accept_from(listener));
        if (accepted->number() < 0 || current_mode == proxy_mode::cut)
            continue;
        std::thread([accepted, target] { relay(std::move(*accepted), target); }).detach();
    }
}

void set_mode(const std::string& name)
{
    if (name == "silence_open")
    {
        silent_before = last_number.load();
        return;
    }
    current_mode = name == "cut"      ? proxy_mode::cut
                   : name == "silent" ? proxy_mode::silent
                                      : proxy_mode::pass;
}

} // namespace

int run_tcp_proxy(const options& given)
{
    const network_address address{text_option(given, "listen", "")};
    const network_address target{text_option(given, "target", "")};
    const file_descriptor listener = listen_on(address);
    std::thread([&] { accept_forever(listener, target); }).detach();
    httplib::Server server;
    server.Post("/control", [](const auto& request, auto&)
                { set_mode(nlohmann::json::parse(request.body).value("mode", "pass")); });
    return serve(server, given);
}

} // namespace pollenhaven::standins
