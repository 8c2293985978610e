// A small blocking HTTP/1.1 server and client for the stand-ins of the review. Each
// connection has a thread of its own, so a handler may answer late, wrongly or not at all.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review
{

using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

inline steady::time_point start_of_run = steady::now();

// Milliseconds since the start of the run, on the steady clock.
inline double now_ms()
{
    return std::chrono::duration<double, std::milli>(steady::now() - start_of_run).count();
}

inline void sleep_ms(double span)
{
    if (span > 0)
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(span));
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return text;
}

struct message
{
    std::string method;
    std::string target;
    int status = 0;
    std::map<std::string, std::string> fields;
    std::string body;
    // The whole message arrived, as its framing says.
    bool complete = false;

    std::string field(const std::string& name) const
    {
        const auto found = fields.find(lower(name));
        return found == fields.end() ? "" : found->second;
    }
    std::string path() const { return target.substr(0, target.find('?')); }
    std::string query(const std::string& name) const
    {
        std::size_t at = target.find('?');
        while (at != std::string::npos)
        {
            const std::size_t end = std::min(target.find('&', at + 1), target.size());
            const std::string pair = target.substr(at + 1, end - at - 1);
            const std::size_t equals = pair.find('=');
            if (pair.substr(0, equals) == name && equals != std::string::npos)
                return decode(pair.substr(equals + 1));
            at = end == target.size() ? std::string::npos : end;
        }
        return "";
    }
    static std::string decode(const std::string& text)
    {
        std::string result;
        for (std::size_t at = 0; at < text.size(); ++at)
            if (text[at] == '%' && at + 2 < text.size())
            {
                result += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
                at += 2;
            }
            else
                result += text[at];
        return result;
    }
};

// A socket with a read buffer.
struct connection
{
    int fd = -1;
    std::string input;
    std::atomic<bool> open{true};

    explicit connection(int descriptor) : fd(descriptor) {}
    ~connection() { ::close(fd); }

    bool send_all(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size())
        {
            const ssize_t count =
                ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count < 0 && errno == EINTR)
                continue;
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }
    // Returns false at the end of the input, or after the time limit (none if negative).
    bool receive(int limit_ms = -1)
    {
        pollfd wait{fd, POLLIN, 0};
        if (::poll(&wait, 1, limit_ms) <= 0)
            return false;
        char buffer[16384];
        const ssize_t count = ::recv(fd, buffer, sizeof buffer, 0);
        if (count <= 0)
        {
            open = false;
            return false;
        }
        input.append(buffer, static_cast<std::size_t>(count));
        return true;
    }
    // Closes with a reset.
    void reset()
    {
        const linger option{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        ::shutdown(fd, SHUT_RDWR);
        open = false;
    }
};

using connection_ptr = std::shared_ptr<connection>;

inline bool read_line(connection& peer, std::string& line, int limit_ms)
{
    const double until = now_ms() + limit_ms;
    while (true)
    {
        const std::size_t end = peer.input.find("\r\n");
        if (end != std::string::npos)
        {
            line = peer.input.substr(0, end);
            peer.input.erase(0, end + 2);
            return true;
        }
        if (!peer.receive(limit_ms < 0 ? -1
                                       : std::max(0, static_cast<int>(until - now_ms()))))
            return false;
    }
}

inline bool read_bytes(connection& peer, std::size_t count, std::string& into, int limit_ms)
{
    const double until = now_ms() + limit_ms;
    while (peer.input.size() < count)
        if (!peer.receive(limit_ms < 0 ? -1
                                       : std::max(0, static_cast<int>(until - now_ms()))))
        {
            into += peer.input;
            peer.input.clear();
            return false;
        }
    into += peer.input.substr(0, count);
    peer.input.erase(0, count);
    return true;
}

// Reads one message. Returns false if its head didn't arrive.
inline bool read_message(connection& peer, message& result, bool is_response,
                         int limit_ms = -1,
                         const std::function<void(const message&)>& on_bytes = {})
{
    result = {};
    std::string line;
    if (!read_line(peer, line, limit_ms))
        return false;
    const std::size_t first = line.find(' ');
    const std::size_t second = line.find(' ', first + 1);
    if (first == std::string::npos)
        return false;
    if (is_response)
        result.status = std::atoi(line.c_str() + first + 1);
    else
    {
        result.method = line.substr(0, first);
        result.target = line.substr(first + 1, second - first - 1);
    }
    while (read_line(peer, line, limit_ms) && !line.empty())
    {
        const std::size_t colon = line.find(':');
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ')
            ++value;
        result.fields[lower(line.substr(0, colon))] = line.substr(value);
    }
    if (on_bytes)
        on_bytes(result);
    if (lower(result.field("Transfer-Encoding")) == "chunked")
    {
        while (read_line(peer, line, limit_ms))
        {
            const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
            if (size == 0)
            {
                result.complete = read_line(peer, line, limit_ms);
                return true;
            }
            if (!read_bytes(peer, size, result.body, limit_ms) ||
                !read_line(peer, line, limit_ms))
                return true;
            if (on_bytes)
                on_bytes(result);
        }
        return true;
    }
    const std::string length = result.field("Content-Length");
    if (!length.empty() || !is_response)
    {
        result.complete = read_bytes(peer, std::strtoul(length.c_str(), nullptr, 10),
                                     result.body, limit_ms);
        return true;
    }
    while (peer.receive(limit_ms))
        ;
    result.body = std::exchange(peer.input, {});
    result.complete = !peer.open;
    return true;
}

