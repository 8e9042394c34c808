#include "control_state/control_state.h"
#include "control_state/record_applier.h"

namespace sycamoretray
{

namespace
{

void encodeInstance(pb::StateSnapshot::Instance &out, const incarnation_id &incarnation, const instance_state &in)
{
    out.set_incarnation(incarnation.value());
    pb::InstanceJoined &joined = *out.mutable_joined();
    joined.set_instance(in.instance.value());
    joined.set_zone(in.zone.value());
    joined.set_peer_address(in.peerAddress.value());
    joined.set_caller_address(in.callerAddress.value());
    joined.set_admin_address(in.adminAddress.value());
    out.set_joined_offset(in.joined.value());
    out.set_left_offset(in.left.value());
    out.set_sequence(in.sequence);
}

instance_state decodeInstance(const pb::StateSnapshot::Instance &in)
{
    instance_state out;
    out.instance = instance_id(in.joined().instance());
    out.zone = availability_zone(in.joined().zone());
    out.peerAddress = network_address(in.joined().peer_address());
    out.callerAddress = network_address(in.joined().caller_address());
    out.adminAddress = network_address(in.joined().admin_address());
    out.joined = log_offset(in.joined_offset());
    out.left = log_offset(in.left_offset());
    out.sequence = in.sequence();
    return out;
}

void encodeServer(pb::StateSnapshot::Server &out, const server_id &server, const server_state &in)
{
    out.set_server(server.value());
    out.set_service(in.service.value());
    out.set_home(in.home.value());
    out.set_term(in.term.value());
    out.set_previous_term(in.previousTerm.value());
    out.set_up(in.up);
    out.set_was_lost(in.wasLost);
    out.set_draining(in.draining);
    out.set_drained_by(in.drainedBy);
    out.set_removed(in.removed);
    out.set_address(in.endpoint.address.value());
    out.set_zone(in.endpoint.zone.value());
    out.set_worker_slots(in.endpoint.workerSlots);
    out.set_checks_tokens(in.endpoint.checksTokens);
}

server_state decodeServer(const pb::StateSnapshot::Server &in)
{
    server_state out;
    out.service = service_id(in.service());
    out.home = incarnation_id(in.home());
    out.term = home_term(in.term());
    out.previousTerm = home_term(in.previous_term());
    out.up = in.up();
    out.wasLost = in.was_lost();
    out.draining = in.draining();
    out.drainedBy = in.drained_by();
    out.removed = in.removed();
    out.endpoint.server = server_id(in.server());
    out.endpoint.address = network_address(in.address());
    out.endpoint.zone = availability_zone(in.zone());
    out.endpoint.workerSlots = in.worker_slots();
    out.endpoint.checksTokens = in.checks_tokens();
    return out;
}

void encodeConfirmers(pb::StateSnapshot &out, const confirmer_set &in)
{
    for (const incarnation_id &member : in.members()) {
        out.add_confirmers(member.value());
    }
    for (const incarnation_id &member : in.previous()) {
        out.add_previous_confirmers(member.value());
    }
    out.set_confirmer_change(in.changeNumber());
    out.set_confirmer_change_pending(in.pending());
    out.set_confirmer_change_offset(in.changeOffset().value());
}

confirmer_set decodeConfirmers(const pb::StateSnapshot &in)
{
    confirmer_set out;
    out.restore({ in.confirmers().begin(), in.confirmers().end() },
                { in.previous_confirmers().begin(), in.previous_confirmers().end() },
                in.confirmer_change(),
                in.confirmer_change_pending(),
                log_offset(in.confirmer_change_offset()));
    return out;
}

std::vector<published_document> decodeDocuments(const pb::StateSnapshot &in)
{
    std::vector<published_document> out;
    for (const auto &document : in.documents()) {
        const auto kind = document.kind() == 0 ? document_kind::template_document : document_kind::parameter_set;
        out.push_back(published_document{ kind, document.name(), document.version(), document.text() });
    }
    return out;
}

} // namespace

std::string control_state::encode() const
{
    pb::StateSnapshot out;
    out.set_next_offset(m_position.value());
    for (const auto &[incarnation, instance] : m_instances) {
        encodeInstance(*out.add_instances(), incarnation, instance);
    }
    encodeConfirmers(out, m_confirmers);
    for (const published_document &document : m_configuration.documents()) {
        auto *entry = out.add_documents();
        entry->set_kind(document.kind == document_kind::template_document ? 0 : 1);
        entry->set_name(document.name);
        entry->set_version(document.version);
        entry->set_text(document.text);
    }
    for (const auto &[id, server] : m_servers) {
        encodeServer(*out.add_servers(), id, server);
    }
    for (const auto &[service, table] : m_slotTables) {
        auto *entry = out.add_slot_tables();
        entry->set_service(service.value());
        table.encode(*entry);
    }
    return out.SerializeAsString();
}

std::optional<control_state> control_state::decode(std::string_view data)
{
    pb::StateSnapshot in;
    if (!in.ParseFromArray(data.data(), static_cast<int>(data.size())) || in.next_offset() == 0) {
        return std::nullopt;
    }
    control_state out;
    out.m_position = log_offset(in.next_offset());
    for (const auto &instance : in.instances()) {
        out.m_instances[incarnation_id(instance.incarnation())] = decodeInstance(instance);
    }
    out.m_confirmers = decodeConfirmers(in);
    if (out.m_configuration.restore(decodeDocuments(in))) {
        return std::nullopt;
    }
    for (const auto &server : in.servers()) {
        out.m_servers[server_id(server.server())] = decodeServer(server);
    }
    for (const auto &table : in.slot_tables()) {
        if (!out.m_slotTables[service_id(table.service())].decode(table)) {
            return std::nullopt;
        }
    }
    return out;
}

} // namespace sycamoretray
