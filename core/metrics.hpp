#ifndef POLLENHAVEN_CORE_METRICS_HPP
#define POLLENHAVEN_CORE_METRICS_HPP

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace pollenhaven
{

// Counters, gauges and latency histograms of one process, by name. Names follow the rules
// of Prometheus; those of counters and gauges may have labels in braces. Thread-safe.
class metric_set
{
public:
    metric_set();
    ~metric_set();
    metric_set(const metric_set&) = delete;
    metric_set& operator=(const metric_set&) = delete;

    // Adds to a counter, which starts at 0.
    void add(const std::string& counter, double amount = 1);
    void set(const std::string& gauge, double value);
    void observe_seconds(const std::string& histogram, double value);
    // Returns the value of a counter; 0 if nothing was added to it.
    double counter(const std::string& name) const;
    // Returns all metrics in the Prometheus text format.
    std::string prometheus_text() const;

private:
    struct histograms;
    mutable std::mutex mutex_;
    std::map<std::string, double> counters_;
    std::map<std::string, double> gauges_;
    std::unique_ptr<histograms> histograms_;
};

} // namespace pollenhaven

#endif
