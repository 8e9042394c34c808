#include "gateway/detail/gateway_state.h"

#include "documents/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>

namespace sycamoretray::detail
{

namespace
{

// Assumed number of instances before it is known.
constexpr std::uint32_t initialInstances = 16;

} // namespace

gateway_state::gateway_state(gateway_settings givenSettings, endpoint_port &givenPort, gateway_log givenLog)
    : settings(std::move(givenSettings))
    , port(givenPort)
    , log(std::move(givenLog))
    , lastPermit(settings.permitIdBase)
    , trafficSplits(std::hash<std::string>{}(settings.instance.value()))
{
}

service_retry_budget &gateway_state::retryBudget(const service_id &service)
{
    const auto [position, inserted] = retryBudgets.try_emplace(service, settings.retries);
    if (inserted && instances > 0) {
        position->second.setInstances(instances);
    }
    return position->second;
}

void gateway_state::setInstances(std::uint32_t count)
{
    instances = count;
    for (auto &[service, each] : retryBudgets) {
        each.setInstances(count);
    }
    for (auto &[incarnation, tracked] : trackedEndpoints) {
        tracked.limiter.setInstances(count);
    }
}

tracked_endpoint *gateway_state::findEndpoint(const endpoint_incarnation &incarnation)
{
    const auto found = trackedEndpoints.find(incarnation);
    return found == trackedEndpoints.end() ? nullptr : &found->second;
}

std::optional<request_rate> gateway_state::requestLimitOf(const endpoint_incarnation &incarnation)
{
    const tracked_endpoint *tracked = findEndpoint(incarnation);
    return tracked == nullptr ? std::nullopt : tracked->limiter.requestLimit();
}

std::vector<tracked_endpoint *> gateway_state::endpointsOf(const queue_id &queueId)
{
    std::vector<tracked_endpoint *> result;
    if (queueId.endpoint) {
        if (tracked_endpoint *tracked = findEndpoint(*queueId.endpoint)) {
            result.push_back(tracked);
        }
        return result;
    }
    for (const endpoint_incarnation &incarnation : endpointsOfService[queueId.service]) {
        result.push_back(findEndpoint(incarnation));
    }
    return result;
}

void gateway_state::updateEndpoints(const std::map<endpoint_id, listed_endpoint> &endpoints)
{
    for (auto &[incarnation, tracked] : trackedEndpoints) {
        tracked.limiter.unlist();
    }
    std::map<service_id, std::vector<listed_endpoint>> services;
    for (const auto &[id, endpoint] : endpoints) {
        const endpoint_incarnation &incarnation = endpoint.entry.incarnation;
        const auto [position, inserted] = trackedEndpoints.try_emplace(incarnation, endpoint);
        position->second.limiter.update(endpoint);
        position->second.limiter.setInstances(instances > 0 ? instances : initialInstances);
        position->second.stateSince = endpoint.stateSince;
        position->second.evacuatedSince = endpoint.evacuatedSince;
        services[endpoint.entry.service].push_back(endpoint);
    }
    endpointsOfService.clear();
    evacuatedServices.clear();
    for (const auto &[service, members] : services) {
        const std::vector<listed_endpoint> usable = usableForNewWork(members);
        for (const listed_endpoint &endpoint : usable) {
            endpointsOfService[service].push_back(endpoint.entry.incarnation);
        }
        const bool anyEvacuated = std::any_of(members.begin(), members.end(), [](const listed_endpoint &endpoint) {
            return endpoint.evacuatedSince.has_value();
        });
        if (usable.empty() && anyEvacuated) {
            evacuatedServices.insert(service);
        }
    }
    std::erase_if(failures, [&](const auto &item) {
        return !endpointsOfService.contains(item.first);
    });
    for (const auto &[service, incarnations] : endpointsOfService) {
        failures[service].setEndpoints(incarnations);
    }
    orderZones();
    removeUnlisted();
}

void gateway_state::orderZones()
{
    zonesOfService.clear();
    for (const auto &[service, incarnations] : endpointsOfService) {
        std::set<availability_zone> others;
        bool own = false;
        for (const endpoint_incarnation &incarnation : incarnations) {
            const endpoint_entry &entry = trackedEndpoints.at(incarnation).limiter.entry();
            own = own || entry.zone == settings.zone;
            others.insert(entry.zone);
        }
        others.erase(settings.zone);
        std::vector<availability_zone> zones(others.begin(), others.end());
        if (!zones.empty()) {
            const std::size_t first = std::hash<std::string>{}(settings.instance.value()) % zones.size();
            std::rotate(zones.begin(), zones.begin() + static_cast<std::ptrdiff_t>(first), zones.end());
        }
        if (own) {
            zones.insert(zones.begin(), settings.zone);
        }
        zonesOfService[service] = std::move(zones);
    }
}

void gateway_state::removeUnlisted()
{
    std::erase_if(trackedEndpoints, [](const auto &item) {
        return !item.second.limiter.isListed() && item.second.limiter.inFlight() == 0;
    });
}

bool gateway_state::isEjected(const service_id &service, const tracked_endpoint &tracked) const
{
    const auto found = failures.find(service);
    return found != failures.end() && found->second.isEjected(tracked.limiter.entry().incarnation);
}

bool gateway_state::acceptsKeyedRequests(const tracked_endpoint &tracked, monotonic_time now) const
{
    const bool drained = tracked.limiter.entry().draining && now - tracked.stateSince >= settings.drainTime;
    const bool evacuated = tracked.evacuatedSince && now - *tracked.evacuatedSince >= settings.evacuationTime;
    return tracked.limiter.isListed() && !drained && !evacuated;
}

bool gateway_state::isZoneUsed(const service_id &service, const availability_zone &zone) const
{
    const auto zones = zonesOfService.find(service);
    return zones != zonesOfService.end() && std::find(zones->second.begin(), zones->second.end(), zone) != zones->second.end();
}

void gateway_state::removeFromQueue(unanswered_request &request)
{
    parked.erase(request.id);
    if (request.state == request_state::queued && request.queueId) {
        const auto queue = queues.find(*request.queueId);
        if (queue != queues.end()) {
            queue->second.erase(queue_position(request));
        }
    }
    request.queueId.reset();
    request.state = request_state::parked;
}

void gateway_state::remove(unanswered_request &request)
{
    removeFromQueue(request);
    requests.erase(request.id);
}

void gateway_state::wakeAt(const unanswered_request &request, monotonic_time time)
{
    timers.emplace(time, timer{ request.id, std::nullopt });
}

void gateway_state::wakeQueue(const queue_id &queueId, monotonic_time now)
{
    if (queueTimers.contains(queueId)) {
        return;
    }
    monotonic_time first = monotonic_time::max();
    for (const tracked_endpoint *tracked : endpointsOf(queueId)) {
        if (tracked->limiter.blockedUntil() > now) {
            first = std::min(first, tracked->limiter.blockedUntil());
        }
    }
    if (const auto found = failures.find(queueId.service); !queueId.endpoint && found != failures.end()) {
        first = std::min(first, found->second.nextTrial(now));
    }
    if (first != monotonic_time::max()) {
        queueTimers.insert(queueId);
        timers.emplace(first, timer{ {}, queueId });
    }
}

std::string gateway_state::dump(monotonic_time now) const
{
    nlohmann::json endpoints = nlohmann::json::array();
    for (const auto &[incarnation, tracked] : trackedEndpoints) {
        const std::optional<request_rate> &limit = tracked.limiter.requestLimit();
        endpoints.push_back({ { "endpoint", incarnation.endpoint.value() },
                              { "service", tracked.limiter.entry().service.value() },
                              { "zone", tracked.limiter.entry().zone.value() },
                              { "draining", tracked.limiter.entry().draining },
                              { "evacuated", tracked.evacuatedSince.has_value() },
                              { "listed", tracked.limiter.isListed() },
                              { "in_flight", tracked.limiter.inFlight() },
                              { "load", tracked.limiter.estimatedLoad(now) },
                              { "slowness", tracked.limiter.slowness() },
                              { "ejected", isEjected(tracked.limiter.entry().service, tracked) },
                              { "momentary_slowness", tracked.limiter.momentarySlowness(now) },
                              { "request_limit", limit ? nlohmann::json(limit->value()) : nlohmann::json() } });
    }
    const nlohmann::json document = { { "config_version", routes ? nlohmann::json(routes->version()) : nlohmann::json() },
                                      { "unfinished", requests.size() },
                                      { "parked", parked.size() },
                                      { "asking_permits", awaitingPermit.size() },
                                      { "endpoints", std::move(endpoints) } };
    return toJsonText(document, 1);
}

} // namespace sycamoretray::detail
