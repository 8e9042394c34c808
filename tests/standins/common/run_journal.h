#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace sycamoretray::standins
{

/**
 * Appends one JSON line per event to a file with one write() each, so that the events of a killed server are not lost.
 *
 * Thread safety: none.
 */
class run_journal
{
public:
    /** An empty @p path means that nothing is written. @throws std::runtime_error if the file cannot be opened */
    explicit run_journal(const std::string &path);
    ~run_journal();
    run_journal(const run_journal &) = delete;
    run_journal &operator=(const run_journal &) = delete;

    void append(const nlohmann::json &event);

private:
    int m_descriptor = -1;
};

} // namespace sycamoretray::standins
