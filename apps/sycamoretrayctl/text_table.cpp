#include "text_table.h"

#include <algorithm>
#include <iomanip>

namespace sycamoretray
{

text_table::text_table(std::vector<std::string> header)
{
    m_rows.push_back(std::move(header));
}

void text_table::add(std::vector<std::string> row)
{
    m_rows.push_back(std::move(row));
}

std::ostream &operator<<(std::ostream &out, const text_table &table)
{
    std::vector<std::size_t> widths(table.m_rows.front().size());
    for (const auto &row : table.m_rows) {
        for (std::size_t i = 0; i < widths.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    for (const auto &row : table.m_rows) {
        for (std::size_t i = 0; i + 1 < widths.size(); ++i) {
            out << std::left << std::setw(static_cast<int>(widths[i]) + 2) << row[i];
        }
        out << row.back() << "\n";
    }
    return out;
}

} // namespace sycamoretray
