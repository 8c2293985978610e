#include "core/metrics.hpp"

#include <boost/histogram.hpp>

#include <limits>
#include <sstream>

namespace pollenhaven
{

namespace
{

namespace bh = boost::histogram;

constexpr int latency_bins = 24;
constexpr double min_latency_s = 0.0005;
constexpr double max_latency_s = 120.0;

using latency_axis = bh::axis::regular<double, bh::axis::transform::log>;
using latency_histogram = decltype(bh::make_histogram(latency_axis{}));

std::string bare_name(const std::string& name)
{
    return name.substr(0, name.find('{'));
}

void write_histogram(std::ostream& out, const std::string& name,
                     const latency_histogram& values, double sum)
{
    double cumulative = values.at(-1);
    for (int bin = 0; bin < values.axis().size(); ++bin)
    {
        cumulative += values.at(bin);
        out << name << "_bucket{le=\"" << values.axis().value(bin + 1) << "\"} "
            << cumulative << '\n';
    }
    cumulative += values.at(values.axis().size());
    out << name << "_bucket{le=\"+Inf\"} " << cumulative << '\n';
    out << name << "_sum " << sum << '\n' << name << "_count " << cumulative << '\n';
}

void write_scalars(std::ostream& out, const std::map<std::string, double>& values,
                   const char* type)
{
    std::string described;
    for (const auto& [name, value] : values)
    {
        if (bare_name(name) != described)
        {
            described = bare_name(name);
            out << "# TYPE " << described << ' ' << type << '\n';
        }
        out << name << ' ' << value << '\n';
    }
}

} // namespace

struct metric_set::histograms
{
    struct series
    {
        latency_histogram values =
            bh::make_histogram(latency_axis(latency_bins, min_latency_s, max_latency_s));
        double sum = 0;
    };
    std::map<std::string, series> by_name;
};

metric_set::metric_set() : histograms_(std::make_unique<histograms>()) {}

metric_set::~metric_set() = default;

void metric_set::add(const std::string& counter, double amount)
{
    const std::lock_guard lock(mutex_);
    counters_[counter] += amount;
}

void metric_set::set(const std::string& gauge, double value)
{
    const std::lock_guard lock(mutex_);
    gauges_[gauge] = value;
}

void metric_set::observe_seconds(const std::string& histogram, double value)
{
    const std::lock_guard lock(mutex_);
    histograms::series& series = histograms_->by_name[histogram];
    series.values(value);
    series.sum += value;
}

double metric_set::counter(const std::string& name) const
{
    const std::lock_guard lock(mutex_);
    const auto found = counters_.find(name);
    return found == counters_.end() ? 0 : found->second;
}

std::string metric_set::prometheus_text() const
{
    const std::lock_guard lock(mutex_);
    std::ostringstream out;
    out.precision(std::numeric_limits<double>::digits10);
    write_scalars(out, counters_, "counter");
    write_scalars(out, gauges_, "gauge");
    for (const auto& [name, series] : histograms_->by_name)
    {
        out << "# TYPE " << name << " histogram\n";
        write_histogram(out, name, series.values, series.sum);
    }
    return out.str();
}

} // namespace pollenhaven
