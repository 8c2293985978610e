#ifndef POLLENHAVEN_TESTS_HARNESS_BACKGROUND_TRAFFIC_HPP
#define POLLENHAVEN_TESTS_HARNESS_BACKGROUND_TRAFFIC_HPP

#include "tests/harness/fleet.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

namespace pollenhaven::harness
{

// Results that the callers received while the traffic ran.
struct traffic_counts
{
    int sent = 0;
    // Complete streams with the expected text, and completed bookings.
    int served = 0;
    // Complete streams whose text is not the expected one.
    int wrong_text = 0;
    // Streams that started and ended before their last event.
    int truncated = 0;
    // Unsuccessful requests by error code; "connection" if no error code was received.
    std::map<std::string, int> failures_by_code;
    // Booking keys by the verdict that their caller received: "completed", "not_run" or
    // "may_have_run". A booking without a response counts as "may_have_run".
    std::map<std::string, std::vector<std::string>> bookings_by_verdict;
};

// Sends chats and bookings through the given daemons until it is stopped. Each caller has
// a thread of its own and alternates between the daemons. `adapters` is the number of
// adapters that the chats use.
class background_traffic
{
public:
    background_traffic(const fleet& deployment, std::vector<int> daemons, int callers = 4,
                       int adapters = 4);
    ~background_traffic();
    background_traffic(const background_traffic&) = delete;
    background_traffic& operator=(const background_traffic&) = delete;

    // Stops the traffic, waits for the requests that are under way, and returns the
    // results.
    traffic_counts stop();
    // Number of requests served so far.
    int served() const { return served_; }

private:
    void run(int caller);
    void send_chat(int caller, int turn);
    void send_booking(int caller, int turn);
    int daemon_for(int caller, int turn) const;

    const fleet& deployment_;
    std::vector<int> daemons_;
    int adapters_;
    std::atomic<bool> stop_{false};
    std::atomic<int> served_{0};
    std::mutex mutex_;
    traffic_counts counts_;
    std::vector<std::thread> threads_;
};

// Counts bookings that were executed more than once, reported as completed but not
// executed, or reported as not run but executed.
int count_guarantee_violations(const fleet& deployment, const traffic_counts& counts);

} // namespace pollenhaven::harness

#endif
