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

// Tells which requests each engine has, as a variant with one exact view sees it.
struct exact_view
{
    struct sent_request
    {
        int engine = 0;
        int unread = 0;
    };

    std::vector<int> running;
    std::vector<int> unread;
    std::map<int, sent_request> requests;

    explicit exact_view(const deployment_profile& where)
        : running(static_cast<std::size_t>(where.engines)),
          unread(static_cast<std::size_t>(where.engines))
    {
    }

    void sent(int request, int engine, int tokens)
    {
        requests[request] = {engine, tokens};
        running[static_cast<std::size_t>(engine)] += 1;
        unread[static_cast<std::size_t>(engine)] += tokens;
    }

    void read(int request)
    {
        sent_request& known = requests.at(request);
        unread[static_cast<std::size_t>(known.engine)] -= known.unread;
        known.unread = 0;
    }

    void ended(int request)
    {
        const auto found = requests.find(request);
        if (found == requests.end())
            return;
        read(request);
        running[static_cast<std::size_t>(found->second.engine)] -= 1;
        requests.erase(found);
    }
};

int lowest(const std::vector<int>& values)
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
        emulated.arrival_handler = [this](int request) { arrive(request); };
        emulated.first_token_handler = [this](int request) { view_.read(request); };
        emulated.end_handler = [this](int request) { view_.ended(request); };
    }

private:
    // How often it is looked whether a load is complete or a slot free.
    static constexpr milliseconds poll_interval{5};

    void arrive(int request)
    {
        const int engine = engine_for(emulated_.request(request).adapter);
        waiting_[engine].push_back(request);
        serve(engine);
    }

    // The least loaded engine that holds the adapter or was asked to, else the least
    // loaded of all.
    int engine_for(const adapter_id& adapter)
    {
        std::optional<int> best;
        for (int engine = 0; engine < emulated_.profile().engines; ++engine)
        {
            const bool holds = adapter.empty() || used_[engine].contains(adapter);
            if (holds && (!best || load_of(engine) < load_of(*best)))
                best = engine;
        }
        return best.value_or(lowest(view_.running));
    }

    int load_of(int engine) const
    {
        return view_.running[static_cast<std::size_t>(engine)];
    }

    void serve(int engine)
    {
        std::list<int>& waiting = waiting_[engine];
        for (auto at = waiting.begin(); at != waiting.end();)
        {
            const int request = *at;
            const emulated_request& asked = emulated_.request(request);
            const bool done = emulated_.is_request_finished(request) ||
                              try_send(request, engine, asked);
            at = done ? waiting.erase(at) : std::next(at);
        }
        if (!waiting.empty() && !polled_[engine])
        {
            polled_[engine] = true;
            emulated_.schedule_after(poll_interval,
                                     [this, engine]
                                     {
                                         polled_[engine] = false;
                                         serve(engine);
                                     });
        }
    }

    bool try_send(int request, int engine, const emulated_request& asked)
    {
        const instant now = emulated_.now();
        if (emulated_.engine(engine).is_loaded(asked.adapter, now))
        {
            used_[engine][asked.adapter] = now;
            view_.sent(request, engine, asked.prompt_tokens);
            return emulated_.send(request, engine);
        }
        if (!used_[engine].contains(asked.adapter))
            make_room_and_load(engine, asked.adapter, now);
        return false;
    }

    void make_room_and_load(int engine, const adapter_id& adapter, instant now)
    {
        if (emulated_.engine(engine).load(adapter, now))
        {
            used_[engine][adapter] = now;
            return;
        }
        std::map<adapter_id, instant>& used = used_[engine];
        if (static_cast<int>(used.size()) < emulated_.profile().adapter_slots)
            return;
        std::vector<std::pair<instant, adapter_id>> oldest;
        oldest.reserve(used.size());
        for (const auto& [name, at] : used)
            oldest.emplace_back(at, name);
        std::sort(oldest.begin(), oldest.end());
        for (const auto& [at, name] : oldest)
        {
            if (!emulated_.engine(engine).unload(name))
                continue;
            used.erase(name);
            if (emulated_.engine(engine).load(adapter, now))
                used[adapter] = now;
            return;
        }
    }

    emulation& emulated_;
    exact_view view_;
    std::map<int, std::list<int>> waiting_;
    std::map<int, std::map<adapter_id, instant>> used_;
    std::map<int, bool> polled_;
};

// Holds every adapter everywhere, sees everything at once and keeps prompts from
// stretching the steps. The newest request goes first, so that in an overload those that
// are served are on time.
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
            serve();
        };
        emulated.first_token_handler = [this](int request)
        {
            view_.read(request);
            serve_next();
        };
        emulated.end_handler = [this](int request)
        {
            view_.ended(request);
            waiting_.erase(request);
            serve_next();
        };
    }

private:
    // What an engine reads in two steps; a step more would still not be noticed.
    static constexpr int pieces_at_once = 2;

    // Not from within the step of an engine that has just made a token.
    void serve_next()
    {
        emulated_.schedule_after(milliseconds(0), [this] { serve(); });
    }

    std::optional<int> free_engine() const
    {
        const deployment_profile& where = emulated_.profile();
        std::optional<int> best;
        for (int engine = 0; engine < where.engines; ++engine)
        {
            const auto index = static_cast<std::size_t>(engine);
            if (view_.running[index] >= where.max_batch_size ||
                view_.unread[index] >= pieces_at_once * where.prefill_chunk_tokens)
                continue;
            if (!best ||
                view_.unread[index] < view_.unread[static_cast<std::size_t>(*best)])
                best = engine;
        }
        return best;
    }

    void serve()
    {
        while (!waiting_.empty())
        {
            const std::optional<int> engine = free_engine();
            if (!engine)
                return;
            const int request = *waiting_.rbegin();
            waiting_.erase(request);
            view_.sent(request, *engine, emulated_.request(request).prompt_tokens);
            emulated_.send(request, *engine);
        }
    }

    emulation& emulated_;
    exact_view view_;
    // In order of arrival.
    std::set<int> waiting_;
};

} // namespace

emulation_result emulate_product(const deployment_profile& where,
                                 const std::vector<emulated_request>& load)
{
    emulation emulated(where, load);
    product_daemons daemons(emulated);
    return emulated.run();
}

emulation_result emulate_naive(const deployment_profile& where,
                               const std::vector<emulated_request>& load)
{
    emulation emulated(where, load);
    naive_variant variant(emulated);
    return emulated.run();
}

emulation_result emulate_bound(const deployment_profile& where,
                               const std::vector<emulated_request>& load)
{
    emulation emulated(where, load);
    bound_variant variant(emulated);
    return emulated.run();
}

} // namespace pollenhaven::bench
