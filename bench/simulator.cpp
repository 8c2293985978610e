#include "bench/simulator.hpp"

#include "policy/adapter_slots.hpp"

#include <algorithm>
#include <deque>
#include <queue>
#include <utility>
#include <variant>

namespace pollenhaven::bench
{

namespace
{

// How old the state of engines is on which entry daemons decide.
constexpr milliseconds digest_age{250};
constexpr milliseconds tick_interval{50};
constexpr milliseconds unload_time{5};
// Requests whose deadline passes before they start are refused.
constexpr seconds request_deadline{120};

struct arrival_event
{
    std::size_t request;
};
struct step_event
{
    std::size_t engine;
};
struct load_ended_event
{
    std::size_t engine;
    model_ref adapter;
    int start;
};
struct unload_ended_event
{
    std::size_t engine;
    model_ref adapter;
    int start;
};
struct tick_event
{
};
struct digest_event
{
};
struct restart_event
{
};
using event_body =
    std::variant<arrival_event, step_event, load_ended_event, unload_ended_event,
                 tick_event, digest_event, restart_event>;

struct timed_event
{
    instant at;
    std::uint64_t order;
    event_body body;
};

struct later
{
    bool operator()(const timed_event& left, const timed_event& right) const
    {
        return left.at != right.at ? left.at > right.at : left.order > right.order;
    }
};

struct running_request
{
    std::size_t request;
    int tokens_left;
    bool started = false;
};

struct fake_engine
{
    endpoint_scheduler scheduler;
    std::vector<running_request> running;
    bool stepping = false;
    int start = 0;
    placement_candidate digest;
    std::map<partner_id, int> digest_queued;
    std::map<model_ref, residency> digest_adapters;
};

// The weight store: a rate limit, and loads that slow down beyond a number in flight.
struct fake_store
{
    store_limits limits;
    instant next_start{};
    std::deque<instant> ends;

    instant end_of_load(instant now)
    {
        while (!ends.empty() && ends.front() <= now)
            ends.pop_front();
        const auto spacing = std::chrono::duration_cast<microseconds>(
            std::chrono::duration<double>(1.0 / limits.loads_per_second));
        const instant start = std::max(now, next_start - (limits.burst - 1) * spacing);
        next_start = std::max(next_start, now) + spacing;
        const auto in_flight = static_cast<int>(ends.size()) + 1;
        const int slowdown =
            (in_flight + limits.max_in_flight - 1) / limits.max_in_flight;
        const instant end = start + limits.load_time * slowdown;
        ends.insert(std::upper_bound(ends.begin(), ends.end(), end), end);
        return end;
    }
};

class simulation
{
public:
    simulation(const deployment_sizes& sizes, const workload_options& options,
               const std::vector<workload_request>& load, const variant& deciding,
               const std::map<partner_id, double>& weights)
        : sizes_(sizes), options_(options), load_(load), deciding_(deciding)
    {
        shares_.weights = weights;
        store_.limits = sizes.store;
        budget_.limits = sizes.store;
        result_.requests.resize(load.size());
        ready_at_.resize(load.size());
        for (int i = 0; i < sizes.engines; ++i)
        {
            fake_engine engine;
            engine.scheduler.endpoint = {"engine-" + std::to_string(i)};
            engine.scheduler.slots = sizes.slots;
            engine.scheduler.max_batch = sizes.max_batch;
            engine.scheduler.settings.max_queue = 100000;
            engine.scheduler.reconciled = true;
            engines_.push_back(std::move(engine));
        }
    }

    simulation_result run()
    {
        for (std::size_t i = 0; i < load_.size(); ++i)
            schedule(load_[i].at, arrival_event{i});
        schedule(instant{tick_interval}, tick_event{});
        schedule(instant{}, digest_event{});
        if (options_.kind == "restart")
            schedule(instant{options_.event_at}, restart_event{});
        while (!events_.empty())
        {
            const timed_event next = events_.top();
            events_.pop();
            now_ = next.at;
            std::visit([this](const auto& body) { handle(body); }, next.body);
        }
        return std::move(result_);
    }

private:
    void schedule(instant at, const event_body& body)
    {
        events_.push({at, ++order_, body});
    }

    bool work_left() const
    {
        return arrived_ < load_.size() ||
               std::any_of(engines_.begin(), engines_.end(),
                           [](const fake_engine& engine) {
                               return !engine.running.empty() ||
                                      !engine.scheduler.queue.empty();
                           });
    }

