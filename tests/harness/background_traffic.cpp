#include "tests/harness/background_traffic.hpp"

#include <utility>

namespace pollenhaven::harness
{

namespace
{

constexpr int response_tokens = 20;
constexpr int requests_per_booking = 4;
constexpr std::chrono::milliseconds pause_between_requests{30};

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
        if (turn % requests_per_booking == 0)
            send_booking(caller, turn);
        else
            send_chat(caller, turn);
        std::this_thread::sleep_for(pause_between_requests);
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
    const stream_response response =
        stream_chat(deployment_.caller_address(daemon_for(caller, turn)), model, prompt,
                    response_tokens);
    const std::lock_guard lock(mutex_);
    ++counts_.sent;
    if (response.status == 200 && response.done)
    {
        const bool is_expected_text =
            response.text == expected_text(model, prompt, response_tokens);
        ++(is_expected_text ? counts_.served : counts_.wrong_text);
        served_ = counts_.served;
        return;
    }
    counts_.truncated += response.status == 200 ? 1 : 0;
    ++counts_.failures_by_code[response.error.empty() ? "connection" : response.error];
}

void background_traffic::send_booking(int caller, int turn)
{
    const std::string key = "load-" + std::to_string(caller) + "-" + std::to_string(turn);
    const http_response response =
        deployment_.send_booking_request(daemon_for(caller, turn), key);
    const std::string verdict =
        response.status == 0 ? "may_have_run" : response.verdict();
    const std::lock_guard lock(mutex_);
    ++counts_.sent;
    counts_.bookings_by_verdict[verdict].push_back(key);
    if (verdict == "completed")
        ++counts_.served;
    else
        ++counts_.failures_by_code[response.status == 0 ? "connection"
                                                        : response.error_code()];
}

int count_guarantee_violations(const fleet& deployment, const traffic_counts& counts)
{
    const std::map<std::string, int> executions = deployment.booking_executions();
    int violations = 0;
    for (const auto& [key, execution_count] : executions)
        violations += execution_count > 1 ? 1 : 0;
    for (const auto& [verdict, keys] : counts.bookings_by_verdict)
    {
        for (const std::string& key : keys)
        {
            const bool executed = executions.contains(key);
            violations += verdict == "completed" && !executed ? 1 : 0;
            violations += verdict == "not_run" && executed ? 1 : 0;
        }
    }
    return violations;
}

} // namespace pollenhaven::harness
