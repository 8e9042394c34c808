#pragma once

#include "base/monotonic_time.h"

#include <cstdint>
#include <random>
#include <vector>

namespace sycamoretray
{

/** A request of a measurement, with the run time that the simulated server needs for it. */
struct scripted_request {
    monotonic_time arrival;
    time_span runTime{};
    /** Deadline, relative to the arrival. */
    time_span relativeDeadline = std::chrono::seconds(1);
    std::uint32_t customer = 0;
    std::uint32_t requestClass = 0;
    /** 0 to have build() assign a unique one. */
    std::uint64_t fingerprint = 0;
    /** Index of the server if the service is divided by key. */
    std::size_t server = 0;
    bool crashesServer = false;
};

/** Poisson arrivals of similar requests between two times. */
struct arrival_stream {
    monotonic_time from;
    monotonic_time to;
    double perSecond = 0;
    time_span meanRunTime{};
    /** Run times are uniformly distributed between mean * (1 - spread) and mean * (1 + spread). */
    double spread = 0.2;
    time_span relativeDeadline = std::chrono::seconds(1);
    std::uint32_t customer = 0;
    std::uint32_t requestClass = 0;
};

/** Builds a reproducible sequence of requests from a seed. Thread safety: none. */
class arrival_script
{
public:
    explicit arrival_script(std::uint64_t seed);

    void add(const arrival_stream &stream);
    void add(const scripted_request &request);

    /** Returns all requests sorted by arrival; those without a fingerprint get a unique one. */
    std::vector<scripted_request> build();

private:
    std::mt19937_64 m_random;
    std::vector<scripted_request> m_requests;
};

} // namespace sycamoretray
