#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace sycamoretray::standins
{

/**
 * Appends one JSON line per event to a file. Each line is one unbuffered write(), so that no event is lost when the
 * process is killed.
 *
 * Thread safety: none.
 */
class run_journal
{
public:
    /** With an empty @p path, nothing is written. @throws std::runtime_error if the file cannot be opened */
    explicit run_journal(const std::string &path);
    ~run_journal();
    run_journal(const run_journal &) = delete;
    run_journal &operator=(const run_journal &) = delete;

    void append(const nlohmann::json &event);

private:
    int m_descriptor = -1;
};

} // namespace sycamoretray::standins
