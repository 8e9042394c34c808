#pragma once

#include "endpoint_policy.h"

#include <random>
#include <vector>

namespace sycamoretray
{

/** Baseline: chooses the home with the fewest requests in flight from this entry instance, at random among equals. */
class least_connections_policy final : public endpoint_policy
{
public:
    least_connections_policy(std::size_t servers, std::uint64_t seed);
    std::size_t choose(bool isLong) override;
    void finished(std::size_t server, bool isLong) override;
    void applyLoadReport(std::size_t server, const home_load &load) override;

private:
    std::vector<std::uint32_t> m_inFlight;
    std::mt19937_64 m_random;
};

} // namespace sycamoretray
