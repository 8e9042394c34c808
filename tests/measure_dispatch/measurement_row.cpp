#include "measurement_row.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

namespace sycamoretray
{

void printRow(const measurement_row &row, const std::string &command)
{
    const nlohmann::ordered_json line{ { "measure", row.measure }, { "target", row.target },     { "value", row.value },
                                       { "unit", row.unit },       { "baseline", row.baseline }, { "baseline_value", row.baselineValue },
                                       { "seeds", row.seeds },     { "requests", row.requests }, { "conditions", row.conditions },
                                       { "command", command } };
    std::cout << line.dump() << std::endl;
}

double percentile99(std::vector<double> values)
{
    if (values.empty()) {
        return 0;
    }
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(values.size() - 1) * 0.99);
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

} // namespace sycamoretray
