#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace sycamoretray
{

/** Monotonically increasing counter. Thread safety: any thread. */
class metric_counter
{
public:
    void add(std::uint64_t amount = 1) noexcept
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }

    std::uint64_t value() const noexcept
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value{ 0 };
};

/** Count, sum, maximum and estimated quantiles of recorded values. Thread safety: any thread. */
class metric_distribution
{
public:
    metric_distribution();
    ~metric_distribution();
    metric_distribution(const metric_distribution &) = delete;
    metric_distribution &operator=(const metric_distribution &) = delete;

    void record(double value);

    /** Appends the metric as a summary named @p name, in the Prometheus text format, to @p out. */
    void expose(std::string &out, const std::string &name) const;

private:
    struct impl;
    std::unique_ptr<impl> d;
};

/**
 * Owns the metrics of a process, by name. References to metrics are valid during the lifetime of the registry. Thread safety: any thread.
 */
class metrics_registry
{
public:
    metrics_registry();
    ~metrics_registry();
    metrics_registry(const metrics_registry &) = delete;
    metrics_registry &operator=(const metrics_registry &) = delete;

    /** Returns the counter named @p name, which ends in _total, and creates it if necessary. */
    metric_counter &counter(const std::string &name);

    /** Returns the distribution named @p name, which ends in its unit, and creates it if necessary. */
    metric_distribution &distribution(const std::string &name);

    /** Registers a gauge whose value is obtained from @p read at each exposition, or replaces its function. */
    void gauge(const std::string &name, std::function<double()> read);

    /** Returns all metrics in the Prometheus text format, version 0.0.4. */
    std::string expose() const;

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray
