#include "tests/harness/raw_connection.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace pollenhaven::harness
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

raw_connection::raw_connection(const std::string& address, int receive_buffer)
    : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    if (receive_buffer > 0)
        setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                   sizeof receive_buffer);
    const std::size_t colon = address.rfind(':');
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
    const auto* generic_address = reinterpret_cast<const sockaddr*>(&target);
    if (connect(socket_, generic_address, sizeof target) != 0)
    {
        close();
        throw std::runtime_error("can't connect to " + address);
    }
}

raw_connection::~raw_connection()
{
    close();
}

raw_connection::raw_connection(raw_connection&& other) noexcept
    : socket_(std::exchange(other.socket_, -1)), received_(std::move(other.received_))
{
}

bool raw_connection::wait_until_ready(short events, steady_clock::time_point deadline)
{
    const auto left =
        std::chrono::ceil<milliseconds>(deadline - steady_clock::now()).count();
    pollfd waiting{socket_, events, 0};
    return poll(&waiting, 1, static_cast<int>(std::max<long long>(left, 0))) > 0;
}

bool raw_connection::send(const std::string& bytes, milliseconds timeout)
{
    const auto deadline = steady_clock::now() + timeout;
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        if (!wait_until_ready(POLLOUT, deadline))
            return false;
        const ssize_t count = ::send(socket_, bytes.data() + sent, bytes.size() - sent,
                                     MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count < 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

void raw_connection::shut_sending_side() const
{
    shutdown(socket_, SHUT_WR);
}

const std::string& raw_connection::read_until(const std::string& text,
                                              milliseconds timeout)
{
    constexpr std::size_t block_size = 65536;
    const auto deadline = steady_clock::now() + timeout;
    std::array<char, block_size> block{};
    while (received_.find(text) == std::string::npos &&
           wait_until_ready(POLLIN, deadline))
    {
        const ssize_t count = recv(socket_, block.data(), block.size(), MSG_DONTWAIT);
        if (count <= 0)
            break;
        received_.append(block.data(), static_cast<std::size_t>(count));
    }
    return received_;
}

bool raw_connection::read_some(std::size_t max_bytes, milliseconds timeout)
{
    std::string block(max_bytes, '\0');
    if (!wait_until_ready(POLLIN, steady_clock::now() + timeout))
        return false;
    const ssize_t count = recv(socket_, block.data(), block.size(), MSG_DONTWAIT);
    if (count <= 0)
        return false;
    received_.append(block.data(), static_cast<std::size_t>(count));
    return true;
}

void raw_connection::close()
{
    if (socket_ >= 0)
        ::close(std::exchange(socket_, -1));
}

} // namespace pollenhaven::harness
