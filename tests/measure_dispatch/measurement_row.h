#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sycamoretray
{

/** A measured value, printed as one line of JSON. */
struct measurement_row {
    std::string measure;
    /** Required value, "-" if there is none. */
    std::string target;
    double value = 0;
    std::string unit;
    std::string baseline;
    double baselineValue = 0;
    std::uint64_t seeds = 0;
    std::uint64_t requests = 0;
    std::string conditions;
};

/** Prints @p row to the standard output, with the command that reproduces it. */
void printRow(const measurement_row &row, const std::string &command);

/** Returns the 99th percentile of @p values; 0 if there are none. */
double percentile99(std::vector<double> values);

} // namespace sycamoretray
