#pragma once

#include "standins/load_tool/arrival_script.h"
#include "standins/load_tool/journal_reader.h"
#include "standins/load_tool/request_fate.h"

#include <string>
#include <vector>

namespace sycamoretray::standins
{

/**
 * Compares what callers were told with what the servers ran. Returns one line per violation of:
 * - a non-idempotent id is committed at most once;
 * - nothing starts or commits without ownership;
 * - two server processes never hold a lease on the same slot, or own the same key, at one moment;
 * - an answered request was committed before its answer ended, and the answer was its own;
 * - a commit is covered by an attempt that was answered, or whose outcome the caller was told to be unknown;
 * - nothing starts more than 2 s after a server began to drain.
 *
 * A request that is repeated after a lost connection counts as unknown from its first lost attempt on.
 */
std::vector<std::string> reconcile(const std::vector<planned_request> &script, const std::vector<request_fate> &fates, const journal_content &journals);

} // namespace sycamoretray::standins
