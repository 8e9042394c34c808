#pragma once

#include "control_state/control_state.h"

#include <string_view>

namespace sycamoretray
{

/** Checks the precondition of one record and applies its effect to the state. docs/design.md, section 5. Thread safety: none. */
class record_applier
{
public:
    /** @p offset is the offset of the record. */
    record_applier(control_state &state, log_offset offset);

    apply_outcome apply(std::string_view data);

private:
    bool acceptAuthor(const pb::Record &record);
    bool dispatch(const pb::Record &record);
    bool applyInstanceJoined(const std::string &author, std::uint64_t sequence, const pb::InstanceJoined &body);
    bool applyInstanceLeft(const pb::InstanceLeft &body);
    bool applyConfirmersReset(const pb::ConfirmersReset &body);
    bool applyDocumentPublished(document_kind kind, const pb::DocumentPublished &body);
    bool applyHomeClaimed(const pb::HomeClaimed &body);
    bool applyServerUp(const pb::ServerUp &body);
    bool applyServerLost(const pb::ServerLost &body);
    bool applySlotsMoved(const pb::SlotsMoved &body);
    bool applyKeyMoved(const pb::KeyMoved &body);
    bool applyEndpointDrain(const pb::EndpointDrain &body);

    /** Returns the server if @p term is current and the author is its home; otherwise sets a reason and returns nullptr. */
    server_state *findServerOfAuthor(const std::string &server, std::uint64_t term);
    slot_table *tableOf(const server_state &server);
    /** Sets the reason and returns false. */
    bool reject(const char *reason);
    void applyConfiguration();
    void addServer(const effective_service &service, const endpoint_definition &endpoint);
    /** Erases servers that are no longer configured and own nothing. */
    void purgeRemovedServers();
    void pruneLeftInstances();

    control_state &m_state;
    log_offset m_offset;
    incarnation_id m_author;
    apply_outcome m_outcome;
};

} // namespace sycamoretray
