#include "bench/variants.hpp"

#include "bench/product_daemons.hpp"

#include <algorithm>
#include <list>
#include <map>
#include <set>

namespace pollenhaven::bench
{

namespace
{

// Tracks the requests of every engine without delay, for variants with a global view.
struct exact_view
{
    struct sent_request
    {
        int engine = 0;
        int pending_prompt_tokens = 0;
    };

    std::vector<int> running;
    std::vector<int> pending_prompt_tokens;
    std::map<int, sent_request> requests;

    explicit exact_view(const deployment_profile& deployment)
        : running(static_cast<std::size_t>(deployment.engines)),
          pending_prompt_tokens(static_cast<std::size_t>(deployment.engines))
    {
    }

    void record_sent(int request, int engine, int tokens)
    {
        requests[request] = {engine, tokens};
        running[static_cast<std::size_t>(engine)] += 1;
        pending_prompt_tokens[static_cast<std::size_t>(engine)] += tokens;
    }

    void record_prefill_done(int request)
    {
        sent_request& sent = requests.at(request);
        pending_prompt_tokens[static_cast<std::size_t>(sent.engine)] -=
            sent.pending_prompt_tokens;
        sent.pending_prompt_tokens = 0;
    }

    void record_finished(int request)
    {
        const auto found = requests.find(request);
        if (found == requests.end())
            return;
        record_prefill_done(request);
        running[static_cast<std::size_t>(found->second.engine)] -= 1;
        requests.erase(found);
    }
};

int index_of_min(const std::vector<int>& values)
{
    return static_cast<int>(std::min_element(values.begin(), values.end()) -
                            values.begin());
}

class naive_variant
{
public:
    explicit naive_variant(emulation& emulated)
        : emulated_(emulated), view_(emulated.profile())
    {
        emulated.arrival_handler = [this](int request) { on_arrival(request); };
        emulated.first_token_handler = [this](int request)
        { view_.record_prefill_done(request); };
        emulated.finished_handler = [this](int request)
        { view_.record_finished(request); };
    }

private:
    // Interval of checks for completed loads and free slots.
    static constexpr milliseconds poll_interval{5};

    void on_arrival(int request)
    {
        const int engine = engine_for(emulated_.request(request).adapter);
        waiting_[engine].push_back(request);
        dispatch_waiting(engine);
    }

    // Returns the engine with the fewest requests among those that have the adapter or
    // are loading it, or among all engines if there are none.
    int engine_for(const adapter_id& adapter)
    {
        std::optional<int> best;
        for (int engine = 0; engine < emulated_.profile().engines; ++engine)
        {
            const bool has_adapter =
                adapter.empty() || last_used_[engine].contains(adapter);
            if (has_adapter && (!best || running_on(engine) < running_on(*best)))
                best = engine;
        }
        return best.value_or(index_of_min(view_.running));
    }

    int running_on(int engine) const
    {
        return view_.running[static_cast<std::size_t>(engine)];
    }

    void dispatch_waiting(int engine)
    {
        std::list<int>& waiting = waiting_[engine];
        for (auto at = waiting.begin(); at != waiting.end();)
        {
            const int request = *at;
            const emulated_request& details = emulated_.request(request);
            const bool is_done = emulated_.is_request_finished(request) ||
                                 try_send(request, engine, details);
            at = is_done ? waiting.erase(at) : std::next(at);
        }
        if (!waiting.empty() && !poll_scheduled_[engine])
        {
            poll_scheduled_[engine] = true;
            emulated_.schedule_after(poll_interval,
                                     [this, engine]
                                     {
                                         poll_scheduled_[engine] = false;
                                         dispatch_waiting(engine);
                                     });
        }
    }

    bool try_send(int request, int engine, const emulated_request& details)
    {
        const instant now = emulated_.now();
        if (emulated_.engine(engine).is_loaded(details.adapter, now))
        {
            last_used_[engine][details.adapter] = now;
            view_.record_sent(request, engine, details.prompt_tokens);
            return emulated_.send(request, engine);
        }
        if (!last_used_[engine].contains(details.adapter))
            make_room_and_load(engine, details.adapter, now);
        return false;
    }

