#ifndef POLLENHAVEN_BENCH_WORKLOAD_HPP
#define POLLENHAVEN_BENCH_WORKLOAD_HPP

#include "core/boot_clock.hpp"
#include "policy/operating_document.hpp"

#include <map>
#include <string>
#include <vector>

namespace pollenhaven::bench
{

// The sizes of one deployment, as the users' brief gives them.
struct deployment_sizes
{
    std::string name;
    int engines = 9;
    int slots = 8;
    int max_batch = 16;
    int adapters = 3000;
    milliseconds step{20};
    store_limits store;
};

deployment_sizes suva();
deployment_sizes kitamura();

struct workload_options
{
    // "steady", "shift", "restart" or "mixed".
    std::string kind = "steady";
    double skew = 1.1;
    double rate = 4;
    // Part of the requests that are overnight work, in "mixed".
    double overnight = 0;
    std::uint64_t seed = 1;
    seconds length{300};
    // Requests before this are not counted.
    seconds warm_up{100};
    // When the shift or the restart happens.
    seconds event_at{180};
    // Partners with their parts of the demand.
    std::map<partner_id, double> demand = {{{"suva"}, 1.0}};
};

struct workload_request
{
    instant at{};
    model_ref model;
    partner_id partner;
    work_class priority = work_class::interactive;
    int tokens = 0;
};

// The requests in order of arrival, from the options alone.
std::vector<workload_request> make_workload(const workload_options& options,
                                            int adapters);

} // namespace pollenhaven::bench

#endif
