#pragma once

#include "standins/common/http_server.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace sycamoretray::standins
{

/** Makes glog write to standard error under the program's name. Must be called once, at the start of main(). */
void initializeLog(const char *program);

/** Runs @p context until SIGTERM or SIGINT. Returns the exit code. */
int runUntilSignal(boost::asio::io_context &context);

/** Initializes the log and calls @p body. Returns its exit code, or logs its exception and returns 1. */
int runProgram(const char *program, const std::function<int()> &body);

http_response jsonResponse(unsigned status, const nlohmann::json &content);

/** Returns microseconds of the steady clock, which is the same for all processes of a machine. */
long long steadyMicroseconds();

} // namespace sycamoretray::standins
