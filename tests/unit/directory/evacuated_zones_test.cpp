#include "directory/endpoint_directory.h"
#include "directory/evacuated_zones.h"

#include <criterion/criterion.h>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

const monotonic_time start{ 100s };
const availability_zone a("a");
const availability_zone b("b");
const std::set<availability_zone> onlyA{ a };
const std::set<availability_zone> onlyB{ b };
const std::set<availability_zone> both{ a, b };

evacuation_record record(const availability_zone &zone, bool evacuated, std::uint64_t offset)
{
    return { zone, evacuated, log_offset(offset) };
}

} // namespace

// Guards against an evacuation that is missed, or that stays, as its record comes and goes beside that of another zone, and against older
// records or listings that undo newer ones.
Test(evacuated_zones, follow_records_that_come_and_go)
{
    evacuated_zones zones;
    cr_expect(zones.applyListing({ record(a, true, 1) }, store_era(1), log_offset(2), start));
    cr_expect(zones.apply(record(b, true, 3)));
    cr_expect(zones.zones() == both);
    cr_expect(zones.apply(record(a, false, 4)));
    cr_expect_not(zones.apply(record(a, true, 1)), "older than the removal");
    cr_expect(zones.zones() == onlyB);
    cr_expect(zones.apply(record(a, true, 5)));
    cr_expect_not(zones.applyListing({ record(b, true, 3) }, store_era(1), log_offset(4), start), "listed before the last record");
    cr_expect(zones.applyListing({ record(a, true, 5) }, store_era(1), log_offset(7), start));
    cr_expect(zones.zones() == onlyA);
}

// Guards against requests to an evacuated zone after the store has returned from a copy without the record, also if the topic cannot be
// read while the operator writes it again, and against a zone that is never taken back.
Test(evacuated_zones, outlast_a_restored_store_that_lacks_the_record)
{
    evacuated_zones zones;
    zones.applyListing({ record(a, true, 8), record(b, true, 9) }, store_era(1), log_offset(10), start);
    cr_expect_not(zones.applyListing({}, store_era(2), log_offset(3), start));
    cr_expect_not(zones.applyListing({}, store_era(2), log_offset(4), start + 1s));
    cr_expect_not(zones.apply(record(b, true, 4)), "written again");
    zones.sourceLost();
    cr_expect_not(zones.expire(start + 10s));
    zones.sourceReturned(start + 10s);
    cr_expect_not(zones.expire(start + 13s));
    cr_expect(zones.expire(start + 14s));
    cr_expect(zones.zones() == onlyB);
}

// Guards against new work for an endpoint that registers in an evacuated zone, against requests at the full rate for one that became cold
// during the evacuation, and against a warm one that stays limited.
Test(evacuated_zones, mark_endpoints_until_the_zone_is_taken_back)
{
    const auto coldTime = [](const service_id &) {
        return time_span(3s);
    };
    directory_record entry{ endpoint_id("e"), endpoint_entry(), log_offset(1) };
    entry.entry->zone = a;
    endpoint_directory directory(2s);
    cr_expect_not(directory.setEvacuated(onlyA, coldTime, start));
    directory.apply(entry, start + 1s);
    const listed_endpoint &listed = directory.endpoints().at(endpoint_id("e"));
    cr_expect(listed.evacuatedSince == start);
    cr_expect(usableForNewWork({ listed }).empty());
    cr_expect_not(directory.setEvacuated(both, coldTime, start + 3s));
    cr_expect(directory.setEvacuated(onlyB, coldTime, start + 10s));
    cr_expect(acceptsNewWork(listed));
    cr_expect_not(directory.applyListing({ entry }, store_era(1), log_offset(2), start + 11s), "not a later version");
    cr_expect(listed.coldUntil == start + 13s);
    entry.offset = log_offset(2);
    cr_expect(directory.apply(entry, start + 11s));
    cr_expect(listed.coldUntil <= start + 11s);
}
