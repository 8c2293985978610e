// Callers that keep their connections open: each whole request that they send gets an
// answer or a refusal.

#define BOOST_TEST_MODULE kept_connections
#include "servers/socket.hpp"
#include "tests/harness/fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <mutex>
#include <optional>
#include <poll.h>
#include <random>
#include <sys/socket.h>
#include <thread>

using namespace pollenhaven::harness;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace
{

constexpr milliseconds soak_duration{20000};
constexpr int soak_callers = 24;
constexpr milliseconds min_idle_limit{1000};
constexpr milliseconds max_idle_limit{4000};
// The platform's bound on how long after a request its connection may end because the end
// crossed the request.
constexpr milliseconds max_crossing{200};
constexpr milliseconds response_timeout{12000};

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

std::string chat_request(const std::string& id)
{
    return "POST /chat/1 HTTP/1.1\r\nHost: " + std::string(fleet_host) +
           "\r\nX-Pollenhaven-Request-Id: " + id +
           "\r\nX-Pollenhaven-Model: base/start\r\nX-Pollenhaven-Token-Count: 100,50"
           "\r\nContent-Length: 0\r\n\r\n";
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

    // Returns true if the daemon has ended the connection, or it was never established.
    bool has_ended() const
    {
        char byte = 0;
        const ssize_t count = recv(socket_.number(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN);
    }

    // Waits for the response to the next request that has none yet.
    request_end receive(milliseconds timeout)
    {
        const auto limit = steady_clock::now() + timeout;
        received_.erase(0, response_size_);
        response_size_ = 0;
        while (!find_response())
        {
            const auto left =
                std::chrono::duration_cast<milliseconds>(limit - steady_clock::now());
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
        return received_.substr(0, response_size_).find("Connection: close\r\n") !=
               std::string::npos;
    }

private:
    bool find_response()
    {
        const std::string length_field = "Content-Length: ";
        const std::string head_end_mark = "\r\n\r\n";
        const std::size_t head_end = received_.find(head_end_mark);
        const std::size_t length = received_.find(length_field);
        if (received_.find("Transfer-Encoding: chunked\r\n") < head_end)
            return find_last_chunk(head_end);
        if (head_end == std::string::npos || length > head_end)
            return false;
        const std::size_t size =
            head_end + head_end_mark.size() +
            std::stoul(received_.substr(length + length_field.size()));
        if (received_.size() < size)
            return false;
        response_size_ = size;
        return true;
    }

    bool find_last_chunk(std::size_t head_end)
    {
        const std::string last_chunk = "\r\n0\r\n\r\n";
        const std::size_t end = received_.find(last_chunk, head_end);
        if (end == std::string::npos)
            return false;
        response_size_ = end + last_chunk.size();
        return true;
    }

    pollenhaven::file_descriptor socket_;
    std::string received_;
    // The size of the response that receive() found at the front of `received_`.
    std::size_t response_size_ = 0;
};

fleet_options one_daemon()
{
    fleet_options options;
    options.daemons = 1;
    options.engines = 1;
    return options;
}

std::uint32_t soak_seed()
{
    const char* const seed = std::getenv("POLLENHAVEN_SEED");
    return seed == nullptr ? 20261205U
                           : static_cast<std::uint32_t>(std::strtoul(seed, nullptr, 10));
}

milliseconds random_time(std::mt19937& random, milliseconds from, milliseconds to)
{
    return milliseconds(std::uniform_int_distribution<milliseconds::rep>(
        from.count(), to.count())(random));
}

bool happens(std::mt19937& random, double probability)
{
    return std::bernoulli_distribution(probability)(random);
}

// What the callers of a soak saw.
struct soak_results
{
    std::atomic<int> served{0};
    std::atomic<int> refused{0};
    std::atomic<int> crossed{0};
    std::mutex mutex;
    std::vector<std::string> losses;
};

// Callers with kept connections beside signals, restarts and changes of the
// configuration.
struct soak
{
    fleet& deployment;
    soak_results results;
    std::atomic<bool> stopped{false};
    std::atomic<int> configuration_version{1};
    std::atomic<milliseconds> idle_limit{min_idle_limit};

    void record(int daemon, request_end end, int status, milliseconds idle,
                milliseconds taken)
    {
        if (end == request_end::answered)
        {
            ++(status == 200 ? results.served : results.refused);
            return;
        }
        if (end != request_end::timed_out && taken <= max_crossing)
        {
            ++results.crossed;
            return;
        }
        const std::string name = end == request_end::ended   ? "ended"
                                 : end == request_end::reset ? "reset"
                                                             : "timed out";
        const std::lock_guard lock(results.mutex);
        results.losses.push_back("daemon " + std::to_string(daemon) + ": " + name +
                                 " after " + std::to_string(taken.count()) +
                                 " ms, idle before for " + std::to_string(idle.count()) +
                                 " ms");
    }

    // Sends one or two whole requests at once and waits for their responses. Returns
    // false if the connection can't be used any more.
    bool use(kept_connection& connection, int daemon, milliseconds idle, int requests)
    {
        static std::atomic<int> next_id{0};
        std::string bytes;
        for (int request = 0; request < requests; ++request)
            bytes += request_head("soak-" + std::to_string(++next_id), 2) + "{}";
        const auto sent_at = steady_clock::now();
        connection.send(bytes);
        for (int request = 0; request < requests; ++request)
        {
            const request_end end = connection.receive(response_timeout);
            const int status = end == request_end::answered ? connection.status() : 0;
            record(
                daemon, end, status, idle,
                std::chrono::duration_cast<milliseconds>(steady_clock::now() - sent_at));
            // What was sent behind a response that says close isn't run.
            if (end != request_end::answered || connection.says_close())
                return false;
        }
        return true;
    }

    void call(int daemon, std::uint32_t seed)
    {
        std::mt19937 random(seed);
        std::optional<kept_connection> connection;
        while (!stopped)
        {
            // Callers may use a connection for four fifths of the limit that they know.
            const milliseconds idle =
                happens(random, 0.2)
                    ? random_time(random, milliseconds(0), idle_limit.load() * 4 / 5)
                    : random_time(random, milliseconds(0), milliseconds(150));
            std::this_thread::sleep_for(idle);
            if (!connection || connection->has_ended())
                connection.emplace(deployment.caller_address(daemon));
            if (connection->has_ended() ||
                !use(*connection, daemon, idle, happens(random, 0.2) ? 2 : 1))
                connection.reset();
        }
    }

    void change_configuration(std::uint32_t seed)
    {
        std::mt19937 random(seed);
        while (!stopped)
        {
            constexpr int max_unused_routes = 400;
            const milliseconds limit =
                random_time(random, min_idle_limit, max_idle_limit);
            deployment.write_idle_limit(
                ++configuration_version, limit,
                std::uniform_int_distribution(0, max_unused_routes)(random));
            idle_limit = limit;
            std::this_thread::sleep_for(
                random_time(random, milliseconds(200), milliseconds(1500)));
        }
    }

    void pause(process& daemon, std::mt19937& random) const
    {
        daemon.signal(SIGSTOP);
        std::this_thread::sleep_for(
            random_time(random, milliseconds(50), milliseconds(1200)));
        daemon.signal(SIGCONT);
    }

    void restart(int number, std::mt19937& random)
    {
        process& daemon = deployment.daemon(number);
        daemon.signal(SIGTERM);
        if (happens(random, 0.5))
        {
            std::this_thread::sleep_for(
                random_time(random, milliseconds(0), milliseconds(1200)));
            pause(daemon, random);
        }
        const bool has_exited = daemon.wait(seconds(10)).value_or(-1) == 0;
        const std::lock_guard lock(results.mutex);
        if (!has_exited)
            results.losses.push_back("daemon " + std::to_string(number) +
                                     " didn't exit in order");
        deployment.start_daemon(number);
    }

    void disturb(int number, std::uint32_t seed)
    {
        std::mt19937 random(seed);
        while (!stopped)
        {
            std::this_thread::sleep_for(
                random_time(random, milliseconds(300), milliseconds(2500)));
            const int kind = std::uniform_int_distribution(0, 3)(random);
            if (kind == 0)
                deployment.daemon(number).signal(SIGHUP);
            else if (kind == 1)
                restart(number, random);
            else
                pause(deployment.daemon(number), random);
        }
    }

    void run(std::uint32_t seed)
    {
        std::vector<std::thread> threads;
        threads.reserve(soak_callers + deployment.daemon_count() + 1);
        for (int caller = 0; caller < soak_callers; ++caller)
            threads.emplace_back(
                [this, caller, thread_seed = ++seed]
                { call(caller % deployment.daemon_count(), thread_seed); });
        for (int daemon = 0; daemon < deployment.daemon_count(); ++daemon)
            threads.emplace_back([this, daemon, thread_seed = ++seed]
                                 { disturb(daemon, thread_seed); });
        threads.emplace_back([this, thread_seed = ++seed]
                             { change_configuration(thread_seed); });
        std::this_thread::sleep_for(soak_duration);
        stopped = true;
        for (std::thread& thread : threads)
            thread.join();
    }
};

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

// Guards against requests that are read late in a planned stop, passed on, and cut off
// when the grace period is over.
BOOST_AUTO_TEST_CASE(a_request_that_is_read_late_in_a_planned_stop_is_not_cut_off)
{
    fleet_options options = one_daemon();
    options.grace_ms = 4000;
    options.events_per_stream = 50;
    options.event_interval_ms = 50;
    fleet deployment(options);
    kept_connection caller(deployment.caller_address(0));
    caller.send(chat_request("early"));
    std::this_thread::sleep_for(milliseconds(500));
    // The head of the response in progress says that its connection stays open.
    deployment.daemon(0).signal(SIGTERM);
    BOOST_REQUIRE((caller.receive(seconds(5)) == request_end::answered));
    caller.send(chat_request("late"));
    BOOST_TEST((caller.receive(seconds(5)) == request_end::answered));
}

// Guards against a request that still waits for its adapter when the process exits and
// whose connection ends without an answer (LOST).
BOOST_AUTO_TEST_CASE(a_request_that_waits_at_the_end_of_a_planned_stop_is_refused)
{
    fleet_options options = one_daemon();
    options.grace_ms = 1900;
    fleet deployment(options);
    for (int engine = 0; engine < options.engines; ++engine)
        deployment.signal_engine(engine, SIGSTOP);
    std::thread stop(
        [&]
        {
            std::this_thread::sleep_for(milliseconds(200));
            deployment.daemon(0).signal(SIGTERM);
        });
    const http_response response = deployment.send_platform_chat(0, "waits", "a1");
    stop.join();
    for (int engine = 0; engine < options.engines; ++engine)
        deployment.signal_engine(engine, SIGCONT);
    BOOST_TEST(response.status == 503);
    BOOST_TEST(response.body.find("not_run") != std::string::npos, response.body);
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

// Guards against whole requests that get neither an answer nor a refusal while signals,
// restarts and changes of the configuration come in series and overlap. Only a request
// that crosses the end of its connection may get none. POLLENHAVEN_SEED sets the seed.
BOOST_AUTO_TEST_CASE(each_whole_request_is_answered_or_refused_beside_planned_work)
{
    const std::uint32_t seed = soak_seed();
    fleet_options options;
    options.daemons = 2;
    options.engines = 1;
    options.grace_ms = 4000;
    fleet deployment(options);
    soak run{deployment};
    run.run(seed);
    BOOST_TEST_MESSAGE("seed " << seed << ": " << run.results.served << " served, "
                               << run.results.refused << " refused, "
                               << run.results.crossed << " crossed an end");
    for (const std::string& loss : run.results.losses)
        BOOST_ERROR("seed " << seed << ": " << loss);
    BOOST_TEST(run.results.served > 500);
}
