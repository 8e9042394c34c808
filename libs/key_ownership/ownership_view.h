#pragma once

#include "key_ownership/ownership_parts.h"

#include <array>
#include <compare>
#include <map>

namespace sycamoretray
{

/** Result of a lookup of the owner of a key. */
struct key_owner {
    /** A record covers the key, and the key has an owner. */
    bool known = false;
    /** The owner accepted the grant; otherwise the keys are still being moved to it. */
    bool settled = false;
    endpoint_incarnation owner;
    /** See key_assignment::unservedFor. */
    time_span unservedFor{};
};

/**
 * The newest ownership of each service, assembled from headers and parts.
 *
 * A service becomes available once its header and all of its parts have arrived. The records of one change may arrive separately,
 * so the parts of a service may differ in revision.
 *
 * Thread safety: none.
 */
class ownership_view
{
public:
    /** Applies a header, without assignments, unless a newer one is known. Returns whether it was applied. */
    bool applyHeader(ownership_record header);

    /** Applies a part unless a newer version of it is known. Returns whether it was applied. */
    bool applyPart(ownership_part part);

    /** Applies the header and the parts of a complete record. Returns whether any was applied. */
    bool apply(const ownership_record &record);

    key_owner find(const service_id &service, key_number key) const;

    /** Returns the record of @p service, or nullptr while it is incomplete. */
    const ownership_record *record(const service_id &service) const;

    /** Returns the records of all services that are complete. */
    const std::map<service_id, ownership_record> &records() const noexcept;

private:
    struct version {
        std::uint64_t epoch = 0;
        std::uint64_t revision = 0;
        bool known = false;

        bool isNotNewerThan(std::uint64_t otherEpoch, std::uint64_t otherRevision) const noexcept;
        void set(std::uint64_t newEpoch, std::uint64_t newRevision) noexcept;
    };
    struct service_versions {
        version header;
        std::array<version, ownershipPartCount> parts;

        bool isComplete() const noexcept;
    };

    /** Returns the record of a service, whether it is complete or not. */
    ownership_record &recordOf(const service_id &service);
    void publishIfComplete(const service_id &service);

    std::map<service_id, service_versions> m_versions;
    std::map<service_id, ownership_record> m_records;
    std::map<service_id, ownership_record> m_incomplete;
};

} // namespace sycamoretray
