#include "bench/engine_emulator.hpp"

#include <algorithm>

namespace pollenhaven::bench
{

namespace
{

constexpr int loads_at_once = 4;
constexpr double microseconds_per_millisecond = 1000;

} // namespace

engine_emulator::engine_emulator(const deployment_profile& where, weight_store& store,
                                 event_function event)
    : profile_(where), store_(store), event_(std::move(event))
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
    const loaded_adapter& held = found->second;
    return held.fetch != 0 ? store_.is_complete(held.fetch) : held.ready_at <= now;
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
    const auto is_it = [number](const running_request& one)
    { return one.number == number; };
    std::erase_if(waiting_, is_it);
    std::erase_if(batch_, is_it);
}

bool engine_emulator::load(const adapter_id& adapter, instant now)
{
    int loading = 0;
    for (const auto& [name, held] : adapters_)
        loading += is_loaded(name, now) ? 0 : 1;
    if (loading >= loads_at_once ||
        static_cast<int>(adapters_.size()) >= profile_.adapter_slots ||
        adapters_.contains(adapter))
        return false;
    ++accepted_orders_;
    loaded_adapter& held = adapters_[adapter];
    held.ready_at = now + profile_.memory_load;
    if (previously_loaded_.insert(adapter).second)
    {
        held.fetch = store_.start_fetch(now);
        ++store_loads_;
    }
    return true;
}

bool engine_emulator::unload(const adapter_id& adapter)
{
    const auto uses = [&](const running_request& one) { return one.adapter == adapter; };
    const bool used = std::any_of(batch_.begin(), batch_.end(), uses) ||
                      std::any_of(waiting_.begin(), waiting_.end(), uses);
    if (used || adapters_.erase(adapter) == 0)
        return false;
    ++accepted_orders_;
    return true;
}

engine_inventory engine_emulator::inventory(instant now)
{
    engine_inventory result;
    result.models = {{"base"}};
    result.accepted_orders = accepted_orders_;
    for (const auto& [adapter, held] : adapters_)
        (is_loaded(adapter, now) ? result.adapters : result.loading)
            .push_back({adapter, {1}});
    return result;
}

void engine_emulator::finish_step(instant now)
{
    std::vector<int> ended;
    for (running_request& one : batch_)
    {
        if (!generating_.contains(one.number))
            continue;
        --one.remaining_output_tokens;
        const bool last = one.remaining_output_tokens <= 0;
        if (--one.tokens_until_event == 0 || last)
        {
            one.tokens_until_event = profile_.steps_per_event;
            event_(one.number, last, now);
        }
        if (last)
            ended.push_back(one.number);
    }
    for (const int number : ended)
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
    int piece = profile_.prefill_chunk_tokens;
    for (running_request& one : batch_)
    {
        const int read = std::min(one.remaining_prompt_tokens, piece);
        one.remaining_prompt_tokens -= read;
        piece -= read;
        if (one.remaining_prompt_tokens == 0)
            generating_.insert(one.number);
    }
    const int read = profile_.prefill_chunk_tokens - piece;
    const double length =
        profile_.step_ms +
        profile_.step_ms_per_request * static_cast<double>(batch_.size()) +
        read / profile_.prompt_tokens_per_ms;
    return now +
           microseconds(static_cast<long long>(length * microseconds_per_millisecond));
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
