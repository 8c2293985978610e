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

// The outcome of one request.
struct request_result
{
    // Time from arrival to the first token; none if no token was generated.
    std::optional<milliseconds> first_token;
    milliseconds longest_pause{0};
    bool completed = false;
    bool refused = false;
    double credit = 0;
};

struct emulation_result
{
    std::vector<request_result> requests;
    // Earned credit, as a share of the credit for completing every request on time.
    double credit_share = 0;
    // 95th percentile over the requests that received a first token.
    double first_token_p95_ms = 0;
    // Share of the completed requests that had a pause longer than their class allows.
    double paused_share = 0;
    // Adapter loads from the weight store, not from the engines' host memory.
    int store_loads = 0;
    int refused = 0;
    // Requests that engines rejected because the adapter wasn't loaded.
    int turned_away = 0;
};

// Discrete-event simulation of engines and requests in virtual time. It makes no
// decisions: a variant receives arrivals and other events through the handlers, and
// decides by calling send() and refuse().
class emulation
{
public:
    // The arguments must outlive the emulation.
    emulation(const deployment_profile& deployment,
              const std::vector<emulated_request>& workload);

    const deployment_profile& profile() const { return profile_; }
    const emulated_request& request(int number) const
    {
        return workload_[static_cast<std::size_t>(number)];
    }
    int request_count() const { return static_cast<int>(workload_.size()); }
    instant now() const { return now_; }
    engine_emulator& engine(int number)
    {
        return *engines_.at(static_cast<std::size_t>(number));
    }

    // Schedules a call at a point in virtual time, or after a delay. A time in the past
    // means now.
    void schedule_at(instant when, std::function<void()> call);
    void schedule_after(milliseconds delay, std::function<void()> call);
    // Sends a request to an engine. Returns false if the engine rejected it because its
    // adapter isn't loaded.
    bool send(int request, int engine);
    void refuse(int request);
    bool is_request_finished(int request) const
    {
        return finished_[static_cast<std::size_t>(request)];
    }

    // Called when a request arrives, when its first token was generated, and when it was
    // completed, refused or abandoned by its caller. The last two can be called during an
    // engine's step and must not call send().
    std::function<void(int request)> arrival_handler;
    std::function<void(int request)> first_token_handler = [](int) {};
    std::function<void(int request)> finished_handler = [](int) {};

    // Runs until every request is finished or no scheduled call is left.
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
    void finish_request(int request);
    void run_engine(int engine);
    double credit_of(int request) const;
    emulation_result summary() const;

    const deployment_profile& profile_;
    const std::vector<emulated_request>& workload_;
    weight_store store_;
    std::vector<std::unique_ptr<engine_emulator>> engines_;
    std::vector<instant> next_step_;
    std::vector<request_result> results_;
    std::vector<bool> finished_;
    std::vector<int> assigned_engine_;
    std::vector<instant> last_event_time_;
    // Number of requests that are not finished.
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
