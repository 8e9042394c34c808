#include "dispatch/run_time_table.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/rolling_mean.hpp>
#include <boost/accumulators/statistics/rolling_variance.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <cmath>

namespace sycamoretray
{

namespace
{

namespace acc = boost::accumulators;

using run_time_accumulator = acc::accumulator_set<double, acc::stats<acc::tag::rolling_mean, acc::tag::rolling_variance>>;

constexpr std::uint32_t maxClasses = 256;
/** The mean follows a change of speed within 32 answers, and noise of 20 % causes an error of less than 4 %. */
constexpr std::size_t windowSize = 32;
constexpr std::uint32_t minSamples = 4;
/** Traffic counts are halved after this many samples, so that an unused class stops being the reference. */
constexpr std::uint32_t samplesPerDecay = 1024;
constexpr int longThresholdFactor = 4;
constexpr int shortThresholdFactor = 3;
constexpr double overallMeanWeight = 0.05;
constexpr time_span defaultRunTime = std::chrono::milliseconds(1);

} // namespace

struct run_time_table::class_estimate {
    run_time_accumulator accumulator{ acc::tag::rolling_window::window_size = windowSize };
    std::uint32_t samples = 0;
    std::uint32_t traffic = 0;
    time_span mean{};
    time_span upperEstimate{};
    bool isLong = false;
};

run_time_table::run_time_table()
    : m_largestShort(defaultRunTime)
    , m_largestLong(defaultRunTime)
{
}

run_time_table::~run_time_table() = default;
run_time_table::run_time_table(run_time_table &&) noexcept = default;
run_time_table &run_time_table::operator=(run_time_table &&) noexcept = default;

const run_time_table::class_estimate *run_time_table::find(std::uint32_t requestClass) const noexcept
{
    const std::uint32_t position = std::min(requestClass, maxClasses);
    return position < m_classes.size() ? m_classes[position].get() : nullptr;
}

void run_time_table::addSample(std::uint32_t requestClass, time_span runTime)
{
    const std::uint32_t position = std::min(requestClass, maxClasses);
    if (position >= m_classes.size()) {
        m_classes.resize(position + 1);
    }
    if (!m_classes[position]) {
        m_classes[position] = std::make_unique<class_estimate>();
    }
    class_estimate &estimate = *m_classes[position];
    estimate.accumulator(static_cast<double>(runTime.count()));
    ++estimate.traffic;
    estimate.samples = std::min(estimate.samples + 1, minSamples);
    const double mean = acc::rolling_mean(estimate.accumulator);
    const double variance = estimate.samples > 1 ? std::max(0.0, acc::rolling_variance(estimate.accumulator)) : 0.0;
    estimate.mean = time_span(std::max<time_span::rep>(1, std::llround(mean)));
    estimate.upperEstimate = time_span(std::max<time_span::rep>(1, std::llround(mean + 2 * std::sqrt(variance))));
    const double overall = static_cast<double>(m_overallMean.count());
    m_overallMean = m_samples == 0 ? estimate.mean : time_span(std::llround(overall + overallMeanWeight * (mean - overall)));
    if (++m_samples % samplesPerDecay == 0) {
        for (const auto &each : m_classes) {
            if (each) {
                each->traffic /= 2;
            }
        }
    }
    classify();
}

void run_time_table::classify()
{
    std::uint64_t traffic = 0;
    for (const auto &each : m_classes) {
        traffic += each ? each->traffic : 0;
    }
    m_referenceMean = time_span::max();
    for (const auto &each : m_classes) {
        if (each && each->samples >= minSamples && std::uint64_t{ each->traffic } * 100 >= traffic) {
            m_referenceMean = std::min(m_referenceMean, each->mean);
        }
    }
    m_largestShort = m_largestLong = time_span(0);
    for (const auto &each : m_classes) {
        if (!each) {
            continue;
        }
        const int factor = each->isLong ? shortThresholdFactor : longThresholdFactor;
        each->isLong = each->samples >= minSamples && each->mean / factor >= m_referenceMean;
        time_span &largest = each->isLong ? m_largestLong : m_largestShort;
        largest = std::max(largest, each->mean);
    }
}

time_span run_time_table::expected(std::uint32_t requestClass) const noexcept
{
    const class_estimate *estimate = find(requestClass);
    if (estimate != nullptr) {
        return estimate->mean;
    }
    return m_samples > 0 ? std::max(time_span(1), m_overallMean) : defaultRunTime;
}

time_span run_time_table::upperEstimate(std::uint32_t requestClass) const noexcept
{
    const class_estimate *estimate = find(requestClass);
    return estimate != nullptr && estimate->samples >= minSamples ? estimate->upperEstimate : time_span(0);
}

bool run_time_table::hasEstimate(std::uint32_t requestClass) const noexcept
{
    const class_estimate *estimate = find(requestClass);
    return estimate != nullptr && estimate->samples >= minSamples;
}

bool run_time_table::isLong(std::uint32_t requestClass) const noexcept
{
    const class_estimate *estimate = find(requestClass);
    return estimate != nullptr && estimate->isLong;
}

time_span run_time_table::longThreshold() const noexcept
{
    return m_referenceMean == time_span(0) || m_referenceMean == time_span::max() ? time_span::max() : m_referenceMean * longThresholdFactor;
}

time_span run_time_table::largestExpected(bool longClasses) const noexcept
{
    return std::max(time_span(1), longClasses ? m_largestLong : m_largestShort);
}

} // namespace sycamoretray
