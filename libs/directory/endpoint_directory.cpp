#include "directory/endpoint_directory.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace sycamoretray
{

namespace
{

// Longer than the age of the copies from which a source is restored.
constexpr time_span removalMemory = std::chrono::seconds(30);
// Time for which it is remembered that an endpoint leaves that has no entry. It exits long before; an old entry may be read again.
constexpr time_span leavingMemory = std::chrono::minutes(10);
// An endpoint that still runs has written its entry again after this time, and the entry of one that has left has expired again.
constexpr time_span postponement = std::chrono::seconds(4);

} // namespace

bool acceptsNewWork(const listed_endpoint &endpoint) noexcept
{
    return !endpoint.entry.draining && !endpoint.evacuatedSince;
}

std::vector<listed_endpoint> usableForNewWork(const std::vector<listed_endpoint> &endpoints)
{
    std::vector<listed_endpoint> accepting;
    std::copy_if(endpoints.begin(), endpoints.end(), std::back_inserter(accepting), acceptsNewWork);
    std::vector<listed_endpoint> registered;
    std::copy_if(accepting.begin(), accepting.end(), std::back_inserter(registered), [](const listed_endpoint &each) {
        return !each.missingUntil;
    });
    return registered.size() * 2 >= accepting.size() ? registered : accepting;
}

endpoint_directory::endpoint_directory(time_span gracePeriod)
    : m_gracePeriod(gracePeriod)
{
}

bool endpoint_directory::apply(const directory_record &record, monotonic_time now)
{
    return applyRecord(record, false, now);
}

bool endpoint_directory::applyRecord(const directory_record &record, bool restored, monotonic_time now)
{
    m_postponed.erase(record.id);
    const auto known = m_endpoints.find(record.id);
    if (known != m_endpoints.end() && record.offset < known->second.offset) {
        return false;
    }
    // Delayed registration of an incarnation that was already replaced.
    if (known != m_endpoints.end() && record.entry && record.entry->incarnation.startedAtMs < known->second.entry.incarnation.startedAtMs) {
        return false;
    }
    return record.entry ? insertOrUpdate(record, restored, now) : remove(record.id, now);
}

bool endpoint_directory::applyListing(const std::vector<directory_record> &listing, store_era era, log_offset end, monotonic_time now)
{
    bool changed = false;
    const bool restored = m_era && era != *m_era;
    if (restored) {
        forgetOffsets(now);
    }
    m_era = era;
    std::set<endpoint_id> listed;
    for (const directory_record &record : listing) {
        listed.insert(record.id);
        changed = (restored ? applyOlder(record, now) : apply(record, now)) || changed;
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

void endpoint_directory::forgetOffsets(monotonic_time now)
{
    m_postponed.clear();
    m_gracePeriodEnd = std::max(m_gracePeriodEnd.value_or(now), now + m_gracePeriod);
    for (auto &[id, known] : m_endpoints) {
        known.offset = log_offset();
    }
}

bool endpoint_directory::applyOlder(const directory_record &record, monotonic_time now)
{
    const auto known = m_endpoints.find(record.id);
    if (known != m_endpoints.end() && known->second.entry.draining && record.entry && record.entry->incarnation == known->second.entry.incarnation) {
        return false;
    }
    const auto removed = m_removed.find(record.id);
    const bool removedBefore = known == m_endpoints.end() && removed != m_removed.end() && now - removed->second.at < removalMemory;
    if (removedBefore && record.entry && record.entry->incarnation.startedAtMs <= removed->second.startedAtMs) {
        m_postponed[record.id] = { record, now + postponement };
        return false;
    }
    return applyRecord(record, true, now);
}

bool endpoint_directory::setLeaving(const endpoint_incarnation &incarnation, monotonic_time now)
{
    const auto known = m_endpoints.find(incarnation.endpoint);
    const bool ended = known != m_endpoints.end() && known->second.entry.incarnation.startedAtMs > incarnation.startedAtMs;
    if (ended || leavingSince(incarnation)) {
        return false;
    }
    std::erase_if(m_leaving, [&](const auto &item) {
        return now - item.second.since >= leavingMemory && !m_endpoints.contains(item.first);
    });
    m_leaving[incarnation.endpoint] = { incarnation.startedAtMs, now };
    if (known == m_endpoints.end() || !(known->second.entry.incarnation == incarnation) || known->second.entry.draining) {
        return false;
    }
    known->second.entry.draining = true;
    known->second.stateSince = now;
    return true;
}

std::optional<monotonic_time> endpoint_directory::leavingSince(const endpoint_incarnation &incarnation) const
{
    const auto found = m_leaving.find(incarnation.endpoint);
    const bool leaving = found != m_leaving.end() && found->second.startedAtMs == incarnation.startedAtMs;
    return leaving ? std::optional(found->second.since) : std::nullopt;
}

monotonic_time endpoint_directory::coldUntil(const listed_endpoint &known, const directory_record &record, bool restored, monotonic_time now)
{
    const time_span remaining = record.entry->warmupRemaining;
    if (!(known.entry.incarnation == record.entry->incarnation)) {
        return remaining > time_span::zero() ? now + remaining : monotonic_time{};
    }
    if (restored) {
        // The record may be older than the known one, or newer if the endpoint has written it again since.
        return remaining == known.entry.warmupRemaining ? known.coldUntil : std::max(known.coldUntil, now + remaining);
    }
    // The remaining time counts from the first reading of the record.
    const bool staysWarm = remaining <= time_span::zero() && known.coldUntil <= now;
    return known.offset == record.offset || staysWarm ? known.coldUntil : now + remaining;
}

bool endpoint_directory::insertOrUpdate(const directory_record &record, bool restored, monotonic_time now)
{
    endpoint_entry entry = *record.entry;
    const auto leaving = leavingSince(entry.incarnation);
    entry.draining = entry.draining || leaving;
    const auto [position, inserted] = m_endpoints.try_emplace(record.id);
    listed_endpoint &known = position->second;
    const bool sameState = !inserted && known.entry.incarnation == entry.incarnation && known.entry.draining == entry.draining;
    const monotonic_time cold = coldUntil(known, record, restored, now);
    const bool unchanged = sameState && known.coldUntil == cold && known.entry.incarnation.address == entry.incarnation.address
        && known.entry.service == entry.service && known.entry.zone == entry.zone && known.entry.workerSlots == entry.workerSlots && !known.missingUntil;
    known.entry = entry;
    known.coldUntil = cold;
    known.offset = record.offset;
    known.evacuatedSince = evacuatedSince(entry.zone);
    known.missingUntil.reset();
    if (!sameState) {
        known.stateSince = leaving.value_or(now);
    }
    return !unchanged;
}

std::optional<monotonic_time> endpoint_directory::evacuatedSince(const availability_zone &zone) const
{
    const auto found = m_evacuated.find(zone);
    return found == m_evacuated.end() ? std::nullopt : std::optional(found->second);
}

bool endpoint_directory::setEvacuated(const std::set<availability_zone> &zones,
                                      const std::function<time_span(const service_id &)> &coldTime,
                                      monotonic_time now)
{
    std::erase_if(m_evacuated, [&](const auto &item) {
        return !zones.contains(item.first);
    });
    for (const availability_zone &zone : zones) {
        m_evacuated.try_emplace(zone, now);
    }
    bool changed = false;
    for (auto &[id, known] : m_endpoints) {
        const std::optional<monotonic_time> since = evacuatedSince(known.entry.zone);
        if (since == known.evacuatedSince) {
            continue;
        }
        changed = true;
        known.evacuatedSince = since;
        const time_span cold = since ? time_span::zero() : coldTime(known.entry.service);
        if (cold > time_span::zero()) {
            known.coldUntil = std::max(known.coldUntil, now + cold);
        }
    }
    return changed;
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
    erase(id, now);
    return true;
}

void endpoint_directory::erase(const endpoint_id &id, monotonic_time now)
{
    std::erase_if(m_removed, [&](const auto &item) {
        return now - item.second.at >= removalMemory;
    });
    m_removed[id] = { m_endpoints.at(id).entry.incarnation.startedAtMs, now };
    m_endpoints.erase(id);
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
    std::vector<endpoint_id> missing;
    for (const auto &[id, known] : m_endpoints) {
        if (known.missingUntil && now >= *known.missingUntil) {
            missing.push_back(id);
        }
    }
    for (const endpoint_id &id : missing) {
        erase(id, now);
    }
    std::vector<directory_record> due;
    for (const auto &[id, postponed] : m_postponed) {
        if (now >= postponed.until) {
            due.push_back(postponed.record);
        }
    }
    for (const directory_record &record : due) {
        apply(record, now);
    }
    return !missing.empty() || !due.empty();
}

const std::map<endpoint_id, listed_endpoint> &endpoint_directory::endpoints() const noexcept
{
    return m_endpoints;
}

} // namespace sycamoretray
