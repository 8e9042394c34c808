#include "observability/metrics.h"

// Boost.Accumulators 1.81 leaves the default of extended_p_square_quantile uninitialized, which g++ 12 warns about.
#ifndef __clang__
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif

// Boost 1.81 uses std::ostringstream in extended_p_square_quantile.hpp without including it.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <map>
#include <mutex>

namespace sycamoretray
{

namespace
{

namespace acc = boost::accumulators;

constexpr std::array<double, 4> exposedQuantiles{ 0.5, 0.9, 0.99, 0.999 };

using accumulator_type = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max, acc::tag::extended_p_square_quantile>>;

std::string formatNumber(double value)
{
    std::ostringstream out;
    out.precision(9);
    out << value;
    return out.str();
}

} // namespace

struct metric_distribution::impl {
    mutable std::mutex mutex;
    accumulator_type accumulator{ acc::extended_p_square_probabilities = exposedQuantiles };
};

metric_distribution::metric_distribution()
    : d(std::make_unique<impl>())
{
}

metric_distribution::~metric_distribution() = default;

void metric_distribution::record(double value)
{
    const std::lock_guard lock(d->mutex);
    d->accumulator(value);
}

void metric_distribution::expose(std::string &out, const std::string &name) const
{
    const std::lock_guard lock(d->mutex);
    const auto count = acc::count(d->accumulator);
    out += "# TYPE " + name + " summary\n";
    // The quantiles are valid once the estimator has one sample for each of its markers: two per quantile plus three.
    if (count >= 2 * exposedQuantiles.size() + 3) {
        for (const double quantile : exposedQuantiles) {
            const double value = acc::quantile(d->accumulator, acc::quantile_probability = quantile);
            out += name + "{quantile=\"" + formatNumber(quantile) + "\"} " + formatNumber(value) + "\n";
        }
    }
    out += name + "_sum " + formatNumber(acc::sum(d->accumulator)) + "\n";
    out += name + "_count " + std::to_string(count) + "\n";
    out += name + "_max " + formatNumber(count == 0 ? 0 : acc::max(d->accumulator)) + "\n";
}

struct metrics_registry::impl {
    mutable std::mutex mutex;
    std::map<std::string, std::unique_ptr<metric_counter>> counters;
    std::map<std::string, std::unique_ptr<metric_distribution>> distributions;
    std::map<std::string, std::function<double()>> gauges;
};

metrics_registry::metrics_registry()
    : d(std::make_unique<impl>())
{
}

metrics_registry::~metrics_registry() = default;

metric_counter &metrics_registry::counter(const std::string &name)
{
    const std::lock_guard lock(d->mutex);
    auto &entry = d->counters[name];
    if (!entry) {
        entry = std::make_unique<metric_counter>();
    }
    return *entry;
}

metric_distribution &metrics_registry::distribution(const std::string &name)
{
    const std::lock_guard lock(d->mutex);
    auto &entry = d->distributions[name];
    if (!entry) {
        entry = std::make_unique<metric_distribution>();
    }
    return *entry;
}

void metrics_registry::gauge(const std::string &name, std::function<double()> read)
{
    const std::lock_guard lock(d->mutex);
    d->gauges[name] = std::move(read);
}

std::string metrics_registry::expose() const
{
    const std::lock_guard lock(d->mutex);
    std::string out;
    for (const auto &[name, counter] : d->counters) {
        out += "# TYPE " + name + " counter\n" + name + " " + std::to_string(counter->value()) + "\n";
    }
    for (const auto &[name, read] : d->gauges) {
        out += "# TYPE " + name + " gauge\n" + name + " " + formatNumber(read()) + "\n";
    }
    for (const auto &[name, distribution] : d->distributions) {
        distribution->expose(out, name);
    }
    return out;
}

} // namespace sycamoretray
