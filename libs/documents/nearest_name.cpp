#include "documents/nearest_name.h"

#include <algorithm>
#include <numeric>

namespace sycamoretray
{

namespace
{

std::size_t editDistance(const std::string &a, const std::string &b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{ 0 });
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t substituted = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({ row[j] + 1, row[j - 1] + 1, substituted });
        }
    }
    return row.back();
}

} // namespace

std::string nearestName(const std::string &name, const std::vector<std::string> &candidates)
{
    std::string best;
    std::size_t bestDistance = name.size() / 2 + 1;
    for (const std::string &candidate : candidates) {
        const std::size_t distance = editDistance(name, candidate);
        if (distance < bestDistance) {
            bestDistance = distance;
            best = candidate;
        }
    }
    return best;
}

} // namespace sycamoretray
