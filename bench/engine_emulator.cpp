#include "bench/engine_emulator.hpp"

#include <algorithm>

namespace pollenhaven::bench
{

namespace
{

// Further load orders are rejected.
constexpr int max_concurrent_loads = 4;
constexpr double microseconds_per_millisecond = 1000;

} // namespace

engine_emulator::engine_emulator(const deployment_profile& deployment,
                                 weight_store& store, event_function event)
    : profile_(deployment), store_(store), event_handler_(std::move(event))
{
}

bool engine_emulator::is_loaded(const adapter_id& adapter, instant now)
{
    if (adapter.empty() || all_adapters_loaded_)
        return true;
    store_.advance(now);
    const auto found = adapters_.find(adapter);
    if (found == adapters_.end())
        return false;
    const adapter_slot& slot = found->second;
    return slot.fetch != 0 ? store_.is_complete(slot.fetch) : slot.ready_at <= now;
}

bool engine_emulator::submit(int number, const emulated_request& request, instant now)
{
    if (!is_loaded(request.adapter, now))
        return false;
    waiting_.push_back(
        {number, request.adapter, request.prompt_tokens, request.output_tokens, 1});
    return true;
}

void engine_emulator::cancel(int number)
{
    const auto has_number = [number](const running_request& running)
    { return running.number == number; };
    std::erase_if(waiting_, has_number);
    std::erase_if(batch_, has_number);
}

bool engine_emulator::load(const adapter_id& adapter, instant now)
{
    int loading = 0;
    for (const auto& [name, slot] : adapters_)
        loading += is_loaded(name, now) ? 0 : 1;
    if (loading >= max_concurrent_loads ||
        static_cast<int>(adapters_.size()) >= profile_.adapter_slots ||
        adapters_.contains(adapter))
        return false;
    ++accepted_orders_;
    adapter_slot& slot = adapters_[adapter];
    slot.ready_at = now + profile_.memory_load;
    if (previously_loaded_.insert(adapter).second)
    {
        slot.fetch = store_.start_fetch(now);
        ++store_loads_;
    }
    return true;
}

bool engine_emulator::unload(const adapter_id& adapter)
{
    const auto uses_adapter = [&](const running_request& running)
    { return running.adapter == adapter; };
    const bool in_use = std::any_of(batch_.begin(), batch_.end(), uses_adapter) ||
                        std::any_of(waiting_.begin(), waiting_.end(), uses_adapter);
    if (in_use || adapters_.erase(adapter) == 0)
        return false;
    ++accepted_orders_;
    return true;
}

engine_inventory engine_emulator::inventory(instant now)
{
    engine_inventory result;
    result.models = {{"base"}};
    result.accepted_orders = accepted_orders_;
    for (const auto& [adapter, slot] : adapters_)
        (is_loaded(adapter, now) ? result.adapters : result.loading)
            .push_back({adapter, {1}});
    return result;
}

void engine_emulator::finish_step(instant now)
{
    std::vector<int> completed;
    for (running_request& running : batch_)
    {
        if (!generating_.contains(running.number))
            continue;
        --running.remaining_output_tokens;
        const bool last = running.remaining_output_tokens <= 0;
        if (--running.tokens_until_event == 0 || last)
        {
            running.tokens_until_event = profile_.steps_per_event;
            event_handler_(running.number, last, now);
        }
        if (last)
            completed.push_back(running.number);
    }
    for (const int number : completed)
        cancel(number);
}

instant engine_emulator::begin_step(instant now)
{
    while (static_cast<int>(batch_.size()) < profile_.max_batch_size && !waiting_.empty())
    {
        batch_.push_back(waiting_.front());
        waiting_.pop_front();
    }
    generating_.clear();
    int chunk_left = profile_.prefill_chunk_tokens;
    for (running_request& running : batch_)
    {
        const int prefilled_tokens =
            std::min(running.remaining_prompt_tokens, chunk_left);
        running.remaining_prompt_tokens -= prefilled_tokens;
        chunk_left -= prefilled_tokens;
        if (running.remaining_prompt_tokens == 0)
            generating_.insert(running.number);
    }
    const int prefilled_tokens = profile_.prefill_chunk_tokens - chunk_left;
    const double step_length_ms =
        profile_.step_ms +
        profile_.step_ms_per_request * static_cast<double>(batch_.size()) +
        prefilled_tokens / profile_.prompt_tokens_per_ms;
    return now + microseconds(static_cast<long long>(step_length_ms *
                                                     microseconds_per_millisecond));
}

std::optional<instant> engine_emulator::step(instant now)
{
    if (step_ends_ && now >= *step_ends_)
    {
        finish_step(now);
        step_ends_.reset();
    }
    if (!step_ends_ && (!batch_.empty() || !waiting_.empty()))
        step_ends_ = begin_step(now);
    return step_ends_;
}

} // namespace pollenhaven::bench