inline std::string reason_of(int status)
{
    return status == 200 ? "OK" : status == 202 ? "Accepted" : "Status";
}

inline std::string response_text(int status, const std::string& fields,
                                 const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " " + reason_of(status) + "\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline sockaddr_in address_of(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline int first_port()
{
    const char* const text = std::getenv("REVIEW_FIRST_PORT");
    return text != nullptr ? std::atoi(text) : 20000 + (::getpid() * 37) % 9000;
}

// A free port below the range of the ports that the system gives to outgoing connections.
inline int free_port()
{
    static std::atomic<int> next{first_port()};
    while (true)
    {
        const int port = next++;
        bool usable = true;
        for (const int type : {SOCK_STREAM, SOCK_DGRAM})
        {
            const int fd = ::socket(AF_INET, type, 0);
            const sockaddr_in address = address_of(port);
            usable = usable && ::bind(fd, reinterpret_cast<const sockaddr*>(&address),
                                      sizeof address) == 0;
            ::close(fd);
        }
        if (usable)
            return port;
        if (next > 31000)
            next = 20000;
    }
}

// A listening port. The handler answers on the connection itself and returns false to
// have it closed.
class server
{
public:
    using handler = std::function<bool(const message&, const connection_ptr&)>;

    explicit server(handler handle) : port_(free_port()), handle_(std::move(handle))
    {
        open();
        std::thread([this] { accept_loop(); }).detach();
    }
    int port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

    // Refuses new connections and resets those that are open.
    void refuse()
    {
        const std::lock_guard lock(mutex_);
        ::close(std::exchange(listener_, -1));
        for (const auto& weak : connections_)
            if (const connection_ptr peer = weak.lock())
                peer->reset();
        connections_.clear();
    }
    void accept_again()
    {
        const std::lock_guard lock(mutex_);
        if (listener_ < 0)
            open();
    }

private:
    void open()
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = address_of(port_);
        if (::bind(listener_, reinterpret_cast<const sockaddr*>(&address),
                   sizeof address) != 0 ||
            ::listen(listener_, 512) != 0)
        {
            std::perror("listen");
            std::exit(2);
        }
    }
    void accept_loop()
    {
        while (true)
        {
            int listener = -1;
            {
                const std::lock_guard lock(mutex_);
                listener = listener_;
            }
            pollfd wait{listener, POLLIN, 0};
            if (listener < 0 || ::poll(&wait, 1, 20) <= 0)
            {
                if (listener < 0)
                    sleep_ms(5);
                continue;
            }
            const std::lock_guard lock(mutex_);
            if (listener_ < 0)
                continue;
            const int fd = ::accept(listener_, nullptr, nullptr);
            if (fd < 0)
                continue;
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            auto peer = std::make_shared<connection>(fd);
            connections_.push_back(peer);
            std::thread([this, peer] { serve(peer); }).detach();
        }
    }
    void serve(const connection_ptr& peer)
    {
        message request;
        while (peer->open && read_message(*peer, request, false) && request.complete)
            if (!handle_(request, peer))
                break;
        ::shutdown(peer->fd, SHUT_RDWR);
    }

    int port_;
    handler handle_;
    std::mutex mutex_;
    int listener_ = -1;
    std::vector<std::weak_ptr<connection>> connections_;
};

inline connection_ptr connect_to(int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = address_of(port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    {
        ::close(fd);
        return nullptr;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return std::make_shared<connection>(fd);
}

// Sends one request on a connection of its own. The status is 0 if no response came.
inline message call(int port, const std::string& method, const std::string& target,
                    const std::string& fields, const std::string& body, int limit_ms)
{
    message response;
    const connection_ptr peer = connect_to(port);
    if (!peer)
        return response;
    const std::string length =
        method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    peer->send_all(method + " " + target + " HTTP/1.1\r\n" + fields + length + "\r\n" +
                   body);
    if (!read_message(*peer, response, true, limit_ms))
        response.status = 0;
    return response;
}

} // namespace review
