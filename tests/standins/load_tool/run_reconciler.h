#pragma once

#include "standins/load_tool/arrival_schedule.h"
#include "standins/load_tool/journal_reader.h"
#include "standins/load_tool/request_history.h"

#include <string>
#include <vector>

namespace sycamoretray::standins
{

/**
 * Compares the answers to callers with the journals of the servers. Returns one line per violation of these rules:
 * - a request id of a non-idempotent request is committed at most once;
 * - no request starts or commits without ownership;
 * - two server processes never hold a lease on the same slot, or own the same key, at the same time;
 * - an answered request was committed before its answer ended, and the answer is the one to this request;
 * - a commit lies after the start of an attempt that was answered, or whose outcome was unknown to the caller;
 * - no request starts more than 2 s after its server began to drain.
 *
 * The outcome of a request that is retried after a lost connection counts as unknown from its first lost attempt on.
 */
std::vector<std::string> reconcile(const std::vector<planned_request> &schedule,
                                   const std::vector<request_history> &histories,
                                   const journal_content &journals);

} // namespace sycamoretray::standins
