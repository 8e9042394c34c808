#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sycamoretray
{

enum class event_severity {
    info,
    warning,
    error,
};

using event_fields = std::vector<std::pair<std::string, std::string>>;

/** Initializes the log, which writes to standard output and drops lines while that would block. Call once before other threads are started. */
void startEventLog(const char *program);

/**
 * Writes one line "event=NAME key=value ..." to the log. Values with characters other than letters, digits and ._:/#@+- are
 * quoted and escaped, so that untrusted text cannot forge fields or lines.
 *
 * At most 20 events of one name are written per second; the next one that is written has the field suppressed=COUNT.
 *
 * Thread safety: any thread.
 */
void logEvent(event_severity severity, std::string_view name, const event_fields &fields);

/** Calls logEvent() with severity info. */
void logEvent(std::string_view name, const event_fields &fields = {});

/** Writes each line of @p text to the log as an event, without the rate limit; meant for dumps on request. Thread-safe. */
void logText(std::string_view name, std::string_view text);

/** Returns the line "event=NAME key=value ..." that logEvent() writes. Thread-safe. */
std::string formatEvent(std::string_view name, const event_fields &fields);

} // namespace sycamoretray
