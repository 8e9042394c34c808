#include "key_ownership/ownership_view.h"

#include <algorithm>
#include <utility>

namespace sycamoretray
{

bool ownership_view::apply(ownership_record record)
{
    const auto known = m_records.find(record.service);
    if (known != m_records.end() && std::pair(record.epoch, record.revision) < std::pair(known->second.epoch, known->second.revision)) {
        return false;
    }
    const service_id service = record.service;
    m_records.insert_or_assign(service, std::move(record));
    return true;
}

key_owner ownership_view::find(const service_id &service, key_number key) const
{
    const ownership_record *found = record(service);
    if (found == nullptr) {
        return {};
    }
    const auto position
        = std::lower_bound(found->assignments.begin(), found->assignments.end(), key.value(), [](const key_assignment &each, std::uint32_t value) {
              return each.keys.last < value;
          });
    if (position == found->assignments.end() || position->owner.endpoint.value().empty()) {
        return {};
    }
    return { true, position->settled, position->owner, position->lapse };
}

const ownership_record *ownership_view::record(const service_id &service) const
{
    const auto found = m_records.find(service);
    return found == m_records.end() ? nullptr : &found->second;
}

const std::map<service_id, ownership_record> &ownership_view::records() const noexcept
{
    return m_records;
}

} // namespace sycamoretray
