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
    /** Was lost before; it must answer for a while before it is up again. */
    bool wasLost = false;
    bool draining = false;
    std::string drainedBy;
    /** No longer configured; kept until it holds no slot. */
    bool removed = false;

    /** May receive slots. */
    bool eligible() const noexcept
    {
        return up && !draining && !removed;
    }
};

enum class record_verdict {
    applied,
    /** Its precondition does not hold. */
    ignored,
    /** A record with this id was applied or ignored before. */
    duplicate,
    /** It cannot be decoded. */
    corrupt,
};

struct apply_outcome {
    record_verdict verdict = record_verdict::ignored;
    std::string reason;
    /** Null if corrupt. */
    std::shared_ptr<const pb::Record> record;
    /** Version in force after a published document. */
    std::uint64_t currentVersion = 0;
};

/**
 * State that every instance reaches by replaying the control stream in order.
 *
 * A violated invariant (a token, a term or the configuration version falls) terminates the process. Thread safety: none.
 */
class control_state
{
public:
    /** The state before the first record. */
    control_state() = default;

    /** All records below this offset are applied. */
    log_offset position() const noexcept;

    /** Applies the record at position(). Never fails: a record that has no effect still advances the position. */
    apply_outcome apply(std::string_view data);

    /** XXH3-128 of the encoding, 16 bytes. */
    const std::string &digest() const;

    /** Canonical encoding for snapshots. */
    std::string encode() const;

    /** Returns nothing if the encoding is not consistent. */
    static std::optional<control_state> decode(std::string_view data);

    /** Terminates the process if a term, token or configuration version in @p newer is lower than here. */
    void requireNotNewerThan(const control_state &newer) const;

    const std::map<incarnation_id, instance_state> &instances() const noexcept;
    const std::map<server_id, server_state> &servers() const noexcept;
    const std::map<service_id, slot_table> &slotTables() const noexcept;
    const confirmer_set &confirmers() const noexcept;
    const configuration_set &configuration() const noexcept;

    /** Returns nullptr if there is none. Valid until the next apply(). */
    const server_state *findServer(const server_id &server) const;
    const slot_table *findTable(const service_id &service) const;
    const instance_state *findInstance(const incarnation_id &incarnation) const;

    /** Servers of the table in its order; those in @p avoid and @p except are not eligible. */
    placement_servers placementServers(const slot_table &table, const std::vector<server_id> &avoid = {}) const;

    /** True if another server than @p server could receive its slots. */
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
