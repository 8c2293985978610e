#include "servers/socket.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace pollenhaven
{

namespace
{

constexpr int listen_backlog = 512;
constexpr int max_port = 65535;

file_descriptor open_socket()
{
    file_descriptor opened(
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (opened.number() < 0)
        throw std::runtime_error(std::string("can't open a socket: ") +
                                 std::strerror(errno));
    return opened;
}

void disable_nagle(int number)
{
    const int enabled = 1;
    setsockopt(number, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

} // namespace

file_descriptor::~file_descriptor()
{
    if (number_ >= 0)
        close(number_);
}

file_descriptor::file_descriptor(file_descriptor&& other) noexcept
    : number_(std::exchange(other.number_, -1))
{
}

file_descriptor& file_descriptor::operator=(file_descriptor&& other) noexcept
{
    std::swap(number_, other.number_);
    return *this;
}

host_and_port split_address(const network_address& address)
{
    const std::string& text = address.value;
    const std::size_t colon = text.rfind(':');
    host_and_port parts;
    if (colon != std::string::npos)
    {
        parts.host = text.substr(0, colon);
        const char* end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data() + colon + 1, end, parts.port);
        if (parsed.ec == std::errc() && parsed.ptr == end && !parts.host.empty() &&
            parts.port > 0 && parts.port <= max_port)
            return parts;
    }
    throw std::runtime_error("'" + text + "' is not an IP:PORT address");
}

sockaddr_in to_socket_address(const network_address& address)
{
    const host_and_port parts = split_address(address);
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(parts.port));
    if (inet_pton(AF_INET, parts.host.c_str(), &result.sin_addr) != 1)
        throw std::runtime_error("'" + address.value + "' is not an IP:PORT address");
    return result;
}

file_descriptor listen_on(const network_address& address)
{
    const sockaddr_in target = to_socket_address(address);
    file_descriptor listener = open_socket();
    const int enabled = 1;
    setsockopt(listener.number(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    const auto* socket_address = reinterpret_cast<const sockaddr*>(&target);
    if (bind(listener.number(), socket_address, sizeof(target)) != 0 ||
        listen(listener.number(), listen_backlog) != 0)
        throw std::runtime_error("can't listen on " + address.value + ": " +
                                 std::strerror(errno));
    return listener;
}

file_descriptor connect_to(const network_address& address)
{
    const sockaddr_in target = to_socket_address(address);
    file_descriptor opened = open_socket();
    disable_nagle(opened.number());
    const auto* socket_address = reinterpret_cast<const sockaddr*>(&target);
    // A failure is reported when the descriptor becomes writable.
    (void)connect(opened.number(), socket_address, sizeof(target));
    return opened;
}

file_descriptor accept_from(const file_descriptor& listener)
{
    file_descriptor accepted(
        accept4(listener.number(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (accepted.number() >= 0)
        disable_nagle(accepted.number());
    return accepted;
}

} // namespace pollenhaven