    void make_room_and_load(int engine, const adapter_id& adapter, instant now)
    {
        if (emulated_.engine(engine).load(adapter, now))
        {
            last_used_[engine][adapter] = now;
            return;
        }
        std::map<adapter_id, instant>& last_used = last_used_[engine];
        if (static_cast<int>(last_used.size()) < emulated_.profile().adapter_slots)
            return;
        std::vector<std::pair<instant, adapter_id>> by_last_use;
        by_last_use.reserve(last_used.size());
        for (const auto& [name, at] : last_used)
            by_last_use.emplace_back(at, name);
        std::sort(by_last_use.begin(), by_last_use.end());
        for (const auto& [at, name] : by_last_use)
        {
            if (!emulated_.engine(engine).unload(name))
                continue;
            last_used.erase(name);
            if (emulated_.engine(engine).load(adapter, now))
                last_used[adapter] = now;
            return;
        }
    }

    emulation& emulated_;
    exact_view view_;
    std::map<int, std::list<int>> waiting_;
    std::map<int, std::map<adapter_id, instant>> last_used_;
    std::map<int, bool> poll_scheduled_;
};

// Upper bound: every engine has every adapter, the view is exact, and pending prompts are
// limited so that prefill doesn't lengthen the steps. The newest request is served first,
// so that under overload the served requests are on time.
class bound_variant
{
public:
    explicit bound_variant(emulation& emulated)
        : emulated_(emulated), view_(emulated.profile())
    {
        for (int engine = 0; engine < emulated.profile().engines; ++engine)
            emulated.engine(engine).assume_all_adapters_loaded();
        emulated.arrival_handler = [this](int request)
        {
            waiting_.insert(request);
            dispatch_waiting();
        };
        emulated.first_token_handler = [this](int request)
        {
            view_.record_prefill_done(request);
            dispatch_later();
        };
        emulated.finished_handler = [this](int request)
        {
            view_.record_finished(request);
            waiting_.erase(request);
            dispatch_later();
        };
    }

private:
    // Limit of an engine's pending prompt tokens, in prefill chunks. An engine prefills
    // one chunk in a step; even three would not lengthen the pauses between events
    // noticeably.
    static constexpr int max_pending_chunks = 2;

    // first_token_handler and finished_handler call this instead of dispatch_waiting(),
    // because they can be called during an engine's step and must not send.
    void dispatch_later()
    {
        emulated_.schedule_after(milliseconds(0), [this] { dispatch_waiting(); });
    }

    std::optional<int> free_engine() const
    {
        const deployment_profile& deployment = emulated_.profile();
        std::optional<int> best;
        for (int engine = 0; engine < deployment.engines; ++engine)
        {
            const auto index = static_cast<std::size_t>(engine);
            if (view_.running[index] >= deployment.max_batch_size ||
                view_.pending_prompt_tokens[index] >=
                    max_pending_chunks * deployment.prefill_chunk_tokens)
                continue;
            if (!best || view_.pending_prompt_tokens[index] <
                             view_.pending_prompt_tokens[static_cast<std::size_t>(*best)])
                best = engine;
        }
        return best;
    }

    void dispatch_waiting()
    {
        while (!waiting_.empty())
        {
            const std::optional<int> engine = free_engine();
            if (!engine)
                return;
            const int request = *waiting_.rbegin();
            waiting_.erase(request);
            view_.record_sent(request, *engine, emulated_.request(request).prompt_tokens);
            emulated_.send(request, *engine);
        }
    }

    emulation& emulated_;
    exact_view view_;
    // Waiting requests in order of arrival.
    std::set<int> waiting_;
};

} // namespace

emulation_result emulate_product(const deployment_profile& deployment,
                                 const std::vector<emulated_request>& workload)
{
    emulation emulated(deployment, workload);
    product_daemons daemons(emulated);
    return emulated.run();
}

emulation_result emulate_naive(const deployment_profile& deployment,
                               const std::vector<emulated_request>& workload)
{
    emulation emulated(deployment, workload);
    naive_variant variant(emulated);
    return emulated.run();
}

emulation_result emulate_bound(const deployment_profile& deployment,
                               const std::vector<emulated_request>& workload)
{
    emulation emulated(deployment, workload);
    bound_variant variant(emulated);
    return emulated.run();
}

} // namespace pollenhaven::bench
