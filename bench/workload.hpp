#ifndef POLLENHAVEN_BENCH_WORKLOAD_HPP
#define POLLENHAVEN_BENCH_WORKLOAD_HPP

#include "core/boot_clock.hpp"
#include "core/records/endpoint_record.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pollenhaven::bench
{

// One kind of streamed request of a partner's sheet.
struct traffic_class
{
    std::string name;
    // Requests a second at load 1.
    double rate = 0;
    double on_time_credit = 1;
    double late_credit = 0.3;
    int urgency = 0;
    milliseconds target_latency{600};
    milliseconds deadline{15000};
    // The longest pause between two events of a stream that is on time.
    milliseconds max_pause{250};
    double prompt_tokens = 600;
    double prompt_spread = 1;
    int max_prompt_tokens = 3300;
    double output_tokens = 290;
    int max_output_tokens = 950;
};

// The published sizes of one partner's deployment; its sheet is the source of each.
struct deployment_profile
{
    std::string name;
    int daemons = 8;
    int engines = 9;
    int max_batch_size = 64;
    int adapter_slots = 30;
    int adapters = 3000;
    double popularity_skew = 1.2;
    double step_ms = 5.47;
    double step_ms_per_request = 0.0121;
    double prompt_tokens_per_ms = 38.7;
    int prefill_chunk_tokens = 2048;
    int steps_per_event = 5;
    milliseconds store_load{250};
    milliseconds memory_load{25};
    int loads_at_full_speed = 8;
    std::vector<traffic_class> traffic_classes;
};

deployment_profile suva();
deployment_profile kitamura();

struct emulated_request
{
    instant at{};
    const traffic_class* kind = nullptr;
    int daemon = 0;
    adapter_id adapter;
    int prompt_tokens = 0;
    int output_tokens = 0;
};

struct workload_options
{
    double load = 1;
    std::uint64_t seed = 1;
    seconds length{30};
    // Popularity is drawn anew among the adapters this often; 0 is never.
    seconds shift_interval{0};
};

// The requests in order of arrival, from the options alone.
std::vector<emulated_request> make_workload(const deployment_profile& where,
                                            const workload_options& options);

} // namespace pollenhaven::bench

#endif
