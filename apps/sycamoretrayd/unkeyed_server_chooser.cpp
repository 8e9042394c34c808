#include "sycamoretrayd/unkeyed_server_chooser.h"

#include <xxhash.h>

#include <algorithm>
#include <vector>

namespace sycamoretray
{

namespace
{

// Instances receive a change at different times, and the creation times of ids may be this far ahead of their clocks.
constexpr std::chrono::milliseconds availabilityChangeMargin(500);

std::uint64_t hashText(const std::string &text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace

unkeyed_server_chooser::unkeyed_server_chooser(std::uint64_t seed)
    : m_seed(seed)
{
}

unkeyed_server_chooser::choice unkeyed_server_chooser::choose(const routed_service &service, const dispatch_request &request)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_services.find(service.service.name);
    if (found == m_services.end()) {
        return {};
    }
    if (request.nonIdempotent && request.callerSuppliedId) {
        return chooseById(found->second, request);
    }
    const std::optional<server_id> server = found->second.chooser.choose();
    return server ? choice{ result_code::ok, *server } : choice{};
}

unkeyed_server_chooser::choice unkeyed_server_chooser::chooseById(const service_state &service, const dispatch_request &request)
{
    const std::uint64_t seed = hashText(request.requestId.value(), 0);
    std::vector<std::pair<std::uint64_t, const server_id *>> ranked;
    for (const auto &[server, availability] : service.servers) {
        ranked.emplace_back(hashText(server.value(), seed), &server);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    for (const auto &[score, server] : ranked) {
        const server_availability &availability = service.servers.at(*server);
        if (availability.available) {
            return { result_code::ok, *server };
        }
        if (availability.changedAt + availabilityChangeMargin >= request.created) {
            // The request may have run on the unavailable server, so it must not run on another.
            return { result_code::request_id_before_takeover, {} };
        }
    }
    return {};
}

void unkeyed_server_chooser::finished(const service_id &service, const server_id &server)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_services.find(service);
    if (found != m_services.end()) {
        found->second.chooser.finished(server);
    }
}

void unkeyed_server_chooser::applyLoadReport(const service_id &service, const server_id &server, std::uint32_t queued, std::uint32_t running)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_services.find(service);
    if (found != m_services.end()) {
        found->second.chooser.applyLoadReport(server, home_load{ queued + running, 0 });
    }
}

void unkeyed_server_chooser::update(const routing_table &table, wall_time now)
{
    const std::lock_guard lock(m_mutex);
    for (const routed_service &routed : table.services()) {
        if (routed.service.dividedByKey) {
            continue;
        }
        service_state &service = m_services.try_emplace(routed.service.name, m_seed).first->second;
        std::vector<home_candidate> candidates;
        for (const server_route &route : routed.servers) {
            const bool available = route.up && !route.draining && !route.home.value().empty();
            const auto [known, isNew] = service.servers.try_emplace(route.endpoint.server, server_availability{ available, now });
            if (!isNew && known->second.available != available) {
                known->second = { available, now };
            }
            candidates.push_back({ route.endpoint.server, route.endpoint.workerSlots, available });
        }
        std::erase_if(service.servers, [&](const auto &item) {
            return std::none_of(routed.servers.begin(), routed.servers.end(), [&](const server_route &route) {
                return route.endpoint.server == item.first;
            });
        });
        service.chooser.setCandidates(candidates);
    }
}

} // namespace sycamoretray
