#include "directory/evacuated_zones.h"

namespace sycamoretray
{

namespace
{

// After the return of the source from an older copy, the operator has written lost records again after this time.
constexpr time_span rewriteTime = std::chrono::seconds(4);

} // namespace

bool evacuated_zones::apply(const evacuation_record &record)
{
    zone_state &known = m_zones[record.zone];
    if (record.offset < known.offset) {
        return false;
    }
    const bool changed = known.evacuated != record.evacuated;
    known = { record.evacuated, record.offset, std::nullopt };
    return changed;
}

bool evacuated_zones::applyListing(const std::vector<evacuation_record> &listing, store_era era, log_offset end, monotonic_time now)
{
    if (m_era && era != *m_era) {
        forgetOffsets(now);
    }
    m_era = era;
    bool changed = false;
    std::set<availability_zone> listed;
    for (const evacuation_record &record : listing) {
        listed.insert(record.zone);
        changed = apply(record) || changed;
    }
    std::erase_if(m_zones, [&](const auto &item) {
        const bool removed = !listed.contains(item.first) && item.second.offset < end && !item.second.keptUntil;
        changed = changed || (removed && item.second.evacuated);
        return removed;
    });
    return changed;
}

void evacuated_zones::forgetOffsets(monotonic_time now)
{
    for (auto &[zone, known] : m_zones) {
        known.offset = log_offset();
        if (known.evacuated) {
            known.keptUntil = now + rewriteTime;
        }
    }
}

void evacuated_zones::sourceLost()
{
    m_sourceUnavailable = true;
}

void evacuated_zones::sourceReturned(monotonic_time now)
{
    m_sourceUnavailable = false;
    for (auto &[zone, known] : m_zones) {
        if (known.keptUntil) {
            known.keptUntil = now + rewriteTime;
        }
    }
}

bool evacuated_zones::expire(monotonic_time now)
{
    if (m_sourceUnavailable) {
        return false;
    }
    const auto expired = std::erase_if(m_zones, [now](const auto &item) {
        return item.second.keptUntil && now >= *item.second.keptUntil;
    });
    return expired > 0;
}

std::set<availability_zone> evacuated_zones::zones() const
{
    std::set<availability_zone> result;
    for (const auto &[zone, known] : m_zones) {
        if (known.evacuated) {
            result.insert(zone);
        }
    }
    return result;
}

} // namespace sycamoretray
