#pragma once

#include "standins/common/http_server.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace sycamoretray::standins
{

/** Initializes glog to standard error with the program's name. Call once, first in main(). */
void initializeLog(const char *program);

/** Runs @p context until SIGTERM or SIGINT. Returns the exit code. */
int runUntilSignal(boost::asio::io_context &context);

/** Calls @p body, and logs an exception that it throws. Returns the exit code of the program. */
int runProgram(const char *program, const std::function<int()> &body);

http_response jsonResponse(unsigned status, const nlohmann::json &content);

/** Microseconds of the steady clock, which all processes of a machine share. */
long long steadyMicroseconds();

} // namespace sycamoretray::standins
