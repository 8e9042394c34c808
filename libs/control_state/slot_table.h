#pragma once

#include "base/ids.h"
#include "placement/placement_policy.h"

#include <records.pb.h>

#include <map>
#include <string>
#include <vector>

namespace sycamoretray
{

/** A hot key that is served by another server than the owner of its slot. */
struct key_exception {
    server_id server;
    fencing_token token;
};

/**
 * Owner and fencing token of each hash slot of one service, and the exceptions for hot keys.
 *
 * The token of a slot or exception only grows; a violation terminates the process. Thread safety: none.
 */
class slot_table
{
public:
    static constexpr std::size_t maxExceptions = 64;

    slot_table();

    const std::vector<server_id> &servers() const noexcept;
    const slot_owners &owners() const noexcept;
    const std::map<std::string, key_exception> &exceptions() const noexcept;

    /** Returns noServer if the server is not in the table. */
    server_index indexOf(const server_id &server) const noexcept;

    /** Returns an empty id if the slot has no owner. */
    server_id ownerOf(hash_slot slot) const;
    fencing_token tokenOf(hash_slot slot) const;

    /** True if no slot has ever had an owner. */
    bool neverAssigned() const;

    /** Owner of the key: that of its exception, else that of its slot. */
    server_id ownerOfKey(const std::string &key) const;
    std::vector<hash_slot> slotsOf(const server_id &server) const;
    std::size_t slotCount(const server_id &server) const;
    std::size_t unownedCount() const;

    /** True if the server owns a slot or is the target of an exception. */
    bool ownsAnything(const server_id &server) const;

    /** Has no effect if the server is already in the table. */
    void addServer(const server_id &server);

    /** Precondition: the server owns no slot and no exception points to it. */
    void removeServer(const server_id &server);

    /** Precondition: @p to is in the table. */
    void assign(hash_slot slot, const server_id &to, fencing_token token);

    /**
     * Assigns the slots of @p server and those without owner to eligible @p candidates, and removes the exceptions that point to @p server.
     * @p candidates must list servers() in order.
     */
    void redistribute(const server_id &server, const placement_servers &candidates, fencing_token token);

    /** Assigns the slots without owner to eligible @p candidates. @p candidates must list servers() in order. */
    void fillUnowned(const placement_servers &candidates, fencing_token token);

    /** Sets or, if @p to is empty, removes the exception of @p key. */
    void assignKey(const std::string &key, const server_id &to, fencing_token token);

    void encode(pb::StateSnapshot::SlotTable &out) const;

    /** Returns false if the encoding is not consistent. */
    bool decode(const pb::StateSnapshot::SlotTable &in);

private:
    /** Takes over the owners that differ, each with @p token. */
    void setOwners(const slot_owners &owners, fencing_token token);

    std::vector<server_id> m_servers;
    slot_owners m_owners;
    std::vector<fencing_token> m_tokens;
    std::map<std::string, key_exception> m_exceptions;
};

} // namespace sycamoretray
