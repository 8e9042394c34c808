#include "permits/coordinator_ranking.h"

#include "documents/cbor.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace sycamoretray
{

namespace
{

using nlohmann::json;

double score(const coordinator_candidate &candidate, std::string_view name)
{
    const std::string &address = candidate.address.value();
    const std::uint64_t hash = XXH64(name.data(), name.size(), XXH64(address.data(), address.size(), 0));
    constexpr double range = 18446744073709551616.0;
    const double uniform = (static_cast<double>(hash) + 0.5) / range;
    return -candidate.weight / std::log(uniform);
}

void addScores(std::vector<std::pair<double, const coordinator_candidate *>> &scores,
               const std::vector<coordinator_candidate> &candidates,
               std::string_view name)
{
    for (const coordinator_candidate &each : candidates) {
        scores.emplace_back(score(each, name), &each);
    }
}

} // namespace

std::size_t candidateCount(const coordinator_candidates &candidates) noexcept
{
    std::size_t count = 0;
    for (const auto &[zone, each] : candidates) {
        count += each.size();
    }
    return count;
}

coordinator_candidates strongestCandidates(const coordinator_candidates &candidates)
{
    constexpr double minWeightRatio = 0.5;
    coordinator_candidates result;
    for (const auto &[zone, instances] : candidates) {
        double maxWeight = 0;
        for (const coordinator_candidate &each : instances) {
            maxWeight = std::max(maxWeight, each.weight);
        }
        std::copy_if(instances.begin(), instances.end(), std::back_inserter(result[zone]), [&](const coordinator_candidate &each) {
            return each.weight >= maxWeight * minWeightRatio;
        });
    }
    return result;
}

bool isLargeSite(const coordinator_candidates &candidates) noexcept
{
    // An endpoint queues about ten requests, and an instance that sends without permits has one or two in flight at an endpoint.
    constexpr std::size_t minInstances = 16;
    return candidateCount(candidates) >= minInstances;
}

std::vector<network_address> rankCoordinators(const coordinator_candidates &candidates,
                                              const availability_zone &zone,
                                              std::string_view name,
                                              std::size_t maxCount)
{
    std::vector<std::pair<double, const coordinator_candidate *>> scores;
    const auto own = candidates.find(zone);
    if (own != candidates.end() && !own->second.empty()) {
        addScores(scores, own->second, name);
    } else {
        for (const auto &[other, each] : candidates) {
            addScores(scores, each, name);
        }
    }
    const auto count = static_cast<std::ptrdiff_t>(std::min(maxCount, scores.size()));
    std::partial_sort(scores.begin(), scores.begin() + count, scores.end(), [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first : left.second->address < right.second->address;
    });
    std::vector<network_address> result;
    for (auto each = scores.begin(); each != scores.begin() + count; ++each) {
        result.push_back(each->second->address);
    }
    return result;
}

std::string encodeCandidates(const std::vector<coordinator_candidate> &candidates)
{
    json rows = json::array();
    for (const coordinator_candidate &each : candidates) {
        rows.push_back(json::array({ each.address.value(), each.weight }));
    }
    return encodeCbor(rows);
}

std::vector<coordinator_candidate> decodeCandidates(std::string_view data)
{
    try {
        std::vector<coordinator_candidate> result;
        for (const json &row : decodeCbor(data)) {
            result.push_back({ network_address(row.at(0).get<std::string>()), row.at(1).get<double>() });
        }
        return result;
    } catch (const json::exception &) {
        return {};
    }
}

} // namespace sycamoretray
