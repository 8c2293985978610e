#ifndef POLLENHAVEN_BENCH_ENGINE_EMULATOR_HPP
#define POLLENHAVEN_BENCH_ENGINE_EMULATOR_HPP

#include "bench/weight_store.hpp"
#include "bench/workload.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace pollenhaven::bench
{

// An engine as its makers publish it: batching by steps, prompts read in pieces between
// the steps, adapter slots, loads from the store or from its own memory.
class engine_emulator
{
public:
    // `event` is called with a request's number when one of its events is made, and
    // whether it was the last.
    using event_function = std::function<void(int request, bool last, instant at)>;

    engine_emulator(const deployment_profile& where, weight_store& store,
                    event_function event);

    // Takes a request. False if its adapter isn't there, and then nothing runs.
    bool submit(int number, const emulated_request& request, instant now);
    // The caller left; the engine drops the request.
    void cancel(int number);
    // Starts a load. False if four are under way or no slot is free.
    bool load(const adapter_id& adapter, instant now);
    bool unload(const adapter_id& adapter);
    bool is_loaded(const adapter_id& adapter, instant now);
    // Holds any adapter at once; for the bound that knows the future.
    void assume_all_adapters_loaded() { all_adapters_loaded_ = true; }
    // Runs the step that ends at this moment, if any. Returns when the next one ends.
    std::optional<instant> step(instant now);
    engine_inventory inventory(instant now);
    int store_loads() const { return store_loads_; }

private:
    struct running_request
    {
        int number = 0;
        adapter_id adapter;
        int remaining_prompt_tokens = 0;
        int remaining_output_tokens = 0;
        int tokens_until_event = 1;
    };

    struct loaded_adapter
    {
        std::uint64_t fetch = 0;
        instant ready_at{};
    };

    void finish_step(instant now);
    instant begin_step(instant now);

    const deployment_profile& profile_;
    weight_store& store_;
    event_function event_;
    bool all_adapters_loaded_ = false;
    std::deque<running_request> waiting_;
    std::vector<running_request> batch_;
    std::map<adapter_id, loaded_adapter> adapters_;
    std::set<adapter_id> previously_loaded_;
    std::optional<instant> step_ends_;
    // Requests in the batch that make a token in the step under way.
    std::set<int> generating_;
    int store_loads_ = 0;
    std::uint64_t accepted_orders_ = 0;
};

} // namespace pollenhaven::bench

#endif
