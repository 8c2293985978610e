// Callers that read their answers slowly while their daemon stops.

#define BOOST_TEST_MODULE slow_callers
#include "tests/harness/raw_connection.hpp"
#include "tests/process/checks.hpp"

#include <csignal>
#include <thread>

using namespace pollenhaven::harness;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr int callers = 6;
constexpr int receive_buffer = 4096;

fleet_options long_answers()
{
    fleet_options options;
    options.events_per_stream = 1000;
    options.event_interval_ms = 1;
    options.grace_ms = 16000;
    return options;
}

std::string chat(int caller)
{
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: fleet.test\r\n"
           "X-Pollenhaven-Request-Id: slow-" +
           std::to_string(caller) +
           "\r\nX-Pollenhaven-Model: base\r\nX-Pollenhaven-Token-Count: 100,50\r\n"
           "X-Pollenhaven-Deadline-Ms: 14000\r\nContent-Length: 2\r\n\r\n{}";
}

// Reads a little at a time, for longer than the kernel leaves output unconfirmed. Returns
// true if the answer is whole.
bool read_slowly(const std::string& address, int caller)
{
    constexpr std::size_t bytes_per_read = 700;
    constexpr milliseconds between_reads{100};
    raw_connection connection(address, receive_buffer);
    connection.send(chat(caller), seconds(1));
    while (!connection.received().ends_with("0\r\n\r\n"))
    {
        std::this_thread::sleep_for(between_reads);
        if (!connection.read_some(bytes_per_read, seconds(3)))
            return false;
    }
    return true;
}

// Returns the number of whole answers.
int run_slow_callers(const std::string& address, const std::function<void()>& meanwhile)
{
    std::atomic<int> whole{0};
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int caller = 0; caller < callers; ++caller)
        threads.emplace_back([&, caller]
                             { whole += read_slowly(address, caller) ? 1 : 0; });
    meanwhile();
    for (std::thread& thread : threads)
        thread.join();
    return whole;
}

} // namespace

// Guards against answers that are cut off because their callers read slowly while the
// daemon stops (LOST).
BOOST_AUTO_TEST_CASE(slow_callers_get_their_answers_during_a_planned_stop)
{
    fleet_options options = long_answers();
    options.daemons = 1;
    fleet deployment(options);
    const int whole = run_slow_callers(deployment.caller_address(0),
                                       [&]
                                       {
                                           std::this_thread::sleep_for(seconds(1));
                                           deployment.daemon(0).signal(SIGTERM);
                                       });
    BOOST_TEST(whole == callers);
    BOOST_TEST(deployment.daemon(0).wait(seconds(5)).value_or(-1) == 0);
}
