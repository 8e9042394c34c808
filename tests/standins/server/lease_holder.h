#pragma once

#include "standins/server/key_ownership.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace sycamoretray::standins
{

/**
 * The server's side of the lease protocol (docs/protocols.md, "Servers: leases"). Parameters named now are microseconds
 * of the server's steady clock.
 *
 * Thread safety: none.
 */
class lease_holder
{
public:
    /** Result of a lease request. Status 409: its term is lower than the current one. */
    struct reply {
        unsigned status = 200;
        nlohmann::json content;
        bool ownershipChanged = false;
        bool leaseExtended = false;
    };

    explicit lease_holder(std::string bootId);

    /** @throws nlohmann::json::exception if @p request lacks a field or has one of the wrong type */
    reply handle(const nlohmann::json &request, long long now);

    /** Returns whether a request of this term may run now. If @p divided, the slot or key must be owned as well. */
    bool mayRun(std::uint64_t term, std::uint16_t slot, const std::string &key, bool divided, long long now) const;

    const key_ownership &ownership() const;
    const std::string &bootId() const;
    std::uint64_t term() const;

    /** Time at which the lease expires, in steady microseconds; 0 if there is no lease under the current term. */
    long long leaseUntil() const;

private:
    void acceptTerm(std::uint64_t term);
    bool acceptOwnership(const nlohmann::json &request);
    bool extendLease(const nlohmann::json &request, long long now);
    long long challengeTime(const std::string &challenge, long long now) const;

    std::string m_bootId;
    std::uint64_t m_term = 0;
    std::uint64_t m_heldTerm = 0;
    long long m_leaseUntil = 0;
    key_ownership m_ownership;
};

} // namespace sycamoretray::standins
