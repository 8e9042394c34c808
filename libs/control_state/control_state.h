#pragma once

#include "base/ids.h"
#include "configuration/configuration_set.h"
#include "control_state/confirmer_set.h"
#include "control_state/slot_table.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamoretray
{

struct instance_state {
    instance_id instance;
    availability_zone zone;
    network_address peerAddress;
    network_address callerAddress;
    network_address adminAddress;
    log_offset joined;
    /** Offset of instance_left; 0 while the instance has not left. */
    log_offset left;
    /** Highest applied sequence of this author. */
    std::uint64_t sequence = 0;

    bool hasLeft() const noexcept
    {
        return left.value() != 0;
    }
};

struct server_state {
    service_id service;
    endpoint_definition endpoint;
    incarnation_id home;
    home_term term;
    home_term previousTerm;
    bool up = false;
    /** Was lost before; it must answer for some time before it is marked up again. */
    bool wasLost = false;
    bool draining = false;
    std::string drainedBy;
    /** No longer configured; kept until it owns no slot and no hot key. */
    bool removed = false;

    /** True if the server may receive slots. */
    bool eligible() const noexcept
    {
        return up && !draining && !removed;
    }
};

enum class record_verdict {
    applied,
    /** The precondition of the record is not met. */
    ignored,
    /** A record with this id was processed before. */
    duplicate,
    /** The record cannot be decoded. */
    corrupt,
};

struct apply_outcome {
    record_verdict verdict = record_verdict::ignored;
    /** Why the record had no effect; empty if it was applied. */
    std::string reason;
    /** Null if corrupt. */
    std::shared_ptr<const pb::Record> record;
    /** For a published document: the version in force after the record. */
    std::uint64_t currentVersion = 0;
};

/**
 * Replicated state that every instance computes by replaying the control stream in order.
 *
 * A violated invariant (a token, a term or the configuration version decreases) terminates the process. Thread safety: none.
 */
class control_state
{
public:
    /** The state before the first record. */
    control_state() = default;

    /** All records below this offset are applied. */
    log_offset position() const noexcept;

    /** Applies the record at position(). Does not fail: a record without effect still advances the position. */
    apply_outcome apply(std::string_view data);

    /** XXH3-128 hash of encode(), 16 bytes. Equal states have equal digests. */
    const std::string &digest() const;

    /** Returns the canonical encoding, a pb::StateSnapshot. */
    std::string encode() const;

    /** Decodes a result of encode(). Returns nothing if @p data is not consistent. */
    static std::optional<control_state> decode(std::string_view data);

    /**
     * Checks that @p newer can replace this state. Terminates the process if its position, its configuration version, a term or a token
     * is lower than here, or if a slot has another owner under the same token.
     */
    void requireNotNewerThan(const control_state &newer) const;

    const std::map<incarnation_id, instance_state> &instances() const noexcept;
    const std::map<server_id, server_state> &servers() const noexcept;
    const std::map<service_id, slot_table> &slotTables() const noexcept;
    const confirmer_set &confirmers() const noexcept;
    const configuration_set &configuration() const noexcept;

    /** The find functions return nullptr if there is no such entry. The result is valid until the next apply(). */
    const server_state *findServer(const server_id &server) const;
    const slot_table *findTable(const service_id &service) const;
    const instance_state *findInstance(const incarnation_id &incarnation) const;

    /** Returns the servers of @p table in its order; those in @p avoid are not eligible. */
    placement_servers placementServers(const slot_table &table, const std::vector<server_id> &avoid = {}) const;

    /** True if another server of the same service is eligible for the slots of @p server. */
    bool hasOtherEligible(const server_id &server) const;

private:
    friend class record_applier;

    log_offset m_position = log_offset(1);
    std::map<incarnation_id, instance_state> m_instances;
    std::map<server_id, server_state> m_servers;
    std::map<service_id, slot_table> m_slotTables;
    confirmer_set m_confirmers;
    configuration_set m_configuration;
    mutable std::string m_digest;
};

} // namespace sycamoretray
