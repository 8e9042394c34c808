#pragma once

#include <cstdint>
#include <memory>
#include <vector>

namespace sycamoretray::standins
{

/**
 * Histogram of latencies with logarithmic bins: 1 us to 1000 s, 2 % wide.
 *
 * Thread safety: none.
 */
class latency_histogram
{
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(latency_histogram &&) noexcept;
    latency_histogram &operator=(latency_histogram &&) noexcept;

    struct bin {
        double lower = 0; ///< microseconds
        double upper = 0;
        std::uint64_t count = 0;
    };

    void add(long long microseconds);
    std::uint64_t count() const;

    /** Upper bound of the bin that contains the @p share quantile (0 to 1), in microseconds, at most largest(); 0 if empty. */
    double quantile(double share) const;

    long long largest() const;

    /** Returns the bins from the first to the last that are not empty. */
    std::vector<bin> bins() const;

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray::standins
