#pragma once

#include "control_state/control_state.h"

#include <string_view>

namespace sycamoretray
{

/** Checks the precondition of one record and carries out its effect. docs/design.md, section 5. Thread safety: none. */
class record_applier
{
public:
    /** @p offset is the offset of the record. */
    record_applier(control_state &state, log_offset offset);

    apply_outcome apply(std::string_view data);

private:
    bool acceptAuthor(const pb::Record &record);
    bool dispatch(const pb::Record &record);
    bool joined(const std::string &author, std::uint64_t sequence, const pb::InstanceJoined &body);
    bool left(const pb::InstanceLeft &body);
    bool confirmersReset(const pb::ConfirmersReset &body);
    bool published(document_kind kind, const pb::DocumentPublished &body);
    bool homeClaimed(const pb::HomeClaimed &body);
    bool serverUp(const pb::ServerUp &body);
    bool serverLost(const pb::ServerLost &body);
    bool slotsMoved(const pb::SlotsMoved &body);
    bool keyMoved(const pb::KeyMoved &body);
    bool endpointDrain(const pb::EndpointDrain &body);

    /** Returns the server if @p term is current and the author is its home, else nullptr with a reason. */
    server_state *homedServer(const std::string &server, std::uint64_t term);
    slot_table *tableOf(const server_state &server);
    bool reject(const char *reason);
    void applyConfiguration();
    void addServer(const effective_service &service, const endpoint_definition &endpoint);
    void purgeRemovedServers();
    void forgetOldInstances();

    control_state &m_state;
    log_offset m_offset;
    incarnation_id m_author;
    apply_outcome m_outcome;
};

} // namespace sycamoretray
