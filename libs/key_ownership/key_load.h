#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
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
    /** Sum of the usual times of these kinds of request. */
    time_span expected{};
    /** Requests that the endpoint failed or refused. */
    std::uint32_t failures = 0;
};

/** Demand for one key during a report interval. */
struct key_demand {
    key_number key;
    /** Usual time of the kinds of request that asked for it, summed over the requests. */
    time_span work{};
};

/** What an instance tells the assigner of a service. */
struct load_report {
    instance_id instance;
    service_id service;
    std::vector<key_demand> keys;
    std::vector<endpoint_work> endpoints;
};

/** Encodes @p report as CBOR. Thread-safe. */
std::string encodeLoadReport(const load_report &report);

/** Decodes a report; nothing if @p data is malformed. Thread-safe. */
std::optional<load_report> decodeLoadReport(std::string_view data);

/**
 * Demand for each key of a service and speed of its endpoints, as exponential averages.
 *
 * Thread safety: none.
 */
class key_load
{
public:
    /** A hot key lasts a few seconds: averages have to follow within one and still smooth over single requests. */
    static constexpr double halfLifeSeconds = 1.2;
    /** What is averaged adds up to rate x (half-life / ln 2). */
    static constexpr double averagingSeconds = halfLifeSeconds / 0.6931;

    key_load();

    void add(const load_report &report, monotonic_time now);

    /** Ages the averages. Call it several times per half-life. */
    void advance(monotonic_time now);

    /** Usual work per second that is asked of the keys: 1 keeps one worker slot of an endpoint of usual speed busy. */
    double demand(key_range keys) const;
    double demand(std::uint32_t key) const;

    /** Usual work of a request; 0 if nothing is known. */
    double meanWork() const;

    /** How much longer requests take at @p endpoint than usual; 1 if nothing is known. */
    double slowness(const endpoint_id &endpoint) const;

    /** Share of the requests at @p endpoint that fail; 0 if nothing is known. */
    double failureShare(const endpoint_id &endpoint) const;

    /** Instances that reported lately. At least 1. */
    std::uint32_t instances() const noexcept;

private:
    struct endpoint_average {
        double measured = 0;
        double expected = 0;
        double requests = 0;
        double failures = 0;
    };

    std::vector<float> m_demand;
    std::map<endpoint_id, endpoint_average> m_endpoints;
    std::map<instance_id, monotonic_time> m_instances;
    std::optional<monotonic_time> m_advanced;
};

} // namespace sycamoretray
