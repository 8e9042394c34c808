#include "directory/endpoint_directory.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace sycamoretray
{

std::vector<listed_endpoint> usableForNewWork(const std::vector<listed_endpoint> &endpoints)
{
    std::vector<listed_endpoint> registered;
    std::copy_if(endpoints.begin(), endpoints.end(), std::back_inserter(registered), [](const listed_endpoint &each) {
        return !each.missingUntil;
    });
    return registered.size() * 2 >= endpoints.size() ? registered : endpoints;
}

endpoint_directory::endpoint_directory(time_span gracePeriod)
    : m_gracePeriod(gracePeriod)
{
}

bool endpoint_directory::apply(const directory_record &record, monotonic_time now)
{
    const auto known = m_endpoints.find(record.id);
    if (known != m_endpoints.end() && record.offset < known->second.offset) {
        return false;
    }
    // Delayed registration of an incarnation that was already replaced.
    if (known != m_endpoints.end() && record.entry && record.entry->incarnation.startedAtMs < known->second.entry.incarnation.startedAtMs) {
        return false;
    }
    return record.entry ? insertOrUpdate(record, now) : remove(record.id, now);
}

bool endpoint_directory::applyListing(const std::vector<directory_record> &listing, log_offset end, monotonic_time now)
{
    bool changed = false;
    std::set<endpoint_id> listed;
    for (const directory_record &record : listing) {
        listed.insert(record.id);
        changed = apply(record, now) || changed;
    }
    std::vector<endpoint_id> removed;
    for (const auto &[id, known] : m_endpoints) {
        if (!listed.contains(id) && known.offset < end && !known.missingUntil) {
            removed.push_back(id);
        }
    }
    for (const endpoint_id &id : removed) {
        changed = remove(id, now) || changed;
    }
    return changed;
}

bool endpoint_directory::insertOrUpdate(const directory_record &record, monotonic_time now)
{
    const endpoint_entry &entry = *record.entry;
    const auto [position, inserted] = m_endpoints.try_emplace(record.id);
    listed_endpoint &known = position->second;
    const bool sameState = !inserted && known.entry.incarnation == entry.incarnation && known.entry.draining == entry.draining;
    const bool unchanged = sameState && known.entry.incarnation.address == entry.incarnation.address && known.entry.service == entry.service
        && known.entry.zone == entry.zone && known.entry.workerSlots == entry.workerSlots && !known.missingUntil;
    known.entry = entry;
    known.offset = record.offset;
    known.missingUntil.reset();
    if (!sameState) {
        known.stateSince = now;
    }
    return !unchanged;
}

bool endpoint_directory::remove(const endpoint_id &id, monotonic_time now)
{
    const auto known = m_endpoints.find(id);
    if (known == m_endpoints.end()) {
        return false;
    }
    const bool inGracePeriod = m_sourceUnavailable || (m_gracePeriodEnd && now < *m_gracePeriodEnd);
    // A draining endpoint does not register again.
    if (inGracePeriod && !known->second.entry.draining) {
        if (known->second.missingUntil) {
            return false;
        }
        known->second.missingUntil = m_sourceUnavailable ? monotonic_time::max() : *m_gracePeriodEnd;
        return true;
    }
    m_endpoints.erase(known);
    return true;
}

void endpoint_directory::sourceLost()
{
    m_sourceUnavailable = true;
}

void endpoint_directory::sourceReturned(monotonic_time now)
{
    if (!m_sourceUnavailable) {
        return;
    }
    m_sourceUnavailable = false;
    m_gracePeriodEnd = now + m_gracePeriod;
    for (auto &[id, known] : m_endpoints) {
        if (known.missingUntil) {
            known.missingUntil = m_gracePeriodEnd;
        }
    }
}

bool endpoint_directory::expire(monotonic_time now)
{
    return std::erase_if(m_endpoints,
                         [&](const auto &item) {
                             return item.second.missingUntil && now >= *item.second.missingUntil;
                         })
        > 0;
}

const std::map<endpoint_id, listed_endpoint> &endpoint_directory::endpoints() const noexcept
{
    return m_endpoints;
}

} // namespace sycamoretray
