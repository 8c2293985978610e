// Callers that keep their connections open: each whole request that they send gets an
// answer or a refusal.

#define BOOST_TEST_MODULE kept_connections
#include "servers/socket.hpp"
#include "tests/harness/fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <csignal>
#include <poll.h>
#include <sys/socket.h>
#include <thread>

using namespace pollenhaven::harness;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

// How a request on a kept connection ended for its caller.
enum class request_end
{
    // A whole response, which may be a refusal.
    answered,
    // The connection ended in order, without a response.
    ended,
    reset,
    timed_out
};

// The body is sent after the head, so that a request can be sent in two parts.
std::string request_head(const std::string& id, std::size_t body_size)
{
    return "POST /orders/1 HTTP/1.1\r\nHost: " + std::string(fleet_host) +
           "\r\nX-Pollenhaven-Request-Id: " + id +
           "\r\nContent-Length: " + std::to_string(body_size) + "\r\n\r\n";
}

// A connection of a caller to a daemon that is used for one request after the other.
class kept_connection
{
public:
    explicit kept_connection(const std::string& address)
        : socket_(pollenhaven::connect_to({address}))
    {
        pollfd connected{socket_.number(), POLLOUT, 0};
        (void)poll(&connected, 1, 1000);
    }

    void send(const std::string& bytes) const
    {
        (void)::send(socket_.number(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    // Waits for the response to the last request.
    request_end receive(milliseconds timeout)
    {
        const auto limit = std::chrono::steady_clock::now() + timeout;
        received_.clear();
        while (!has_response())
        {
            const auto left = std::chrono::duration_cast<milliseconds>(
                limit - std::chrono::steady_clock::now());
            pollfd readable{socket_.number(), POLLIN, 0};
            if (left.count() <= 0 ||
                poll(&readable, 1, static_cast<int>(left.count())) <= 0)
                return request_end::timed_out;
            std::array<char, 4096> buffer{};
            const ssize_t count = recv(socket_.number(), buffer.data(), buffer.size(), 0);
            if (count <= 0)
                return count == 0 ? request_end::ended : request_end::reset;
            received_.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return request_end::answered;
    }

    int status() const { return std::stoi(received_.substr(received_.find(' ') + 1)); }
    bool says_close() const
    {
        return received_.find("Connection: close\r\n") != std::string::npos;
    }

private:
    bool has_response() const
    {
        const std::string length_field = "Content-Length: ";
        const std::size_t head_end = received_.find("\r\n\r\n");
        const std::size_t length = received_.find(length_field);
        return head_end != std::string::npos && length < head_end &&
               received_.size() >=
                   head_end + 4 +
                       std::stoul(received_.substr(length + length_field.size()));
    }

    pollenhaven::file_descriptor socket_;
    std::string received_;
};

fleet_options one_daemon()
{
    fleet_options options;
    options.daemons = 1;
    options.engines = 1;
    return options;
}

} // namespace

// Guards against a process that ends while a request is on its way to it: half of it has
// been read at SIGTERM, and the rest comes once nothing else is in flight.
BOOST_AUTO_TEST_CASE(a_request_that_is_read_in_part_at_sigterm_is_answered)
{
    fleet deployment(one_daemon());
    kept_connection caller(deployment.caller_address(0));
    caller.send(request_head("half", 8) + "half");
    std::this_thread::sleep_for(milliseconds(100));
    deployment.daemon(0).signal(SIGTERM);
    std::this_thread::sleep_for(seconds(2));
    caller.send("half");
    BOOST_TEST((caller.receive(seconds(3)) == request_end::answered));
    BOOST_TEST(caller.says_close());
    BOOST_TEST(deployment.daemon(0).wait(seconds(3)).value_or(-1) == 0);
}

// Guards against whole requests that are dropped after a pause of the process: their
// connections have passed their idle limit by then, and lie unread.
BOOST_AUTO_TEST_CASE(requests_that_were_sent_during_a_pause_of_the_process_are_answered)
{
    constexpr int connections = 200;
    const milliseconds idle_limit{3000};
    fleet deployment(one_daemon());
    deployment.write_idle_limit(2, idle_limit);
    std::this_thread::sleep_for(seconds(1));
    std::vector<kept_connection> callers;
    callers.reserve(connections);
    for (int connection = 0; connection < connections; ++connection)
        callers.emplace_back(deployment.caller_address(0));
    // Within the four fifths of the limit that callers may use.
    std::this_thread::sleep_for(idle_limit * 7 / 10);
    deployment.daemon(0).signal(SIGSTOP);
    for (std::size_t caller = 0; caller < callers.size(); ++caller)
        callers[caller].send(request_head("paused-" + std::to_string(caller), 0));
    std::this_thread::sleep_for(idle_limit / 2);
    deployment.daemon(0).signal(SIGCONT);
    int answered = 0;
    for (kept_connection& caller : callers)
        answered += caller.receive(seconds(5)) == request_end::answered ? 1 : 0;
    BOOST_TEST(answered == connections);
}
