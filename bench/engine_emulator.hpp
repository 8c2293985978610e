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

// Emulates an engine from its published figures: continuous batching in steps, chunked
// prefill, a fixed number of adapter slots, and adapter loads from the weight store or,
// if the adapter was loaded before, from the engine's host memory.
class engine_emulator
{
public:
    // Called when an event of a request's stream was generated. `last` is true for the
    // final event.
    using event_function = std::function<void(int request, bool last, instant at)>;

    engine_emulator(const deployment_profile& deployment, weight_store& store,
                    event_function event);

    // Queues a request. Returns false, and runs nothing, if its adapter isn't loaded.
    bool submit(int number, const emulated_request& request, instant now);
    // Removes a request from the queue or the batch.
    void cancel(int number);
    // Starts to load an adapter. Returns false if four loads are in progress, no slot is
    // free or the adapter already has a slot.
    bool load(const adapter_id& adapter, instant now);
    // Frees an adapter's slot. Returns false if it has none or a request uses the
    // adapter.
    bool unload(const adapter_id& adapter);
    // True for an empty id, which stands for the base model.
    bool is_loaded(const adapter_id& adapter, instant now);
    // Treats every adapter as loaded from now on; for the upper bound variant.
    void assume_all_adapters_loaded() { all_adapters_loaded_ = true; }
    // Completes the current step if it ends by `now`, and starts the next one if there
    // are requests. Returns when the step in progress ends; none if the engine is idle.
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

    struct adapter_slot
    {
        // The fetch from the weight store; 0 if the adapter is loaded from host memory.
        std::uint64_t fetch = 0;
        // When a load from host memory completes.
        instant ready_at{};
    };

    void finish_step(instant now);
    instant begin_step(instant now);

    const deployment_profile& profile_;
    weight_store& store_;
    event_function event_handler_;
    bool all_adapters_loaded_ = false;
    std::deque<running_request> waiting_;
    std::vector<running_request> batch_;
    std::map<adapter_id, adapter_slot> adapters_;
    std::set<adapter_id> previously_loaded_;
    std::optional<instant> step_ends_;
    // Requests in the batch that generate a token in the current step.
    std::set<int> generating_;
    int store_loads_ = 0;
    std::uint64_t accepted_orders_ = 0;
};

} // namespace pollenhaven::bench

#endif
