#include "key_ownership/current_assigner.h"

namespace sycamoretray
{

std::optional<network_address> currentAssigner(const ownership_view &ownership)
{
    std::optional<network_address> assigner;
    std::uint64_t newestEpoch = 0;
    for (const auto &[service, record] : ownership.records()) {
        if (record.epoch < newestEpoch) {
            continue;
        }
        if (record.epoch > newestEpoch) {
            newestEpoch = record.epoch;
            assigner.reset();
        }
        if (!record.resigned && !record.stopped) {
            assigner = record.assigner;
        }
    }
    return assigner;
}

} // namespace sycamoretray
