#include "control_state/control_state.h"

#include "control_state/invariant.h"
#include "control_state/record_applier.h"

#include <glog/logging.h>
#include <xxhash.h>

#include <algorithm>

namespace sycamoretray
{

void requireInvariant(bool condition, std::string_view invariant, std::string_view detail)
{
    if (!condition) {
        LOG(FATAL) << "event=invariant_violated invariant=\"" << invariant << "\" detail=\"" << detail << '"';
    }
}

log_offset control_state::position() const noexcept
{
    return m_position;
}

apply_outcome control_state::apply(std::string_view data)
{
    const std::uint64_t version = m_configuration.version();
    const log_offset offset = m_position;
    m_position = log_offset(offset.value() + 1);
    m_digest.clear();
    apply_outcome outcome = record_applier(*this, offset).apply(data);
    requireInvariant(m_configuration.version() >= version, "the configuration version never falls", std::to_string(offset.value()));
    return outcome;
}

const std::string &control_state::digest() const
{
    if (m_digest.empty()) {
        const std::string data = encode();
        XXH128_canonical_t canonical;
        XXH128_canonicalFromHash(&canonical, XXH3_128bits(data.data(), data.size()));
        m_digest.assign(reinterpret_cast<const char *>(canonical.digest), sizeof canonical.digest);
    }
    return m_digest;
}

void control_state::requireNotNewerThan(const control_state &newer) const
{
    requireInvariant(newer.m_position >= m_position, "a snapshot does not go back", std::to_string(newer.m_position.value()));
    requireInvariant(
        newer.m_configuration.version() >= m_configuration.version(), "the configuration version never falls", std::to_string(newer.m_configuration.version()));
    for (const auto &[id, server] : m_servers) {
        const server_state *other = newer.findServer(id);
        requireInvariant(other == nullptr || other->term >= server.term, "terms only grow", id.value());
    }
    for (const auto &[service, table] : m_slotTables) {
        const slot_table *other = newer.findTable(service);
        for (std::uint32_t slot = 0; other != nullptr && slot < hashSlotCount; ++slot) {
            const hash_slot s(static_cast<std::uint16_t>(slot));
            requireInvariant(other->tokenOf(s) >= table.tokenOf(s), "fencing tokens only grow", service.value());
            requireInvariant(
                other->tokenOf(s) > table.tokenOf(s) || other->ownerOf(s) == table.ownerOf(s), "an acknowledged assignment is not lost", service.value());
        }
    }
}

const std::map<incarnation_id, instance_state> &control_state::instances() const noexcept
{
    return m_instances;
}

const std::map<server_id, server_state> &control_state::servers() const noexcept
{
    return m_servers;
}

const std::map<service_id, slot_table> &control_state::slotTables() const noexcept
{
    return m_slotTables;
}

const confirmer_set &control_state::confirmers() const noexcept
{
    return m_confirmers;
}

const configuration_set &control_state::configuration() const noexcept
{
    return m_configuration;
}

const server_state *control_state::findServer(const server_id &server) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? nullptr : &found->second;
}

const slot_table *control_state::findTable(const service_id &service) const
{
    const auto found = m_slotTables.find(service);
    return found == m_slotTables.end() ? nullptr : &found->second;
}

const instance_state *control_state::findInstance(const incarnation_id &incarnation) const
{
    const auto found = m_instances.find(incarnation);
    return found == m_instances.end() ? nullptr : &found->second;
}

placement_servers control_state::placementServers(const slot_table &table, const std::vector<server_id> &avoid) const
{
    placement_servers result;
    for (const server_id &id : table.servers()) {
        const server_state *server = findServer(id);
        const bool avoided = std::find(avoid.begin(), avoid.end(), id) != avoid.end();
        result.push_back(placement_server{ id, server != nullptr && server->eligible() && !avoided });
    }
    return result;
}

bool control_state::hasOtherEligible(const server_id &server) const
{
    const server_state *own = findServer(server);
    return own != nullptr && std::any_of(m_servers.begin(), m_servers.end(), [&](const auto &entry) {
               return entry.first != server && entry.second.service == own->service && entry.second.eligible();
           });
}

} // namespace sycamoretray
