#pragma once

#include "base/monotonic_time.h"

#include <cstdint>
#include <random>
#include <vector>

namespace sycamoretray
{

/** One request of a measurement and the run time that the server will need for it. */
struct scripted_request {
    monotonic_time arrival;
    time_span runTime{};
    time_span patience = std::chrono::seconds(1);
    std::uint32_t customer = 0;
    std::uint32_t requestClass = 0;
    std::uint64_t fingerprint = 0;
    /** Server for services divided by key. */
    std::size_t server = 0;
    bool crashesServer = false;
};

/** Poisson arrivals between two times. */
struct arrival_stream {
    monotonic_time from;
    monotonic_time to;
    double perSecond = 0;
    time_span meanRunTime{};
    /** Run times are spread evenly over the mean plus and minus this share. */
    double spread = 0.2;
    time_span patience = std::chrono::seconds(1);
    std::uint32_t customer = 0;
    std::uint32_t requestClass = 0;
};

/** Requests of a seed, in order of arrival. Thread safety: none. */
class arrival_script
{
public:
    explicit arrival_script(std::uint64_t seed);

    void add(const arrival_stream &stream);
    void add(const scripted_request &request);

    /** Returns all requests sorted by arrival; those without a fingerprint get one of their own. */
    std::vector<scripted_request> build();

private:
    std::mt19937_64 m_random;
    std::vector<scripted_request> m_requests;
};

} // namespace sycamoretray
