#ifndef POLLENHAVEN_BENCH_WORKLOAD_HPP
#define POLLENHAVEN_BENCH_WORKLOAD_HPP

#include "core/boot_clock.hpp"
#include "core/records/endpoint_record.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pollenhaven::bench
{

// One class of streamed requests in a partner's deployment profile.
struct traffic_class
{
    std::string name;
    // Requests per second at load 1.
    double rate = 0;
    // Credit for a request that was completed on time, and for one completed late.
    double on_time_credit = 1;
    double late_credit = 0.3;
    // 0 is the most urgent, 9 the least.
    int urgency = 0;
    milliseconds target_latency{600};
    milliseconds deadline{15000};
    // Longest pause between two events with which a stream still counts as on time.
    milliseconds max_pause{250};
    // Mean of the log-normal distribution of prompt lengths, and the standard deviation
    // of their logarithm.
    double prompt_tokens = 600;
    double prompt_spread = 1;
    int max_prompt_tokens = 3300;
    double output_tokens = 290;
    int max_output_tokens = 950;
};

// Sizes and speeds of one partner's deployment, as the partner published them. A step of
// an engine takes step_ms, plus step_ms_per_request for each request of the batch, plus
// the time for the prompt tokens that it prefills, at most prefill_chunk_tokens.
struct deployment_profile
{
    std::string name;
    int daemons = 8;
    int engines = 9;
    int max_batch_size = 64;
    int adapter_slots = 30;
    int adapters = 3000;
    // Exponent of the Zipf distribution of the adapters' popularity.
    double popularity_skew = 1.2;
    double step_ms = 5.47;
    double step_ms_per_request = 0.0121;
    double prompt_tokens_per_ms = 38.7;
    int prefill_chunk_tokens = 2048;
    // Each step generates one token of a request, so this is also the number of tokens
    // per event.
    int steps_per_event = 5;
    // Durations of an adapter load from the weight store and from host memory.
    milliseconds store_load{250};
    milliseconds memory_load{25};
    // Number of concurrent fetches beyond which they share the weight store's bandwidth.
    int loads_at_full_speed = 8;
    std::vector<traffic_class> traffic_classes;
};

// The profiles of the partners Suva and Kitamura.
deployment_profile suva();
deployment_profile kitamura();

// The same partners with ten times as many engines. The weight store serves more loads at
// full speed, and one load takes longer.
deployment_profile suva_grown();
deployment_profile kitamura_grown();

struct emulated_request
{
    // Time of arrival.
    instant at{};
    const traffic_class* kind = nullptr;
    int daemon = 0;
    adapter_id adapter;
    int prompt_tokens = 0;
    int output_tokens = 0;
};

struct workload_options
{
    // Factor of the request rates of the profile.
    double load = 1;
    std::uint64_t seed = 1;
    seconds length{30};
    // Interval at which the popularity ranks are reassigned to adapters; 0 means never.
    seconds shift_interval{0};
};

// Generates requests in order of arrival. The result depends only on the arguments and
// refers to `deployment`, which must outlive it.
std::vector<emulated_request> make_workload(const deployment_profile& deployment,
                                            const workload_options& options);

} // namespace pollenhaven::bench

#endif
