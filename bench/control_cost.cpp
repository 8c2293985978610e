// Measures the CPU time, memory and peer traffic of a daemon for different numbers of
// daemons and engines and different rates of streamed events, and fits a line to each.
// Starts daemons and test stand-ins as processes on this machine.

#include "tests/harness/background_traffic.hpp"

#include <cmath>
#include <iomanip>
#include <iostream>
#include <numeric>
#include <thread>

namespace
{

using namespace pollenhaven::harness;

constexpr std::chrono::seconds settle_time{3};
constexpr std::chrono::seconds measured_time{8};
constexpr double bytes_per_kilobyte = 1000;
// Events in the response to one request of the background traffic.
constexpr double events_per_request = 21;

struct cost
{
    double cpu_percent = 0;
    double resident_mb = 0;
    double peer_kb_s = 0;
    double events_s = 0;
};

struct totals
{
    double cpu_seconds = 0;
    double peer_bytes = 0;
    double served = 0;
};

double metric(const std::string& text, const std::string& name)
{
    const std::size_t at = text.find("\n" + name + " ");
    return at == std::string::npos ? 0 : std::stod(text.substr(at + name.size() + 2));
}

totals read_totals(fleet& deployment, const background_traffic* load)
{
    totals now;
    for (int daemon = 0; daemon < deployment.daemon_count(); ++daemon)
    {
        now.cpu_seconds += deployment.daemon(daemon).cpu_seconds();
        const std::string text =
            "\n" + get(deployment.operator_address(daemon), "/metrics").body;
        now.peer_bytes += metric(text, "pollenhaven_peer_bytes_sent_total");
    }
    now.served = load == nullptr ? 0 : load->served();
    return now;
}

// Returns the mean cost of one daemon over the measured time, while `callers` callers
// send requests.
cost measure(const fleet_options& options, int callers)
{
    fleet deployment(options);
    std::vector<int> daemons(static_cast<std::size_t>(options.daemons));
    std::iota(daemons.begin(), daemons.end(), 0);
    std::optional<background_traffic> load;
    if (callers > 0)
        load.emplace(deployment, daemons, callers);
    std::this_thread::sleep_for(settle_time);
    const totals before = read_totals(deployment, load ? &*load : nullptr);
    std::this_thread::sleep_for(measured_time);
    const totals after = read_totals(deployment, load ? &*load : nullptr);
    const double measured_s = std::chrono::duration<double>(measured_time).count();
    const auto count = static_cast<double>(options.daemons);
    cost result;
    result.cpu_percent =
        100 * (after.cpu_seconds - before.cpu_seconds) / measured_s / count;
    result.peer_kb_s =
        (after.peer_bytes - before.peer_bytes) / measured_s / count / bytes_per_kilobyte;
    result.events_s =
        (after.served - before.served) * events_per_request / measured_s / count;
    for (const int daemon : daemons)
        result.resident_mb += deployment.daemon(daemon).resident_mb() / count;
    return result;
}

struct point
{
    double size;
    double value;
};

// Prints the least-squares line through the points and its coefficient of determination.
void print_fit(const std::string& label, const std::vector<point>& points)
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
    const double r_squared = yy > 0 ? xy * xy / (xx * yy) : 1;
    std::cout << "  " << label << ": " << std::setprecision(5) << mean_y - slope * mean_x
              << " + " << slope << " * n, r2 " << std::setprecision(3) << r_squared
              << '\n';
}

struct series
{
    const char* name;
    std::vector<fleet_options> sizes;
    std::vector<int> callers;
};

std::vector<series> all_series()
{
    fleet_options base;
    base.daemons = 4;
    base.engines = 4;
    base.adapter_slots_per_engine = 8;
    series peers{"against daemons", {}, {0, 0, 0}};
    for (const int daemons : {4, 8, 16})
    {
        peers.sizes.push_back(base);
        peers.sizes.back().daemons = daemons;
    }
    series engines{"against engines", {}, {0, 0, 0}};
    for (const int count : {4, 12, 24})
    {
        engines.sizes.push_back(base);
        engines.sizes.back().engines = count;
    }
    series events{"against events a second through a daemon", {}, {4, 16, 48}};
    events.sizes = {base, base, base};
    return {peers, engines, events};
}

void run(const series& measured)
{
    std::cout << measured.name
              << "\ndaemons  engines  callers   core%      MB  peerKB/s  events/s\n";
    std::vector<point> cpu;
    std::vector<point> memory;
    std::vector<point> traffic;
    for (std::size_t i = 0; i < measured.sizes.size(); ++i)
    {
        const fleet_options& size = measured.sizes[i];
        const cost result = measure(size, measured.callers[i]);
        std::cout << std::setw(7) << size.daemons << std::setw(9) << size.engines
                  << std::setw(9) << measured.callers[i] << std::fixed
                  << std::setprecision(2) << std::setw(8) << result.cpu_percent
                  << std::setw(8) << result.resident_mb << std::setw(10)
                  << result.peer_kb_s << std::setw(10) << result.events_s << std::endl;
        const bool by_events = measured.callers[i] > 0;
        const bool by_engines = size.engines != measured.sizes[0].engines ||
                                measured.sizes.back().engines != size.engines;
        const double x = by_events    ? result.events_s
                         : by_engines ? size.engines
                                      : size.daemons;
        cpu.push_back({x, result.cpu_percent});
        memory.push_back({x, result.resident_mb});
        traffic.push_back({x, result.peer_kb_s});
    }
    print_fit("core% of a daemon", cpu);
    print_fit("MB of a daemon", memory);
    print_fit("peer KB/s of a daemon", traffic);
}

} // namespace

// An argument selects the series whose name contains it; without one all series run.
int main(int count, char** arguments)
{
    const std::string name_filter = count > 1 ? arguments[1] : "";
    try
    {
        for (const series& measured : all_series())
        {
            if (std::string(measured.name).find(name_filter) != std::string::npos)
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
