#pragma once

#include "key_ownership/ownership_parts.h"

#include <array>
#include <compare>
#include <map>

namespace sycamoretray
{

/** What an instance knows of the owner of a key. */
struct key_owner {
    /** No record covers the key, or it has no owner. */
    bool known = false;
    /** The owner accepted the grant; otherwise the keys are on their way to it. */
    bool settled = false;
    endpoint_life owner;
    /** See key_assignment::lapse. */
    time_span lapse{};
};

/**
 * The newest ownership of each service, put together from headers and parts.
 *
 * A service is known as soon as its header and all its parts are. The records of one change may arrive one by one; each part is
 * as new as its own record.
 *
 * Thread safety: none.
 */
class ownership_view
{
public:
    /** Takes a header, without assignments, if its epoch and revision are not older than those known. Returns whether it was taken. */
    bool applyHeader(ownership_record header);

    /** Takes a part if its epoch and revision are not older than those known of the part. Returns whether it was taken. */
    bool applyPart(ownership_part part);

    /** Takes a whole record as its header and its parts. Returns whether any was taken. */
    bool apply(const ownership_record &record);

    key_owner find(const service_id &service, key_number key) const;

    /** Returns the record of @p service, or nullptr while it is not known as a whole. */
    const ownership_record *record(const service_id &service) const;

    /** Services that are known as a whole. */
    const std::map<service_id, ownership_record> &records() const noexcept;

private:
    struct version {
        std::uint64_t epoch = 0;
        std::uint64_t revision = 0;
        bool known = false;

        bool isOlderThan(std::uint64_t otherEpoch, std::uint64_t otherRevision) const noexcept;
        void set(std::uint64_t newEpoch, std::uint64_t newRevision) noexcept;
    };
    struct service_versions {
        version header;
        std::array<version, ownershipPartCount> parts;

        bool isComplete() const noexcept;
    };

    /** Returns the record of a service, whether it is complete or not. */
    ownership_record &obtain(const service_id &service);
    void moveIfComplete(const service_id &service);

    std::map<service_id, service_versions> m_versions;
    std::map<service_id, ownership_record> m_records;
    std::map<service_id, ownership_record> m_incomplete;
};

} // namespace sycamoretray
