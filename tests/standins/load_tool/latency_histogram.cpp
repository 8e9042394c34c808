#include "standins/load_tool/latency_histogram.h"

#include <boost/histogram.hpp>

#include <algorithm>

namespace sycamoretray::standins
{

namespace histogram = boost::histogram;

namespace
{

using log_axis = histogram::axis::regular<double, histogram::axis::transform::log>;
constexpr unsigned binCount = 1046; // 2 % wide bins over nine decades

auto makeHistogram()
{
    return histogram::make_histogram(log_axis(binCount, 1.0, 1e9));
}

} // namespace

struct latency_histogram::impl {
    decltype(makeHistogram()) counts = makeHistogram();
    std::uint64_t total = 0;
    long long largest = 0;
};

latency_histogram::latency_histogram()
    : d(std::make_unique<impl>())
{
}

latency_histogram::~latency_histogram() = default;
latency_histogram::latency_histogram(latency_histogram &&) noexcept = default;
latency_histogram &latency_histogram::operator=(latency_histogram &&) noexcept = default;

void latency_histogram::add(long long microseconds)
{
    d->counts(static_cast<double>(std::max(1LL, microseconds)));
    d->largest = std::max(d->largest, microseconds);
    ++d->total;
}

std::uint64_t latency_histogram::count() const
{
    return d->total;
}

double latency_histogram::quantile(double share) const
{
    double cumulativeCount = 0;
    const double targetCount = share * static_cast<double>(d->total);
    for (auto &&bin : histogram::indexed(d->counts)) {
        cumulativeCount += *bin;
        if (cumulativeCount >= targetCount && cumulativeCount > 0) {
            return std::min(bin.bin().upper(), static_cast<double>(d->largest));
        }
    }
    return static_cast<double>(d->largest);
}

long long latency_histogram::largest() const
{
    return d->largest;
}

std::vector<latency_histogram::bin> latency_histogram::bins() const
{
    std::vector<bin> result;
    for (auto &&entry : histogram::indexed(d->counts)) {
        const auto count = static_cast<std::uint64_t>(*entry);
        if (count != 0 || !result.empty()) {
            result.push_back({ entry.bin().lower(), entry.bin().upper(), count });
        }
    }
    while (!result.empty() && result.back().count == 0) {
        result.pop_back();
    }
    return result;
}

} // namespace sycamoretray::standins
