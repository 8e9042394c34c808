#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sycamoretray
{

/** One measured figure, printed as one line of JSON. */
struct measurement_row {
    std::string measure;
    /** Wanted value, "-" for a figure without a target. */
    std::string target;
    double value = 0;
    std::string unit;
    std::string baseline;
    double baselineValue = 0;
    std::uint64_t seeds = 0;
    std::uint64_t requests = 0;
    std::string conditions;
};

/** Prints @p row to the standard output, with the command that repeats it. */
void printRow(const measurement_row &row, const std::string &command);

/** Returns the value below which 99 % of @p values are; 0 if there are none. */
double percentile99(std::vector<double> values);

} // namespace sycamoretray
