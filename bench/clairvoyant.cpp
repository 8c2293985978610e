#include "bench/clairvoyant.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace pollenhaven::bench
{

namespace
{

class pool
{
public:
    pool(const deployment_sizes& sizes, const workload_options& options,
         const std::vector<workload_request>& load)
        : sizes_(sizes), options_(options), load_(load),
          capacity_(static_cast<std::size_t>(sizes.engines * sizes.slots))
    {
        for (std::size_t i = 0; i < load.size(); ++i)
            uses_[load[i].model].push_back(i);
        result_.requests.resize(load.size());
    }

    simulation_result run()
    {
        for (std::size_t i = 0; i < load_.size(); ++i)
        {
            start_loads_until(load_[i].at);
            arrive(i);
        }
        start_loads_until(instant::max());
        return std::move(result_);
    }

private:
    struct waiting_load
    {
        model_ref model;
        instant asked;
    };

    void arrive(std::size_t number)
    {
        const workload_request& wanted = load_[number];
        request_record& record = result_.requests[number];
        record.arrived = wanted.at;
        record.priority = wanted.priority;
        record.partner = wanted.partner;
        record.finished = true;
        uses_[wanted.model].pop_front();
        const auto resident = ready_at_.find(wanted.model);
        if (resident != ready_at_.end())
        {
            finish(number, std::max(wanted.at, resident->second));
            return;
        }
        std::vector<std::size_t>& waiters = waiters_[wanted.model];
        waiters.push_back(number);
        if (waiters.size() > 1)
            return;
        const bool waits = wanted.priority == work_class::interactive;
        (waits ? interactive_ : overnight_).push_back({wanted.model, wanted.at});
    }

    void finish(std::size_t number, instant ready)
    {
        request_record& record = result_.requests[number];
        record.load_stall_s = to_seconds(ready - record.arrived);
        record.first_token_s = record.load_stall_s + to_seconds(sizes_.step);
    }

    // Starts every load that the store lets start before the given moment.
    void start_loads_until(instant until)
    {
        const auto spacing = std::chrono::duration_cast<microseconds>(
            std::chrono::duration<double>(1.0 / sizes_.store.loads_per_second));
        for (;;)
        {
            std::deque<waiting_load>& queue =
                interactive_.empty() ? overnight_ : interactive_;
            if (queue.empty())
                return;
            const instant asked = queue.front().asked;
            const instant start =
                std::max(asked, next_start_ - (sizes_.store.burst - 1) * spacing);
            if (start > until)
                return;
            const model_ref model = queue.front().model;
            queue.pop_front();
            next_start_ = std::max(next_start_, start) + spacing;
            load(model, start + sizes_.store.load_time);
        }
    }

    void load(const model_ref& model, instant ready)
    {
        if (ready_at_.size() >= capacity_)
            ready_at_.erase(farthest_next_use());
        ready_at_[model] = ready;
        if (ready >= instant{options_.warm_up} && ready < instant{options_.length})
            ++result_.loads;
        for (const std::size_t waiter : waiters_[model])
            finish(waiter, ready);
        waiters_.erase(model);
    }

    model_ref farthest_next_use() const
    {
        model_ref farthest;
        std::size_t farthest_use = 0;
        for (const auto& [model, ready] : ready_at_)
        {
            const std::deque<std::size_t>& uses = uses_.at(model);
            if (uses.empty())
                return model;
            if (!farthest.empty() && uses.front() <= farthest_use)
                continue;
            farthest = model;
            farthest_use = uses.front();
        }
        return farthest;
    }

    const deployment_sizes& sizes_;
    const workload_options& options_;
    const std::vector<workload_request>& load_;
    std::size_t capacity_;
    std::map<model_ref, std::deque<std::size_t>> uses_;
    std::map<model_ref, instant> ready_at_;
    std::map<model_ref, std::vector<std::size_t>> waiters_;
    std::deque<waiting_load> interactive_;
    std::deque<waiting_load> overnight_;
    instant next_start_{};
    simulation_result result_;
};

} // namespace

simulation_result simulate_clairvoyant(const deployment_sizes& sizes,
                                       const workload_options& options,
                                       const std::vector<workload_request>& load)
{
    return pool(sizes, options, load).run();
}

} // namespace pollenhaven::bench
