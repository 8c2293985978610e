#ifndef POLLENHAVEN_BENCH_EMULATION_HPP
#define POLLENHAVEN_BENCH_EMULATION_HPP

#include "bench/engine_emulator.hpp"
#include "bench/workload.hpp"

#include <functional>
#include <memory>
#include <queue>
#include <vector>

namespace pollenhaven::bench
{

// What became of one request.
struct request_result
{
    // None if no answer began.
    std::optional<milliseconds> first_token;
    milliseconds longest_pause{0};
    bool completed = false;
    bool refused = false;
    double credit = 0;
};

struct emulation_result
{
    std::vector<request_result> requests;
    // Credit earned of the credit owed.
    double credit_share = 0;
    double first_token_p95_ms = 0;
    // Of the whole answers, those with a pause beyond what the sheet allows.
    double paused_share = 0;
    int store_loads = 0;
    int refused = 0;
    // Requests that engines turned away because the adapter wasn't there.
    int turned_away = 0;
};

// Virtual time, engines and requests, without any decision. A variant decides: it is told
// of arrivals and events and calls back.
class emulation
{
public:
    emulation(const deployment_profile& where, const std::vector<emulated_request>& load);

    const deployment_profile& profile() const { return profile_; }
    const emulated_request& request(int number) const
    {
        return load_[static_cast<std::size_t>(number)];
    }
    int request_count() const { return static_cast<int>(load_.size()); }
    instant now() const { return now_; }
    engine_emulator& engine(int number)
    {
        return *engines_.at(static_cast<std::size_t>(number));
    }

    // Calls back at a moment, or after a delay.
    void schedule_at(instant when, std::function<void()> call);
    void schedule_after(milliseconds delay, std::function<void()> call);
    // Sends a request to an engine. False if the engine turned it away.
    bool send(int request, int engine);
    void refuse(int request);
    bool is_request_finished(int request) const
    {
        return finished_[static_cast<std::size_t>(request)];
    }

    // Called for each arrival, when the first token of a request was made, and when a
    // request ended or its caller left. The last two may come from within a step of an
    // engine and must not send.
    std::function<void(int request)> arrival_handler;
    std::function<void(int request)> first_token_handler = [](int) {};
    std::function<void(int request)> end_handler = [](int) {};

    emulation_result run();

private:
    struct scheduled_call
    {
        instant when;
        std::uint64_t sequence;
        std::function<void()> call;
        bool operator>(const scheduled_call& other) const
        {
            return std::tie(when, sequence) > std::tie(other.when, other.sequence);
        }
    };

    void on_event(int request, bool last, instant when);
    void on_abandoned(int request);
    void end(int request);
    void run_engine(int engine);
    double credit_of(int request) const;
    emulation_result summary() const;

    const deployment_profile& profile_;
    const std::vector<emulated_request>& load_;
    weight_store store_;
    std::vector<std::unique_ptr<engine_emulator>> engines_;
    std::vector<instant> next_step_;
    std::vector<request_result> records_;
    std::vector<bool> finished_;
    std::vector<int> assigned_engine_;
    std::vector<instant> last_event_time_;
    // Requests that are not over.
    std::size_t unfinished_;
    instant now_{};
    std::uint64_t last_sequence_ = 0;
    int turned_away_ = 0;
    std::priority_queue<scheduled_call, std::vector<scheduled_call>,
                        std::greater<scheduled_call>>
        calls_;
};

} // namespace pollenhaven::bench

#endif
