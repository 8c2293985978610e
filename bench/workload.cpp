#include "bench/workload.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace pollenhaven::bench
{

namespace
{

// Share of the requests that use an adapter; the others run on the base model.
constexpr double adapter_share = 0.95;

int draw_token_count(std::mt19937_64& random, double mean, double spread, int max_tokens)
{
    // `mean` is the mean of the log-normal distribution itself, not of its logarithm.
    std::lognormal_distribution<double> length(std::log(mean) - spread * spread / 2,
                                               spread);
    return std::clamp(static_cast<int>(length(random)), 1, max_tokens);
}

// Sets the figures that the grown deployments have in common.
void apply_grown_sizes(deployment_profile& profile)
{
    profile.engines = 90;
    profile.max_batch_size = 16;
    profile.adapter_slots = 11;
    profile.adapters = 10000;
    profile.store_load = milliseconds(288);
    profile.memory_load = milliseconds(29);
    profile.loads_at_full_speed = 64;
    for (traffic_class& kind : profile.traffic_classes)
        kind.max_pause = milliseconds(300);
}

} // namespace

deployment_profile suva()
{
    deployment_profile result;
    result.name = "suva";
    traffic_class chat;
    chat.name = "chat-live";
    chat.rate = 43;
    chat.on_time_credit = 2.2;
    chat.late_credit = 0.65;
    traffic_class queued = chat;
    queued.name = "chat-queued";
    queued.rate = 6;
    queued.target_latency = milliseconds(1000);
    traffic_class notes;
    notes.name = "ward-notes";
    notes.rate = 9.2;
    notes.on_time_credit = 0.82;
    notes.late_credit = 0.25;
    notes.urgency = 2;
    notes.target_latency = milliseconds(800);
    notes.deadline = milliseconds(3000);
    notes.prompt_tokens = 1800;
    notes.prompt_spread = 1.3;
    notes.max_prompt_tokens = 6870;
    notes.output_tokens = 22;
    notes.max_output_tokens = 90;
    result.traffic_classes = {chat, queued, notes};
    return result;
}

deployment_profile kitamura()
{
    deployment_profile result;
    result.name = "kitamura";
    result.max_batch_size = 128;
    result.adapter_slots = 36;
    result.popularity_skew = 1.3;
    result.step_ms = 4.73;
    result.step_ms_per_request = 0.0138;
    result.prompt_tokens_per_ms = 38.4;
    traffic_class query;
    query.name = "row-query";
    query.rate = 50;
    query.on_time_credit = 1.9;
    query.late_credit = 0.58;
    query.urgency = 1;
    query.max_pause = milliseconds(300);
    traffic_class digest = query;
    digest.name = "shift-digest";
    digest.rate = 7;
    digest.on_time_credit = 2.9;
    digest.late_credit = 0.87;
    digest.urgency = 0;
    digest.target_latency = milliseconds(1000);
    digest.deadline = milliseconds(20000);
    result.traffic_classes = {query, digest};
    return result;
}

deployment_profile suva_grown()
{
    deployment_profile result = suva();
    result.name = "suva-grown";
    apply_grown_sizes(result);
    result.daemons = 81;
    result.steps_per_event = 8;
    traffic_class& chat = result.traffic_classes[0];
    chat.rate = 306;
    chat.on_time_credit = 1.4;
    chat.late_credit = 0.41;
    chat.deadline = milliseconds(12000);
    traffic_class& queued = result.traffic_classes[1];
    queued.rate = 42.5;
    queued.on_time_credit = 2.7;
    queued.late_credit = 0.82;
    traffic_class& notes = result.traffic_classes[2];
    notes.rate = 140;
    notes.on_time_credit = 2.4;
    notes.late_credit = 0.73;
    return result;
}

deployment_profile kitamura_grown()
{
    deployment_profile result = kitamura();
    result.name = "kitamura-grown";
    apply_grown_sizes(result);
    result.daemons = 61;
    result.steps_per_event = 9;
    traffic_class& query = result.traffic_classes[0];
    query.rate = 347;
    query.on_time_credit = 1.8;
    query.late_credit = 0.55;
    query.deadline = milliseconds(10000);
    traffic_class& digest = result.traffic_classes[1];
    digest.rate = 48.1;
    digest.urgency = 1;
    digest.on_time_credit = 1.8;
    digest.late_credit = 0.55;
    digest.deadline = milliseconds(12000);
    traffic_class report = suva().traffic_classes[2];
    report.name = "season-report";
    report.rate = 137;
    report.urgency = 0;
    report.max_pause = milliseconds(300);
    report.on_time_credit = 1.9;
    report.late_credit = 0.56;
    result.traffic_classes.push_back(report);
    return result;
}

std::vector<emulated_request> make_workload(const deployment_profile& deployment,
                                            const workload_options& options)
{
    std::mt19937_64 random(options.seed);
    std::vector<double> weights;
    weights.reserve(static_cast<std::size_t>(deployment.adapters));
    for (int rank = 1; rank <= deployment.adapters; ++rank)
        weights.push_back(1.0 / std::pow(rank, deployment.popularity_skew));
    std::discrete_distribution<std::size_t> rank(weights.begin(), weights.end());
    std::vector<int> adapter_of_rank(static_cast<std::size_t>(deployment.adapters));
    std::iota(adapter_of_rank.begin(), adapter_of_rank.end(), 0);
    std::shuffle(adapter_of_rank.begin(), adapter_of_rank.end(), random);
    std::uniform_int_distribution<int> daemon(0, deployment.daemons - 1);
    std::bernoulli_distribution on_adapter(adapter_share);

    double total_rate = 0;
    std::vector<double> rates;
    rates.reserve(deployment.traffic_classes.size());
    for (const traffic_class& kind : deployment.traffic_classes)
    {
        total_rate += kind.rate * options.load;
        rates.push_back(kind.rate);
    }
    std::discrete_distribution<std::size_t> kind(rates.begin(), rates.end());
    std::exponential_distribution<double> gap(total_rate);
    std::vector<emulated_request> workload;
    double next_shift = static_cast<double>(options.shift_interval.count());
    const auto length = static_cast<double>(options.length.count());
    // Virtual time starts at one second, because many records use zero for "never".
    for (double at = 1 + gap(random); at < 1 + length; at += gap(random))
    {
        if (next_shift > 0 && at > next_shift)
        {
            std::shuffle(adapter_of_rank.begin(), adapter_of_rank.end(), random);
            next_shift += static_cast<double>(options.shift_interval.count());
        }
        emulated_request request;
        request.at = instant{microseconds(static_cast<long long>(at * 1e6))};
        request.kind = &deployment.traffic_classes[kind(random)];
        request.daemon = daemon(random);
        const std::size_t drawn = rank(random);
        if (on_adapter(random))
            request.adapter = {"base/a" + std::to_string(adapter_of_rank[drawn])};
        request.prompt_tokens = draw_token_count(random, request.kind->prompt_tokens,
                                                 request.kind->prompt_spread,
                                                 request.kind->max_prompt_tokens);
        request.output_tokens = draw_token_count(random, request.kind->output_tokens,
                                                 0.69, request.kind->max_output_tokens);
        workload.push_back(request);
    }
    return workload;
}

} // namespace pollenhaven::bench
