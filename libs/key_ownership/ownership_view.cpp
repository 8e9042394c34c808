#include "key_ownership/ownership_view.h"

#include <algorithm>
#include <utility>

namespace sycamoretray
{

bool ownership_view::version::isNotNewerThan(std::uint64_t otherEpoch, std::uint64_t otherRevision) const noexcept
{
    return !known || std::pair(epoch, revision) <= std::pair(otherEpoch, otherRevision);
}

void ownership_view::version::set(std::uint64_t newEpoch, std::uint64_t newRevision) noexcept
{
    epoch = newEpoch;
    revision = newRevision;
    known = true;
}

bool ownership_view::service_versions::isComplete() const noexcept
{
    return header.known && std::all_of(parts.begin(), parts.end(), [](const version &each) {
               return each.known;
           });
}

ownership_record &ownership_view::recordOf(const service_id &service)
{
    const auto found = m_records.find(service);
    return found != m_records.end() ? found->second : m_incomplete[service];
}

void ownership_view::publishIfComplete(const service_id &service)
{
    const auto found = m_incomplete.find(service);
    if (found != m_incomplete.end() && m_versions[service].isComplete()) {
        m_records.insert(m_incomplete.extract(found));
    }
}

bool ownership_view::applyHeader(ownership_record header)
{
    const service_id service = header.service;
    version &known = m_versions[service].header;
    if (!known.isNotNewerThan(header.epoch, header.revision)) {
        return false;
    }
    known.set(header.epoch, header.revision);
    ownership_record &record = recordOf(service);
    header.assignments = std::move(record.assignments);
    record = std::move(header);
    publishIfComplete(service);
    return true;
}

bool ownership_view::applyPart(ownership_part part)
{
    const service_id service = part.service;
    version &known = m_versions[service].parts[part.index];
    if (!known.isNotNewerThan(part.epoch, part.revision)) {
        return false;
    }
    known.set(part.epoch, part.revision);
    mergePart(recordOf(service), std::move(part));
    publishIfComplete(service);
    return true;
}

bool ownership_view::apply(const ownership_record &record)
{
    ownership_record header = record;
    header.assignments.clear();
    bool applied = applyHeader(std::move(header));
    for (ownership_part &part : partsOf(record)) {
        applied = applyPart(std::move(part)) || applied;
    }
    return applied;
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
    return { true, position->settled, position->owner, position->unservedFor };
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
