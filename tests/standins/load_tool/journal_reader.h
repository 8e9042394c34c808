#pragma once

#include "standins/server/key_ownership.h"

#include <map>
#include <string>
#include <vector>

namespace sycamoretray::standins
{

/** A start or commit of a request, from a server's journal. */
struct run_event {
    std::string server;
    std::string key;
    long long at = 0; ///< steady microseconds
    bool owned = true;
};

/** Time for which one server process held a lease with unchanged ownership. Times in steady microseconds. */
struct ownership_span {
    std::string server;
    std::string boot;
    long long from = 0;
    long long until = 0;
    key_ownership ownership;
};

/** The events of the journals of all servers. */
struct journal_content {
    std::map<std::string, std::vector<run_event>> starts; ///< by request id
    std::map<std::string, std::vector<run_event>> commits; ///< by request id
    std::vector<ownership_span> spans;
    std::map<std::string, std::uint64_t> commitsByServer;
    /** Starts at a server more than 2 s after it began to drain. */
    std::uint64_t startsAfterDrain = 0;
    std::uint64_t abandoned = 0;
    std::uint64_t crashes = 0;
};

/**
 * Reads journal files. An incomplete last line, which a killed server may leave, is ignored.
 *
 * @throws std::runtime_error if a file cannot be read or another line is malformed
 */
journal_content readJournals(const std::vector<std::string> &files);

} // namespace sycamoretray::standins
