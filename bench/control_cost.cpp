// Measures what a daemon spends on control, and on requests, against the number of peers,
// endpoints and adapters and the rate of tokens, and fits slopes. Starts daemons and
// stand-ins as processes on this machine.

#include "tests/harness/background_load.hpp"

#include <cmath>
#include <iomanip>
#include <iostream>
#include <thread>

namespace
{

using namespace pollenhaven::harness;

constexpr std::chrono::seconds settle_time{4};
constexpr std::chrono::seconds measured_time{10};
constexpr double bytes_per_kilobyte = 1000;

struct cost
{
    double processor_percent = 0;
    double resident_mb = 0;
    double peer_kb_s = 0;
    double reads_s = 0;
    double writes_s = 0;
    double tokens_s = 0;
};

struct totals
{
    double processor_s = 0;
    double peer_bytes = 0;
    double reads = 0;
    double writes = 0;
    double tokens = 0;
};

double metric(const std::string& text, const std::string& name)
{
    const std::size_t at = text.find("\n" + name + " ");
    return at == std::string::npos ? 0 : std::stod(text.substr(at + name.size() + 2));
}

totals read_totals(const cluster& deployment)
{
    totals now;
    for (const running_daemon& daemon : deployment.daemons)
    {
        now.processor_s += daemon.program->processor_s();
        const std::string text = get(daemon.caller_address, "/metrics").body;
        now.peer_bytes += metric(text, "pollenhaven_peer_bytes_sent");
    }
    const nlohmann::json calls = counts(deployment.key_value);
    now.reads = calls.value("/v3/kv/range", 0.0) + calls.value("/v3/watch", 0.0);
    now.writes = calls.value("/v3/kv/txn", 0.0) + calls.value("/v3/lease/keepalive", 0.0);
    now.tokens = static_cast<double>(deployment.engine_total("tokens"));
    return now;
}

// Mean cost of one daemon over the measured time, with so many callers sending requests.
cost measure(const cluster_options& options, int callers)
{
    cluster deployment(options);
    deployment.wait_ready();
    std::vector<std::string> addresses;
    for (const running_daemon& daemon : deployment.daemons)
        addresses.push_back(daemon.caller_address);
    background_load load(deployment, addresses, callers);
    std::this_thread::sleep_for(settle_time);
    const totals before = read_totals(deployment);
    std::this_thread::sleep_for(measured_time);
    const totals after = read_totals(deployment);
    const double span = std::chrono::duration<double>(measured_time).count();
    const auto daemons = static_cast<double>(options.daemons);
    cost found;
    found.processor_percent =
        100 * (after.processor_s - before.processor_s) / span / daemons;
    found.peer_kb_s =
        (after.peer_bytes - before.peer_bytes) / span / daemons / bytes_per_kilobyte;
    found.reads_s = (after.reads - before.reads) / span;
    found.writes_s = (after.writes - before.writes) / span;
    found.tokens_s = (after.tokens - before.tokens) / span / daemons;
    for (const running_daemon& daemon : deployment.daemons)
        found.resident_mb += daemon.program->resident_mb() / daemons;
    return found;
}

void print_header()
{
    std::cout
        << "daemons endpoints adapters callers   core%      MB  peerKB/s  kvreads/s "
           "kvwrites/s tokens/s\n";
}

void print_row(const cluster_options& options, int callers, const cost& found)
{
    std::cout << std::setw(7) << options.daemons << std::setw(10) << options.engines
              << std::setw(9) << options.adapters << std::setw(8) << callers << std::fixed
              << std::setprecision(2) << std::setw(8) << found.processor_percent
              << std::setw(8) << found.resident_mb << std::setw(10) << found.peer_kb_s
              << std::setw(11) << found.reads_s << std::setw(11) << found.writes_s
              << std::setw(9) << found.tokens_s << std::endl;
}

struct point
{
    double size;
    double value;
};

// Prints the least-squares line through the points and how well it fits.
void print_fit(const std::string& what, const std::vector<point>& points)
{
    double mean_x = 0;
    double mean_y = 0;
    for (const point& each : points)
    {
        mean_x += each.size / static_cast<double>(points.size());
        mean_y += each.value / static_cast<double>(points.size());
    }
    double xy = 0;
    double xx = 0;
    double yy = 0;
    for (const point& each : points)
    {
        xy += (each.size - mean_x) * (each.value - mean_y);
        xx += (each.size - mean_x) * (each.size - mean_x);
        yy += (each.value - mean_y) * (each.value - mean_y);
    }
    const double slope = xy / xx;
    const double fit = yy > 0 ? xy * xy / (xx * yy) : 1;
    std::cout << "  " << what << ": " << std::setprecision(5) << mean_y - slope * mean_x
              << " + " << slope << " * n, r2 " << std::setprecision(3) << fit << '\n';
}

struct series
{
    const char* name;
    std::vector<cluster_options> sizes;
    std::vector<int> callers;
    std::vector<double> x;
};

cluster_options base()
{
    cluster_options options;
    options.daemons = 4;
    options.engines = 4;
    options.adapters = 1000;
    options.slots = 8;
    options.threads = 16;
    options.lease_ms = 10000;
    return options;
}

std::vector<series> all_series()
{
    series peers{"against daemons in the region", {}, {}, {}};
    for (const int daemons : {4, 8, 16})
    {
        cluster_options options = base();
        options.daemons = daemons;
        peers.sizes.push_back(options);
        peers.x.push_back(daemons);
    }
    series endpoints{"against endpoints in the region", {}, {}, {}};
    for (const int engines : {4, 12, 24})
    {
        cluster_options options = base();
        options.engines = engines;
        endpoints.sizes.push_back(options);
        endpoints.x.push_back(engines);
    }
    series adapters{"against adapters in the document", {}, {}, {}};
    for (const int count : {1000, 4000, 10000})
    {
        cluster_options options = base();
        options.adapters = count;
        adapters.sizes.push_back(options);
        adapters.x.push_back(count);
    }
    series tokens{"against tokens a second through a daemon", {}, {4, 8, 16}, {}};
    for (std::size_t i = 0; i < tokens.callers.size(); ++i)
    {
        cluster_options options = base();
        options.threads = 64;
        tokens.sizes.push_back(options);
    }
    return {peers, endpoints, adapters, tokens};
}

void run(const series& measured)
{
    std::cout << measured.name << '\n';
    print_header();
    std::vector<point> processor;
    std::vector<point> memory;
    std::vector<point> traffic;
    std::vector<point> reads;
    std::vector<point> writes;
    for (std::size_t i = 0; i < measured.sizes.size(); ++i)
    {
        const int callers = measured.callers.empty() ? 0 : measured.callers[i];
        const cost found = measure(measured.sizes[i], callers);
        print_row(measured.sizes[i], callers, found);
        const double x = measured.x.empty() ? found.tokens_s : measured.x[i];
        processor.push_back({x, found.processor_percent});
        memory.push_back({x, found.resident_mb});
        traffic.push_back({x, found.peer_kb_s});
        reads.push_back({x, found.reads_s});
        writes.push_back({x, found.writes_s});
    }
    print_fit("core% of a daemon", processor);
    print_fit("MB of a daemon", memory);
    print_fit("peer KB/s of a daemon", traffic);
    print_fit("key-value reads/s of the region", reads);
    print_fit("key-value writes/s of the region", writes);
}

} // namespace

// With an argument, only the series whose name contains it.
int main(int count, char** arguments)
{
    const std::string only = count > 1 ? arguments[1] : "";
    try
    {
        for (const series& measured : all_series())
        {
            if (std::string(measured.name).find(only) != std::string::npos)
                run(measured);
        }
        return 0;
    }
    catch (const std::exception& error)
    {
        std::cerr << "control-cost: " << error.what() << '\n';
        return 1;
    }
}
