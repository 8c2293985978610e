#include "bench/emulation.hpp"

#include <algorithm>
#include <cmath>

namespace pollenhaven::bench
{

namespace
{

// Callers leave a stream after a gap of two seconds or four times the aim.
constexpr milliseconds shortest_abandonment{2000};
constexpr int abandonment_factor = 4;

milliseconds abandoned_after(const traffic_class& kind)
{
    return std::max(shortest_abandonment, kind.target_latency * abandonment_factor);
}

} // namespace

emulation::emulation(const deployment_profile& where,
                     const std::vector<emulated_request>& load)
    : profile_(where), load_(load), store_(where.store_load, where.loads_at_full_speed),
      next_step_(static_cast<std::size_t>(where.engines)), records_(load.size()),
      finished_(load.size()), assigned_engine_(load.size(), -1),
      last_event_time_(load.size()), unfinished_(load.size())
{
    for (int engine = 0; engine < where.engines; ++engine)
        engines_.push_back(
            std::make_unique<engine_emulator>(where, store_,
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
             ->submit(request, load_[index], now_))
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
    request_result& record = records_[index];
    if (!record.first_token)
    {
        record.first_token = to_milliseconds(when - load_[index].at);
        first_token_handler(request);
    }
    else
        record.longest_pause = std::max(record.longest_pause,
                                        to_milliseconds(when - last_event_time_[index]));
    last_event_time_[index] = when;
    if (!last)
        return;
    record.completed = true;
    end(request);
}

void emulation::on_abandoned(int request)
{
    const auto index = static_cast<std::size_t>(request);
    if (finished_[index] || records_[index].first_token)
        return;
    if (assigned_engine_[index] >= 0)
        engines_[static_cast<std::size_t>(assigned_engine_[index])]->cancel(request);
    end(request);
}

void emulation::refuse(int request)
{
    records_[static_cast<std::size_t>(request)].refused = true;
    end(request);
}

void emulation::end(int request)
{
    const auto index = static_cast<std::size_t>(request);
    if (finished_[index])
        return;
    finished_[index] = true;
    --unfinished_;
    records_[index].credit = credit_of(request);
    end_handler(request);
}

double emulation::credit_of(int request) const
{
    const auto index = static_cast<std::size_t>(request);
    const request_result& record = records_[index];
    const traffic_class& kind = *load_[index].kind;
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
        schedule_at(load_[index].at, [this, request] { arrival_handler(request); });
        schedule_at(load_[index].at + abandoned_after(*load_[index].kind),
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
    result.requests = records_;
    result.turned_away = turned_away_;
    double earned = 0;
    double owed = 0;
    int whole = 0;
    int paused = 0;
    std::vector<double> first;
    for (std::size_t index = 0; index < records_.size(); ++index)
    {
        const request_result& record = records_[index];
        const traffic_class& kind = *load_[index].kind;
        earned += record.credit;
        owed += kind.on_time_credit;
        result.refused += record.refused ? 1 : 0;
        whole += record.completed ? 1 : 0;
        paused += record.completed && record.longest_pause > kind.max_pause ? 1 : 0;
        if (record.first_token)
            first.push_back(static_cast<double>(record.first_token->count()));
    }
    for (const std::unique_ptr<engine_emulator>& engine : engines_)
        result.store_loads += engine->store_loads();
    result.credit_share = owed > 0 ? earned / owed : 0;
    result.paused_share = whole > 0 ? static_cast<double>(paused) / whole : 0;
    if (!first.empty())
    {
        std::sort(first.begin(), first.end());
        result.first_token_p95_ms = first[first.size() * 95 / 100];
    }
    return result;
}

} // namespace pollenhaven::bench
