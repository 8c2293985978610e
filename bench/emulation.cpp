#include "bench/emulation.hpp"

#include <algorithm>
#include <cmath>

namespace pollenhaven::bench
{

namespace
{

// A caller disconnects if the first token doesn't arrive within two seconds or four times
// the target latency, whichever is longer.
constexpr milliseconds min_abandonment_time{2000};
constexpr int abandonment_latency_factor = 4;

milliseconds abandonment_time(const traffic_class& kind)
{
    return std::max(min_abandonment_time,
                    kind.target_latency * abandonment_latency_factor);
}

} // namespace

emulation::emulation(const deployment_profile& deployment,
                     const std::vector<emulated_request>& workload)
    : profile_(deployment), workload_(workload),
      store_(deployment.store_load, deployment.loads_at_full_speed),
      next_step_(static_cast<std::size_t>(deployment.engines)), results_(workload.size()),
      finished_(workload.size()), assigned_engine_(workload.size(), -1),
      last_event_time_(workload.size()), unfinished_(workload.size())
{
    for (int engine = 0; engine < deployment.engines; ++engine)
        engines_.push_back(
            std::make_unique<engine_emulator>(deployment, store_,
                                              [this](int request, bool last, instant when)
                                              { on_event(request, last, when); }));
}

void emulation::schedule_at(instant when, std::function<void()> call)
{
    calls_.push({std::max(when, now_), ++last_sequence_, std::move(call)});
}

void emulation::schedule_after(milliseconds delay, std::function<void()> call)
{
    schedule_at(now_ + delay, std::move(call));
}

bool emulation::send(int request, int engine)
{
    const auto index = static_cast<std::size_t>(request);
    if (!engines_.at(static_cast<std::size_t>(engine))
             ->submit(request, workload_[index], now_))
    {
        ++turned_away_;
        return false;
    }
    assigned_engine_[index] = engine;
    run_engine(engine);
    return true;
}

void emulation::run_engine(int engine)
{
    const auto index = static_cast<std::size_t>(engine);
    const std::optional<instant> next = engines_[index]->step(now_);
    if (!next || next_step_[index] == *next)
        return;
    next_step_[index] = *next;
    schedule_at(*next, [this, engine] { run_engine(engine); });
}

void emulation::on_event(int request, bool last, instant when)
{
    const auto index = static_cast<std::size_t>(request);
    request_result& record = results_[index];
    if (!record.first_token)
    {
        record.first_token = to_milliseconds(when - workload_[index].at);
        first_token_handler(request);
    }
    else
        record.longest_pause = std::max(record.longest_pause,
                                        to_milliseconds(when - last_event_time_[index]));
    last_event_time_[index] = when;
    if (!last)
        return;
    record.completed = true;
    finish_request(request);
}

void emulation::on_abandoned(int request)
{
    const auto index = static_cast<std::size_t>(request);
    if (finished_[index] || results_[index].first_token)
        return;
    if (assigned_engine_[index] >= 0)
        engines_[static_cast<std::size_t>(assigned_engine_[index])]->cancel(request);
    finish_request(request);
}

void emulation::refuse(int request)
{
    results_[static_cast<std::size_t>(request)].refused = true;
    finish_request(request);
}

void emulation::finish_request(int request)
{
    const auto index = static_cast<std::size_t>(request);
    if (finished_[index])
        return;
    finished_[index] = true;
    --unfinished_;
    results_[index].credit = credit_of(request);
    finished_handler(request);
}

double emulation::credit_of(int request) const
{
    const auto index = static_cast<std::size_t>(request);
    const request_result& record = results_[index];
    const traffic_class& kind = *workload_[index].kind;
    if (!record.completed)
        return 0;
    const bool on_time = *record.first_token <= kind.target_latency &&
                         record.longest_pause <= kind.max_pause;
    return on_time ? kind.on_time_credit : kind.late_credit;
}

emulation_result emulation::run()
{
    for (int request = 0; request < request_count(); ++request)
    {
        const auto index = static_cast<std::size_t>(request);
        schedule_at(workload_[index].at, [this, request] { arrival_handler(request); });
        schedule_at(workload_[index].at + abandonment_time(*workload_[index].kind),
                    [this, request] { on_abandoned(request); });
    }
    while (!calls_.empty() && unfinished_ > 0)
    {
        const scheduled_call next = calls_.top();
        calls_.pop();
        now_ = next.when;
        next.call();
    }
    return summary();
}

emulation_result emulation::summary() const
{
    emulation_result result;
    result.requests = results_;
    result.turned_away = turned_away_;
    double earned_credit = 0;
    double possible_credit = 0;
    int completed_count = 0;
    int paused_count = 0;
    std::vector<double> first_token_times;
    for (std::size_t index = 0; index < results_.size(); ++index)
    {
        const request_result& record = results_[index];
        const traffic_class& kind = *workload_[index].kind;
        earned_credit += record.credit;
        possible_credit += kind.on_time_credit;
        result.refused += record.refused ? 1 : 0;
        completed_count += record.completed ? 1 : 0;
        paused_count += record.completed && record.longest_pause > kind.max_pause ? 1 : 0;
        if (record.first_token)
            first_token_times.push_back(static_cast<double>(record.first_token->count()));
    }
    for (const std::unique_ptr<engine_emulator>& engine : engines_)
        result.store_loads += engine->store_loads();
    result.credit_share = possible_credit > 0 ? earned_credit / possible_credit : 0;
    result.paused_share =
        completed_count > 0 ? static_cast<double>(paused_count) / completed_count : 0;
    if (!first_token_times.empty())
    {
        std::sort(first_token_times.begin(), first_token_times.end());
        result.first_token_p95_ms =
            first_token_times[first_token_times.size() * 95 / 100];
    }
    return result;
}

} // namespace pollenhaven::bench
