#include "tests/harness/background_traffic.hpp"

#include <utility>

namespace pollenhaven::harness
{

namespace
{

constexpr int answer_tokens = 20;
constexpr int turns_per_booking = 4;
constexpr std::chrono::milliseconds pause_between{30};

} // namespace

background_traffic::background_traffic(const fleet& deployment, std::vector<int> daemons,
                                       int callers, int adapters)
    : deployment_(deployment), daemons_(std::move(daemons)), adapters_(adapters)
{
    threads_.reserve(static_cast<std::size_t>(callers));
    for (int i = 0; i < callers; ++i)
        threads_.emplace_back([this, i] { run(i); });
}

background_traffic::~background_traffic()
{
    stop();
}

traffic_counts background_traffic::stop()
{
    stop_ = true;
    for (std::thread& thread : threads_)
    {
        if (thread.joinable())
            thread.join();
    }
    const std::lock_guard lock(mutex_);
    return counts_;
}

void background_traffic::run(int caller)
{
    for (int turn = 0; !stop_; ++turn)
    {
        if (turn % turns_per_booking == 0)
            send_booking(caller, turn);
        else
            send_chat(caller, turn);
        std::this_thread::sleep_for(pause_between);
    }
}

int background_traffic::daemon_for(int caller, int turn) const
{
    const std::size_t number =
        static_cast<std::size_t>(caller) + static_cast<std::size_t>(turn);
    return daemons_[number % daemons_.size()];
}

void background_traffic::send_chat(int caller, int turn)
{
    const std::string model = "base/load-" + std::to_string((caller + turn) % adapters_);
    const std::string prompt = std::to_string(caller) + "-" + std::to_string(turn);
    const stream_response answer =
        stream_chat(deployment_.caller_address(daemon_for(caller, turn)), model, prompt,
                    answer_tokens);
    const std::lock_guard lock(mutex_);
    ++counts_.sent;
    if (answer.status == 200 && answer.done)
    {
        const bool right = answer.text == expected_text(model, prompt, answer_tokens);
        ++(right ? counts_.served : counts_.wrong_text);
        served_ = counts_.served;
        return;
    }
    counts_.truncated += answer.status == 200 ? 1 : 0;
    ++counts_.failures_by_code[answer.error.empty() ? "connection" : answer.error];
}

void background_traffic::send_booking(int caller, int turn)
{
    const std::string key = "load-" + std::to_string(caller) + "-" + std::to_string(turn);
    const http_response answer =
        deployment_.send_booking_request(daemon_for(caller, turn), key);
    const std::string verdict = answer.status == 0 ? "may_have_run" : answer.verdict();
    const std::lock_guard lock(mutex_);
    ++counts_.sent;
    counts_.bookings_by_verdict[verdict].push_back(key);
    if (verdict == "completed")
        ++counts_.served;
    else
        ++counts_
              .failures_by_code[answer.status == 0 ? "connection" : answer.error_code()];
}

int count_guarantee_violations(const fleet& deployment, const traffic_counts& counts)
{
    const std::map<std::string, int> carried_out = deployment.booking_executions();
    int broken = 0;
    for (const auto& [key, times] : carried_out)
        broken += times > 1 ? 1 : 0;
    for (const auto& [verdict, keys] : counts.bookings_by_verdict)
    {
        for (const std::string& key : keys)
        {
            const bool done = carried_out.contains(key);
            broken += verdict == "completed" && !done ? 1 : 0;
            broken += verdict == "not_run" && done ? 1 : 0;
        }
    }
    return broken;
}

} // namespace pollenhaven::harness
