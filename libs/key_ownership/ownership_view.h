#pragma once

#include "key_ownership/ownership_record.h"

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
 * The newest ownership records, for routing.
 *
 * Thread safety: none.
 */
class ownership_view
{
public:
    /** Takes a record if its epoch and revision are not older than those known. Returns whether it was taken. */
    bool apply(ownership_record record);

    key_owner find(const service_id &service, key_number key) const;

    /** Returns the record of @p service, or nullptr. */
    const ownership_record *record(const service_id &service) const;

    const std::map<service_id, ownership_record> &records() const noexcept;

private:
    std::map<service_id, ownership_record> m_records;
};

} // namespace sycamoretray
