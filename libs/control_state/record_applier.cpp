#include "control_state/record_applier.h"

#include "control_state/invariant.h"

#include <algorithm>
#include <set>

namespace sycamoretray
{

namespace
{

/** Instances that left are kept to detect late copies of their records; 1024 entries cover a month at 33 restarts a day. */
constexpr std::size_t maxLeftInstances = 1024;

} // namespace

record_applier::record_applier(control_state &state, log_offset offset)
    : m_state(state)
    , m_offset(offset)
{
}

bool record_applier::reject(const char *reason)
{
    m_outcome.reason = reason;
    return false;
}

apply_outcome record_applier::apply(std::string_view data)
{
    auto record = std::make_shared<pb::Record>();
    if (!record->ParseFromArray(data.data(), static_cast<int>(data.size())) || record->author().empty() || record->body_case() == pb::Record::BODY_NOT_SET) {
        m_outcome.verdict = record_verdict::corrupt;
        m_outcome.reason = "cannot be decoded";
        return m_outcome;
    }
    m_outcome.record = record;
    m_author = incarnation_id(record->author());
    if (!acceptAuthor(*record)) {
        return m_outcome;
    }
    m_outcome.verdict = dispatch(*record) ? record_verdict::applied : record_verdict::ignored;
    return m_outcome;
}

bool record_applier::acceptAuthor(const pb::Record &record)
{
    const auto author = m_state.m_instances.find(m_author);
    if (author == m_state.m_instances.end()) {
        return record.has_instance_joined() || reject("author is unknown");
    }
    // An author sends one batch at a time, so a record whose sequence is not higher is a late copy of one that was processed before.
    if (record.sequence() <= author->second.sequence) {
        m_outcome.verdict = record_verdict::duplicate;
        return reject("record id was seen before");
    }
    author->second.sequence = record.sequence();
    return !author->second.hasLeft() || reject("author has left");
}

bool record_applier::dispatch(const pb::Record &record)
{
    switch (record.body_case()) {
    case pb::Record::kInstanceJoined:
        return applyInstanceJoined(record.author(), record.sequence(), record.instance_joined());
    case pb::Record::kInstanceLeft:
        return applyInstanceLeft(record.instance_left());
    case pb::Record::kConfirmersChanged: {
        const auto &body = record.confirmers_changed();
        const incarnation_id incarnation(body.incarnation());
        if (body.add() && (m_state.findInstance(incarnation) == nullptr || m_state.findInstance(incarnation)->hasLeft())) {
            return reject("new confirmer is not an instance");
        }
        return m_state.m_confirmers.change(body.change_number(), incarnation, body.add(), m_offset) || reject("change is not valid now");
    }
    case pb::Record::kConfirmersSettled:
        return m_state.m_confirmers.settle(record.confirmers_settled().change_number()) || reject("change is not pending");
    case pb::Record::kConfirmersReset:
        return applyConfirmersReset(record.confirmers_reset());
    case pb::Record::kTemplatePublished:
        return applyDocumentPublished(document_kind::template_document, record.template_published());
    case pb::Record::kParametersPublished:
        return applyDocumentPublished(document_kind::parameter_set, record.parameters_published());
    case pb::Record::kHomeClaimed:
        return applyHomeClaimed(record.home_claimed());
    case pb::Record::kServerUp:
        return applyServerUp(record.server_up());
    case pb::Record::kServerLost:
        return applyServerLost(record.server_lost());
    case pb::Record::kSlotsMoved:
        return applySlotsMoved(record.slots_moved());
    case pb::Record::kKeyMoved:
        return applyKeyMoved(record.key_moved());
    case pb::Record::kEndpointDrain:
        return applyEndpointDrain(record.endpoint_drain());
    case pb::Record::BODY_NOT_SET:
        break;
    }
    return reject("record type is unknown");
}

bool record_applier::applyInstanceJoined(const std::string &author, std::uint64_t sequence, const pb::InstanceJoined &body)
{
    const incarnation_id incarnation(author);
    if (m_state.m_instances.contains(incarnation)) {
        return reject("incarnation is known");
    }
    instance_state &instance = m_state.m_instances[incarnation];
    instance.instance = instance_id(body.instance());
    instance.zone = availability_zone(body.zone());
    instance.peerAddress = network_address(body.peer_address());
    instance.callerAddress = network_address(body.caller_address());
    instance.adminAddress = network_address(body.admin_address());
    instance.joined = m_offset;
    instance.sequence = sequence;
    return true;
}

bool record_applier::applyInstanceLeft(const pb::InstanceLeft &body)
{
    const incarnation_id incarnation(body.incarnation());
    const auto found = m_state.m_instances.find(incarnation);
    if (found == m_state.m_instances.end() || found->second.hasLeft()) {
        return reject("incarnation is unknown or has left");
    }
    found->second.left = m_offset;
    for (auto &[id, server] : m_state.m_servers) {
        if (server.home == incarnation) {
            server.home = incarnation_id();
        }
    }
    pruneLeftInstances();
    return true;
}

void record_applier::pruneLeftInstances()
{
    std::vector<std::pair<log_offset, incarnation_id>> left;
    for (const auto &[incarnation, instance] : m_state.m_instances) {
        if (instance.hasLeft() && !m_state.m_confirmers.contains(incarnation)) {
            left.emplace_back(instance.left, incarnation);
        }
    }
    std::sort(left.begin(), left.end());
    for (std::size_t i = 0; i + maxLeftInstances < left.size(); ++i) {
        m_state.m_instances.erase(left[i].second);
    }
}

bool record_applier::applyConfirmersReset(const pb::ConfirmersReset &body)
{
    std::set<incarnation_id> members;
    for (const std::string &name : body.incarnations()) {
        const instance_state *instance = m_state.findInstance(incarnation_id(name));
        if (instance == nullptr || instance->hasLeft()) {
            return reject("new confirmer is not an instance");
        }
        members.insert(incarnation_id(name));
    }
    if (body.operator_name().empty() || members.empty() || members.size() > confirmer_set::maxSize) {
        return reject("operator is missing, or the number of confirmers is not between 1 and 9");
    }
    m_state.m_confirmers.reset(std::move(members), m_offset);
    return true;
}

bool record_applier::applyDocumentPublished(document_kind kind, const pb::DocumentPublished &body)
{
    const publish_result result = m_state.m_configuration.apply(kind, body.name(), body.base_version(), body.document(), m_offset.value());
    m_outcome.currentVersion = result.currentVersion;
    if (result.error) {
        m_outcome.reason = result.message;
        return false;
    }
    applyConfiguration();
    return true;
}

void record_applier::applyConfiguration()
{
    std::set<server_id> configured;
    for (const effective_service &service : m_state.m_configuration.services()) {
        for (const endpoint_definition &endpoint : service.endpoints) {
            addServer(service, endpoint);
            configured.insert(endpoint.server);
        }
        const auto table = m_state.m_slotTables.find(service.name);
        if (service.dividedByKey && table != m_state.m_slotTables.end()) {
            table->second.fillUnowned(m_state.placementServers(table->second), fencing_token(m_offset.value()));
        }
    }
    for (auto &[id, server] : m_state.m_servers) {
        server.removed = !configured.contains(id);
    }
    purgeRemovedServers();
}

void record_applier::addServer(const effective_service &service, const endpoint_definition &endpoint)
{
    server_state &server = m_state.m_servers[endpoint.server];
    server.service = service.name;
    server.endpoint = endpoint;
    server.removed = false;
    if (service.dividedByKey) {
        m_state.m_slotTables[service.name].addServer(endpoint.server);
    }
}

void record_applier::purgeRemovedServers()
{
    for (auto entry = m_state.m_servers.begin(); entry != m_state.m_servers.end();) {
        const auto table = m_state.m_slotTables.find(entry->second.service);
        const bool divided = table != m_state.m_slotTables.end();
        if (!entry->second.removed || (divided && table->second.ownsAnything(entry->first))) {
            ++entry;
            continue;
        }
        if (divided) {
            table->second.removeServer(entry->first);
            if (table->second.servers().empty()) {
                m_state.m_slotTables.erase(table);
            }
        }
        entry = m_state.m_servers.erase(entry);
    }
}

bool record_applier::applyHomeClaimed(const pb::HomeClaimed &body)
{
    const auto found = m_state.m_servers.find(server_id(body.server()));
    if (found == m_state.m_servers.end()) {
        return reject("server is unknown");
    }
    server_state &server = found->second;
    if (server.term.value() != body.previous_term()) {
        return reject("previous term is not the current one");
    }
    requireInvariant(m_offset.value() > server.term.value(), "terms only grow", body.server());
    server.previousTerm = server.term;
    server.term = home_term(m_offset.value());
    server.home = m_author;
    return true;
}

server_state *record_applier::findServerOfAuthor(const std::string &server, std::uint64_t term)
{
    const auto found = m_state.m_servers.find(server_id(server));
    if (found == m_state.m_servers.end()) {
        reject("server is unknown");
        return nullptr;
    }
    if (found->second.term.value() != term || found->second.home != m_author) {
        reject("term is not the current one");
        return nullptr;
    }
    return &found->second;
}

slot_table *record_applier::tableOf(const server_state &server)
{
    const auto found = m_state.m_slotTables.find(server.service);
    return found == m_state.m_slotTables.end() ? nullptr : &found->second;
}

bool record_applier::applyServerUp(const pb::ServerUp &body)
{
    server_state *server = findServerOfAuthor(body.server(), body.term());
    if (server == nullptr || server->up) {
        return server != nullptr ? reject("server is up") : false;
    }
    server->up = true;
    slot_table *table = tableOf(*server);
    if (table != nullptr) {
        table->fillUnowned(m_state.placementServers(*table), fencing_token(m_offset.value()));
    }
    return true;
}

bool record_applier::applyServerLost(const pb::ServerLost &body)
{
    server_state *server = findServerOfAuthor(body.server(), body.term());
    if (server == nullptr || !server->up) {
        return server != nullptr ? reject("server is not up") : false;
    }
    server->up = false;
    server->wasLost = true;
    slot_table *table = tableOf(*server);
    if (table == nullptr) {
        purgeRemovedServers();
        return true;
    }
    const std::vector<server_id> avoid(body.avoid().begin(), body.avoid().end());
    placement_servers targets = m_state.placementServers(*table, avoid);
    const auto noneEligible = [](const placement_servers &servers) {
        return std::none_of(servers.begin(), servers.end(), [](const placement_server &s) {
            return s.eligible;
        });
    };
    if (noneEligible(targets)) {
        targets = m_state.placementServers(*table);
    }
    table->redistribute(server_id(body.server()), targets, fencing_token(m_offset.value()));
    purgeRemovedServers();
    return true;
}

bool record_applier::applySlotsMoved(const pb::SlotsMoved &body)
{
    const server_state *from = findServerOfAuthor(body.from(), body.term());
    if (from == nullptr) {
        return false;
    }
    const server_state *to = m_state.findServer(server_id(body.to()));
    slot_table *table = tableOf(*from);
    if (table == nullptr || to == nullptr || !to->up || to->service != from->service || body.from() == body.to()) {
        return reject("receiving server is not up");
    }
    const std::set<std::uint32_t> slots(body.slots().begin(), body.slots().end());
    const bool allOwnedBySender = !slots.empty() && std::all_of(slots.begin(), slots.end(), [&](std::uint32_t slot) {
        return slot < hashSlotCount && table->ownerOf(hash_slot(static_cast<std::uint16_t>(slot))) == server_id(body.from());
    });
    if (!allOwnedBySender) {
        return reject("a slot has another owner");
    }
    for (const std::uint32_t slot : slots) {
        table->assign(hash_slot(static_cast<std::uint16_t>(slot)), server_id(body.to()), fencing_token(m_offset.value()));
    }
    purgeRemovedServers();
    return true;
}

bool record_applier::applyKeyMoved(const pb::KeyMoved &body)
{
    const server_state *from = findServerOfAuthor(body.from(), body.term());
    slot_table *table = from != nullptr ? tableOf(*from) : nullptr;
    if (table == nullptr) {
        return from != nullptr ? reject("service is not divided by key") : false;
    }
    if (table->ownerOfKey(body.key()) != server_id(body.from())) {
        return reject("key has another owner");
    }
    const bool known = table->exceptions().contains(body.key());
    const server_state *to = m_state.findServer(server_id(body.to()));
    if (body.to().empty() ? !known : (to == nullptr || !to->up || to->service != from->service || body.to() == body.from())) {
        return reject("receiving server is not up");
    }
    if (!known && table->exceptions().size() >= slot_table::maxExceptions) {
        return reject("exception table is full");
    }
    table->assignKey(body.key(), server_id(body.to()), fencing_token(m_offset.value()));
    purgeRemovedServers();
    return true;
}

bool record_applier::applyEndpointDrain(const pb::EndpointDrain &body)
{
    const auto found = m_state.m_servers.find(server_id(body.server()));
    if (found == m_state.m_servers.end() || found->second.draining == body.draining()) {
        return reject("server is unknown or already in that state");
    }
    found->second.draining = body.draining();
    found->second.drainedBy = body.draining() ? body.operator_name() : std::string();
    return true;
}

} // namespace sycamoretray
