#include "key_ownership/key_load.h"

#include "documents/cbor.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace sycamoretray
{

namespace
{

using nlohmann::json;

// The decay is applied to every key, which is too expensive to do on each call.
constexpr time_span agingInterval = std::chrono::milliseconds(200);
constexpr double minSlowness = 0.3;
constexpr double maxSlowness = 6;
// Weight, in requests, of the assumption that an endpoint has typical speed and no failures.
constexpr double assumedRequestCount = 3;
constexpr time_span reportLifetime = std::chrono::seconds(5);

double seconds(time_span span)
{
    return std::chrono::duration<double>(span).count();
}

/** Adds up in four independent sums, because the processor would wait for each addition to a single one. */
double sumOf(const std::vector<float> &values, key_range keys)
{
    std::array<double, 4> sums{};
    std::uint32_t key = keys.first;
    for (; key + sums.size() <= keys.last + 1; key += sums.size()) {
        for (std::uint32_t i = 0; i < sums.size(); ++i) {
            sums[i] += values[key + i];
        }
    }
    for (; key <= keys.last; ++key) {
        sums[0] += values[key];
    }
    return sums[0] + sums[1] + sums[2] + sums[3];
}

std::optional<request_rate> decodeLimit(const json &limit)
{
    return limit.is_null() ? std::nullopt : toRequestRate(limit.get<double>());
}

} // namespace

std::string encodeLoadReport(const load_report &report)
{
    json keys = json::array();
    for (const key_demand &each : report.keys) {
        keys.push_back(each.key.value());
        keys.push_back(each.work.count());
    }
    json endpoints = json::array();
    for (const endpoint_work &each : report.endpoints) {
        const json limit = each.requestLimit ? json(each.requestLimit->value()) : json();
        endpoints.push_back(json::array({ each.endpoint.value(), each.requests, each.measured.count(), each.expected.count(), each.failures, limit }));
    }
    return encodeCbor(json::array({ report.instance.value(), report.service.value(), std::move(keys), std::move(endpoints) }));
}

std::optional<load_report> decodeLoadReport(std::string_view data)
{
    try {
        const json document = decodeCbor(data);
        load_report report;
        report.instance = instance_id(document.at(0).get<std::string>());
        report.service = service_id(document.at(1).get<std::string>());
        const json &keys = document.at(2);
        for (std::size_t i = 0; i + 1 < keys.size(); i += 2) {
            report.keys.push_back({ key_number(keys.at(i).get<std::uint16_t>()), time_span(keys.at(i + 1).get<std::int64_t>()) });
        }
        for (const json &row : document.at(3)) {
            report.endpoints.push_back({ endpoint_id(row.at(0).get<std::string>()),
                                         row.at(1).get<std::uint32_t>(),
                                         time_span(row.at(2).get<std::int64_t>()),
                                         time_span(row.at(3).get<std::int64_t>()),
                                         row.at(4).get<std::uint32_t>(),
                                         decodeLimit(row.at(5)) });
        }
        return report;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

key_load::key_load()
    : m_demand(keyCount)
    , m_recentDemand(keyCount)
{
}

void key_load::add(const load_report &report, monotonic_time now)
{
    for (const key_demand &each : report.keys) {
        m_demand[each.key.value()] += static_cast<float>(seconds(each.work) / averagingSeconds);
        m_recentDemand[each.key.value()] += static_cast<float>(seconds(each.work) / recentAveragingSeconds);
    }
    for (const endpoint_work &each : report.endpoints) {
        endpoint_average &average = m_endpoints[each.endpoint];
        average.measured += seconds(each.measured);
        average.expected += seconds(each.expected);
        average.requests += each.requests;
        average.failures += each.failures;
        average.requestLimit = each.requestLimit;
    }
    m_instances[report.instance] = now;
}

void key_load::advance(monotonic_time now)
{
    if (!m_lastAdvance) {
        m_lastAdvance = now;
        return;
    }
    if (now - *m_lastAdvance < agingInterval) {
        return;
    }
    const double decay = std::exp2(-seconds(now - *m_lastAdvance) / halfLifeSeconds);
    const double recentDecay = std::exp2(-seconds(now - *m_lastAdvance) / recentHalfLifeSeconds);
    m_lastAdvance = now;
    for (float &each : m_demand) {
        each *= static_cast<float>(decay);
    }
    for (float &each : m_recentDemand) {
        each *= static_cast<float>(recentDecay);
    }
    for (auto &[id, average] : m_endpoints) {
        average.measured *= decay;
        average.expected *= decay;
        average.requests *= decay;
        average.failures *= decay;
    }
    std::erase_if(m_endpoints, [](const auto &item) {
        constexpr double minRequests = 0.001;
        return item.second.requests + item.second.failures < minRequests;
    });
    std::erase_if(m_instances, [&](const auto &item) {
        return now - item.second > reportLifetime;
    });
}

double key_load::demand(key_range keys) const
{
    return sumOf(m_demand, keys);
}

double key_load::demand(std::uint32_t key) const
{
    return m_demand[key];
}

double key_load::recentDemand(key_range keys) const
{
    return sumOf(m_recentDemand, keys);
}

double key_load::slowness(const endpoint_id &endpoint) const
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end() || found->second.requests <= 0 || found->second.expected <= 0) {
        return 1;
    }
    const double assumed = assumedRequestCount * found->second.expected / found->second.requests;
    return std::clamp((found->second.measured + assumed) / (found->second.expected + assumed), minSlowness, maxSlowness);
}

double key_load::failureShare(const endpoint_id &endpoint) const
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end()) {
        return 0;
    }
    return found->second.failures / (found->second.requests + found->second.failures + assumedRequestCount);
}

std::optional<request_rate> key_load::requestLimit(const endpoint_id &endpoint) const
{
    const auto found = m_endpoints.find(endpoint);
    return found == m_endpoints.end() ? std::nullopt : found->second.requestLimit;
}

double key_load::meanWork() const
{
    double work = 0;
    double requests = 0;
    for (const auto &[id, average] : m_endpoints) {
        work += average.expected;
        requests += average.requests;
    }
    return requests > 0 ? work / requests : 0;
}

std::uint32_t key_load::instances() const noexcept
{
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(m_instances.size()));
}

} // namespace sycamoretray
