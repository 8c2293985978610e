#ifndef POLLENHAVEN_BENCH_SIMULATOR_HPP
#define POLLENHAVEN_BENCH_SIMULATOR_HPP

#include "bench/variant.hpp"
#include "bench/workload.hpp"

#include <map>
#include <vector>

namespace pollenhaven::bench
{

// What became of one request.
struct request_record
{
    instant arrived{};
    work_class priority = work_class::interactive;
    partner_id partner;
    bool refused = false;
    bool finished = false;
    // How long it waited for its adapter, and for its first token.
    double load_stall_s = 0;
    double first_token_s = 0;
};

struct simulation_result
{
    std::vector<request_record> requests;
    int loads = 0;
    // Tokens made and places that were free in steps of engines that had work.
    double busy_steps = 0;
    double tokens = 0;
    // Tokens that each partner received in the window that counts.
    std::map<partner_id, double> served;
};

// Replays a workload in virtual time against fakes of engines and store.
simulation_result simulate(const deployment_sizes& sizes, const workload_options& options,
                           const std::vector<workload_request>& load,
                           const variant& deciding,
                           const std::map<partner_id, double>& weights);

} // namespace pollenhaven::bench

#endif
