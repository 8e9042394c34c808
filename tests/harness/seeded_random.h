#pragma once

#include "base/monotonic_time.h"

#include <cstdint>
#include <random>

namespace sycamoretray::harness
{

/**
 * Source of all random choices of a run, so that the seed reproduces the run. Thread safety: none.
 *
 * Of the operands of an operator or the arguments of a call at most one draws: the compiler chooses their order of evaluation,
 * differently for each processor, and a seed has to give the same run on all of them.
 */
class seeded_random
{
public:
    explicit seeded_random(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /** Returns true with probability @p p. */
    bool chance(double p)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_engine) < p;
    }

    double real(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(m_engine);
    }

    /** Returns a number from 0 to @p count - 1. Precondition: count > 0. */
    std::size_t below(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_engine);
    }

    /** Returns a duration from @p low to @p high, both included. */
    time_span span(time_span low, time_span high)
    {
        return time_span(std::uniform_int_distribution<time_span::rep>(low.count(), high.count())(m_engine));
    }

private:
    std::mt19937_64 m_engine;
};

} // namespace sycamoretray::harness
