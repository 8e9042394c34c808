#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace sycamoretray
{

/**
 * Human-readable table with left-aligned columns.
 *
 * Thread safety: none.
 */
class text_table
{
public:
    explicit text_table(std::vector<std::string> header);

    /** Precondition: @p row has as many cells as the header. */
    void add(std::vector<std::string> row);

    friend std::ostream &operator<<(std::ostream &out, const text_table &table);

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace sycamoretray
