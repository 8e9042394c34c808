#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sycamoretray
{

/** A record by which the operator evacuates a zone, or takes it back. */
struct evacuation_record {
    availability_zone zone;
    bool evacuated = false;
    log_offset offset;
};

/**
 * The availability zones that the operator has evacuated, according to the records in the source.
 *
 * Thread safety: none.
 */
class evacuated_zones
{
public:
    /** Applies a record. Records with an offset below that of the known one of the zone are ignored. Returns whether the zones changed. */
    bool apply(const evacuation_record &record);

    /**
     * Applies a complete listing: zones whose record is below the offset @p end and not in it are not evacuated any more. Returns whether the
     * zones changed.
     *
     * A listing of another era comes from an older copy of the source. An evacuation that the copy lacks stays in force for a few seconds, in
     * which the operator writes it again.
     */
    bool applyListing(const std::vector<evacuation_record> &listing, store_era era, log_offset end, monotonic_time now);

    /** Records that the source cannot be read, so that nothing expires. Repeated calls have no effect. */
    void sourceLost();

    /** Records that the source can be read again. Evacuations that a copy of the source lacks stay in force for their time from now on. */
    void sourceReturned(monotonic_time now);

    /** Ends the evacuations that a copy of the source lacks and whose time is over. Returns whether there were any. */
    bool expire(monotonic_time now);

    std::set<availability_zone> zones() const;

private:
    struct zone_state {
        bool evacuated = false;
        log_offset offset;
        /** End of an evacuation that the source lacks since it was restored. */
        std::optional<monotonic_time> keptUntil;
    };

    /** Prepares for records whose offsets are not comparable with those of before. */
    void forgetOffsets(monotonic_time now);

    std::map<availability_zone, zone_state> m_zones;
    std::optional<store_era> m_era;
    bool m_sourceUnavailable = false;
};

} // namespace sycamoretray
