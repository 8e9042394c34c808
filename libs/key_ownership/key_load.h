#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "base/request_rate.h"
#include "key_ownership/ownership_record.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamoretray
{

/** Work that one instance sent to one endpoint during a report interval. */
struct endpoint_work {
    endpoint_id endpoint;
    /** Requests that were answered. */
    std::uint32_t requests = 0;
    /** Sum of the times from sending to the answer. */
    time_span measured{};
    /** Sum of the typical run times of these requests, by request kind. */
    time_span expected{};
    /** Requests that failed at the endpoint or were refused by it. */
    std::uint32_t failures = 0;
    /** Request limit that the endpoint names, if any. */
    std::optional<request_rate> requestLimit;
};

/** Demand for one key during a report interval. */
struct key_demand {
    key_number key;
    /** Sum of the typical run times of the requests for the key. */
    time_span work{};
};

/** Periodic report of an instance to the assigner of a service. */
struct load_report {
    instance_id instance;
    service_id service;
    std::vector<key_demand> keys;
    std::vector<endpoint_work> endpoints;
};

/** Encodes @p report as CBOR. Thread-safe. */
std::string encodeLoadReport(const load_report &report);

/** Decodes a report. Returns nullopt if @p data is malformed. Thread-safe. */
std::optional<load_report> decodeLoadReport(std::string_view data);

/**
 * Exponentially decaying averages of the demand for each key of a service and of the speed of its endpoints.
 *
 * Thread safety: none.
 */
class key_load
{
public:
    /** Half-life of the averages. Hot keys last a few seconds: the averages follow within about a second and still smooth out single requests. */
    static constexpr double halfLifeSeconds = 1.2;
    /** Divide an accumulated value by this to get its rate: a constant rate accumulates to rate * half-life / ln 2. */
    static constexpr double averagingSeconds = halfLifeSeconds / 0.6931;

    /** Half-life of the recent averages, which follow a load that begins or ends within half a second. */
    static constexpr double recentHalfLifeSeconds = 0.4;
    static constexpr double recentAveragingSeconds = recentHalfLifeSeconds / 0.6931;

    key_load();

    void add(const load_report &report, monotonic_time now);

    /** Applies the decay up to @p now. Call it several times per half-life. */
    void advance(monotonic_time now);

    /** Returns the demand for @p keys in typical run time per second: 1 keeps one worker slot of an endpoint of typical speed busy. */
    double demand(key_range keys) const;
    double demand(std::uint32_t key) const;

    /**
     * Like demand(), but a recent average. It varies more, because it stands for fewer requests; use it only for differences that their random
     * number does not explain.
     */
    double recentDemand(key_range keys) const;

    /** Returns the mean typical run time of a request in seconds; 0 without any reports. */
    double meanWork() const;

    /** Returns the ratio of the measured to the typical run time at @p endpoint; 1 without any reports. */
    double slowness(const endpoint_id &endpoint) const;

    /** Returns the fraction of requests that fail at @p endpoint; 0 without any reports. */
    double failureShare(const endpoint_id &endpoint) const;

    /** Returns the request limit that @p endpoint named in its last responses, if any. */
    std::optional<request_rate> requestLimit(const endpoint_id &endpoint) const;

    /** Returns the number of instances with a recent report, at least 1. */
    std::uint32_t instances() const noexcept;

private:
    struct endpoint_average {
        double measured = 0;
        double expected = 0;
        double requests = 0;
        double failures = 0;
        std::optional<request_rate> requestLimit;
    };

    std::vector<float> m_demand;
    std::vector<float> m_recentDemand;
    std::map<endpoint_id, endpoint_average> m_endpoints;
    std::map<instance_id, monotonic_time> m_instances;
    std::optional<monotonic_time> m_lastAdvance;
};

} // namespace sycamoretray