    void handle(const arrival_event& arrival)
    {
        ++arrived_;
        const workload_request& wanted = load_[arrival.request];
        request_record& record = result_.requests[arrival.request];
        record.arrived = now_;
        record.priority = wanted.priority;
        record.partner = wanted.partner;
        std::vector<placement_candidate> candidates;
        for (const fake_engine& engine : engines_)
        {
            placement_candidate candidate = engine.digest;
            candidate.queued =
                requests_ahead(shares_, engine.digest_queued, wanted.partner);
            const auto adapter = engine.digest_adapters.find(wanted.model);
            if (adapter != engine.digest_adapters.end())
                candidate.state = adapter->second;
            candidates.push_back(candidate);
        }
        const std::optional<endpoint_id> chosen =
            deciding_.choose(wanted.model, wanted.priority, candidates);
        if (!chosen)
        {
            record.refused = true;
            return;
        }
        const std::size_t number =
            std::stoul(chosen->value.substr(chosen->value.find('-') + 1));
        fake_engine& engine = engines_[number];
        // Counted until the next digest, as entry daemons do.
        const bool loads =
            engine.digest_adapters.emplace(wanted.model, residency::loading).second;
        engine.digest.loading += loads ? 1 : 0;
        ++(loads ? engine.digest.stalled : engine.digest_queued[wanted.partner]);
        queued_request queued;
        queued.id = {std::to_string(arrival.request)};
        queued.model = wanted.model;
        queued.partner = wanted.partner;
        queued.priority = wanted.priority;
        queued.tokens = {static_cast<std::uint64_t>(wanted.tokens)};
        queued.arrived = now_;
        queued.start_by = now_ + patience_for(wanted.priority, request_deadline, {});
        carry_out(number, deciding_.on_request(engine.scheduler, shares_, queued, now_));
    }

    void handle(const step_event& step)
    {
        fake_engine& engine = engines_[step.engine];
        engine.stepping = false;
        if (engine.running.empty())
            return;
        if (counts(now_))
        {
            result_.busy_steps += 1;
            result_.tokens += static_cast<double>(engine.running.size());
        }
        std::vector<std::size_t> finished;
        for (running_request& running : engine.running)
        {
            request_record& record = result_.requests[running.request];
            if (!running.started)
            {
                running.started = true;
                record.first_token_s = to_seconds(now_ - record.arrived);
            }
            if (counts(now_))
                result_.served[record.partner] += 1;
            if (--running.tokens_left == 0)
                finished.push_back(running.request);
        }
        std::erase_if(engine.running, [](const running_request& running)
                      { return running.tokens_left == 0; });
        for (const std::size_t request : finished)
        {
            result_.requests[request].finished = true;
            carry_out(step.engine,
                      deciding_.on_finished(engine.scheduler, shares_,
                                            {std::to_string(request)}, now_));
        }
        start_stepping(step.engine);
    }

    void handle(const load_ended_event& ended)
    {
        end_load(budget_, permit_id(ended.engine, ended.adapter));
        if (engines_[ended.engine].start != ended.start)
            return;
        if (counts(now_))
            ++result_.loads;
        // Those who waited for this adapter here were stalled until now.
        for (const queued_request& waiting : engines_[ended.engine].scheduler.queue)
        {
            if (waiting.model == ended.adapter)
                ready_at_[std::stoul(waiting.id.value)] = now_;
        }
        carry_out(ended.engine,
                  deciding_.on_load_ended(engines_[ended.engine].scheduler, shares_,
                                          ended.adapter, true, now_));
    }

    void handle(const unload_ended_event& ended)
    {
        if (engines_[ended.engine].start != ended.start)
            return;
        carry_out(ended.engine,
                  deciding_.on_unload_ended(engines_[ended.engine].scheduler, shares_,
                                            ended.adapter, true, now_));
    }

    void handle(const tick_event&)
    {
        for (std::size_t i = 0; i < engines_.size(); ++i)
            carry_out(i, deciding_.on_tick(engines_[i].scheduler, shares_, now_));
        grant();
        if (work_left())
            schedule(now_ + tick_interval, tick_event{});
    }

