#ifndef POLLENHAVEN_TESTS_HARNESS_BACKGROUND_TRAFFIC_HPP
#define POLLENHAVEN_TESTS_HARNESS_BACKGROUND_TRAFFIC_HPP

#include "tests/harness/fleet.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

namespace pollenhaven::harness
{

// What callers saw while the load ran.
struct traffic_counts
{
    int sent = 0;
    int served = 0;
    // Whole answers with the wrong text.
    int wrong_text = 0;
    // Streams that began and did not come to their end.
    int truncated = 0;
    // Answers other than served, by error code.
    std::map<std::string, int> failures_by_code;
    // Booking keys by what their callers were told: "completed", "not_run",
    // "may_have_run".
    std::map<std::string, std::vector<std::string>> bookings_by_verdict;
};

// Keeps sending questions and bookings through the given daemons until it is stopped.
class background_traffic
{
public:
    background_traffic(const fleet& deployment, std::vector<int> daemons, int callers = 4,
                       int adapters = 4);
    ~background_traffic();
    background_traffic(const background_traffic&) = delete;
    background_traffic& operator=(const background_traffic&) = delete;

    traffic_counts stop();
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

// Bookings that were carried out more than once, lost although completed, or carried out
// although their callers were told that they were not run.
int count_guarantee_violations(const fleet& deployment, const traffic_counts& counts);

} // namespace pollenhaven::harness

#endif
