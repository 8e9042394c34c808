#include "controller/state_dump.h"

#include "documents/json_text.h"

#include <nlohmann/json.hpp>

namespace sycamoretray
{

namespace
{

using json = nlohmann::json;

const char *phaseName(lease_phase phase)
{
    switch (phase) {
    case lease_phase::contacting:
        return "contacting";
    case lease_phase::waiting:
        return "waiting";
    case lease_phase::granting:
        return "granting";
    case lease_phase::declared_lost:
        return "declared_lost";
    case lease_phase::down:
        break;
    }
    return "down";
}

json documentsOf(const control_state &state)
{
    json result = json::array();
    for (const published_document &document : state.configuration().documents()) {
        const char *kind = document.kind == document_kind::template_document ? "template" : "parameters";
        result.push_back({ { "kind", kind }, { "name", document.name }, { "version", document.version } });
    }
    return result;
}

json confirmersOf(const control_state &state)
{
    const confirmer_set &confirmers = state.confirmers();
    json result = { { "members", json::array() }, { "previous", json::array() }, { "change", confirmers.changeNumber() }, { "pending", confirmers.pending() } };
    for (const incarnation_id &member : confirmers.members()) {
        result["members"].push_back(member.value());
    }
    for (const incarnation_id &member : confirmers.previous()) {
        result["previous"].push_back(member.value());
    }
    return result;
}

json instancesOf(const dump_inputs &inputs)
{
    json result = json::array();
    for (const auto &[incarnation, instance] : inputs.context.state.instances()) {
        if (!instance.hasLeft()) {
            result.push_back({ { "instance", instance.instance.value() },
                               { "incarnation", incarnation.value() },
                               { "availability_zone", instance.zone.value() },
                               { "peer_address", instance.peerAddress.value() },
                               { "caller_address", instance.callerAddress.value() },
                               { "alive", inputs.peers.alive(incarnation) },
                               { "confirmer", inputs.context.state.confirmers().members().contains(incarnation) },
                               { "reported_position", inputs.peers.reported(incarnation).value() } });
        }
    }
    return result;
}

json serversOf(const dump_inputs &inputs)
{
    json result = json::array();
    for (const auto &[id, server] : inputs.context.state.servers()) {
        const slot_table *table = inputs.context.state.findTable(server.service);
        json entry = { { "server", id.value() },
                       { "service", server.service.value() },
                       { "home", server.home.value() },
                       { "term", server.term.value() },
                       { "up", server.up },
                       { "draining", server.draining },
                       { "removed", server.removed },
                       { "slots", table == nullptr ? 0 : table->slotCount(id) } };
        const auto lease = inputs.homes.leases().find(id);
        if (lease != inputs.homes.leases().end()) {
            entry["lease"] = { { "phase", phaseName(lease->second->phase()) },
                               { "silence_ms", lease->second->timeSinceReply().count() / 1000 },
                               { "bound_us", lease->second->leaseEndBound().time_since_epoch().count() } };
        }
        result.push_back(std::move(entry));
    }
    return result;
}

std::uint64_t unservedSlots(const control_state &state)
{
    std::uint64_t count = 0;
    for (const auto &[service, table] : state.slotTables()) {
        count += table.unownedCount();
    }
    return count;
}

} // namespace

std::string hexText(const std::string &bytes)
{
    static constexpr const char *digits = "0123456789abcdef";
    std::string result;
    for (const char byte : bytes) {
        result.push_back(digits[(static_cast<unsigned char>(byte) >> 4U) & 15U]);
        result.push_back(digits[static_cast<unsigned char>(byte) & 15U]);
    }
    return result;
}

std::string dumpState(const dump_inputs &inputs, monotonic_time now)
{
    const control_state &state = inputs.context.state;
    const time_span age = now - inputs.evidence.newest();
    const json result = { { "instance", inputs.context.settings.instance.value() },
                          { "incarnation", inputs.context.self().value() },
                          { "position", state.position().value() },
                          { "digest", hexText(state.digest()) },
                          { "joined", inputs.context.joined() },
                          { "stopping", inputs.context.stopping },
                          { "log", { { "reachable", inputs.logReachable }, { "evidence_age_ms", age.count() / 1000 } } },
                          { "queued_records", inputs.queuedRecords },
                          { "documents", documentsOf(state) },
                          { "confirmers", confirmersOf(state) },
                          { "instances", instancesOf(inputs) },
                          { "servers", serversOf(inputs) },
                          { "unserved_slots", unservedSlots(state) } };
    return toJsonText(result);
}

} // namespace sycamoretray