    void handle(const digest_event&)
    {
        for (fake_engine& engine : engines_)
        {
            const endpoint_scheduler& scheduler = engine.scheduler;
            engine.digest.endpoint = scheduler.endpoint;
            engine.digest.stalled = stalled_requests(scheduler);
            engine.digest_queued = queued_by_partner(scheduler);
            engine.digest.victim_heat = next_victim_heat(scheduler, now_);
            engine.digest.loading = loading_adapters(scheduler);
            engine.digest.running = static_cast<int>(scheduler.running.size());
            engine.digest.max_batch = scheduler.max_batch;
            engine.digest.busy_slots = busy_slots(scheduler);
            engine.digest.slots = scheduler.slots;
            engine.digest_adapters.clear();
            for (const auto& [adapter, slot] : scheduler.residents)
            {
                if (slot.state != slot_state::unloading)
                    engine.digest_adapters[adapter] = slot.state == slot_state::ready
                                                          ? residency::resident
                                                          : residency::loading;
            }
        }
        if (work_left())
            schedule(now_ + digest_age, digest_event{});
    }

    // The first engine restarts empty. What ran there is sent again, as callers do.
    void handle(const restart_event&)
    {
        fake_engine& engine = engines_.front();
        ++engine.start;
        const std::vector<running_request> broken = std::exchange(engine.running, {});
        carry_out(0, deciding_.on_restarted(engine.scheduler, shares_, now_));
        for (const running_request& running : broken)
            schedule(now_, arrival_event{running.request});
        arrived_ -= broken.size();
    }

    std::string permit_id(std::size_t engine, const model_ref& adapter) const
    {
        return std::to_string(engine) + "/" + adapter.value;
    }

    void grant()
    {
        for (const std::string& id : grant_permits(budget_, now_))
        {
            const std::size_t slash = id.find('/');
            const std::size_t engine = std::stoul(id.substr(0, slash));
            carry_out(engine, deciding_.on_permit(engines_[engine].scheduler, shares_,
                                                  {id.substr(slash + 1)}, now_));
        }
    }

    void carry_out(std::size_t engine, const scheduler_actions& actions)
    {
        for (const scheduler_action& action : actions)
            std::visit([&](const auto& single) { carry_out(engine, single); }, action);
    }

    void carry_out(std::size_t engine, const dispatch_action& action)
    {
        const std::size_t request = std::stoul(action.request.id.value);
        request_record& record = result_.requests[request];
        const instant ready = ready_at_[request];
        record.load_stall_s =
            ready > record.arrived ? to_seconds(ready - record.arrived) : 0;
        engines_[engine].running.push_back({request, load_[request].tokens, false});
        start_stepping(engine);
    }

    void carry_out(std::size_t engine, const ask_permit_action& action)
    {
        ask_permit(budget_, {permit_id(engine, action.adapter), action.priority, now_});
        grant();
    }

    void carry_out(std::size_t engine, const withdraw_permit_action& action)
    {
        end_load(budget_, permit_id(engine, action.adapter));
    }

    void carry_out(std::size_t engine, const load_action& action)
    {
        const instant end = store_.end_of_load(now_);
        schedule(end, load_ended_event{engine, action.adapter, engines_[engine].start});
    }

    void carry_out(std::size_t engine, const unload_action& action)
    {
        schedule(now_ + unload_time,
                 unload_ended_event{engine, action.adapter, engines_[engine].start});
    }

    void carry_out(std::size_t, const reject_action& action)
    {
        result_.requests[std::stoul(action.request.id.value)].refused = true;
    }

    void start_stepping(std::size_t number)
    {
        fake_engine& engine = engines_[number];
        if (engine.stepping || engine.running.empty())
            return;
        engine.stepping = true;
        schedule(now_ + sizes_.step, step_event{number});
    }

    bool counts(instant at) const
    {
        return at >= instant{options_.warm_up} && at < instant{options_.length};
    }

    const deployment_sizes& sizes_;
    const workload_options& options_;
    const std::vector<workload_request>& load_;
    const variant& deciding_;
    fair_share shares_;
    fake_store store_;
    store_budget budget_;
    std::vector<fake_engine> engines_;
    std::vector<instant> ready_at_;
    std::priority_queue<timed_event, std::vector<timed_event>, later> events_;
    std::uint64_t order_ = 0;
    std::size_t arrived_ = 0;
    instant now_{};
    simulation_result result_;
};

} // namespace

simulation_result simulate(const deployment_sizes& sizes, const workload_options& options,
                           const std::vector<workload_request>& load,
                           const variant& deciding,
                           const std::map<partner_id, double>& weights)
{
    return simulation(sizes, options, load, deciding, weights).run();
}

} // namespace pollenhaven::bench
