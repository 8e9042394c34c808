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

/** Sets the log up: lines go to the standard output stream and are dropped while it cannot take them. Call once before any other thread runs. */
void startEventLog(const char *program);

/**
 * Writes one line "event=NAME key=value ..." to the log. Values with characters other than letters, digits and ._:/#@+- are
 * quoted and escaped, so that text from outside cannot forge fields or lines.
 *
 * At most 20 events of one name are written per second; the next one that is written carries suppressed=COUNT.
 *
 * Thread safety: any thread.
 */
void logEvent(event_severity severity, std::string_view name, const event_fields &fields);

/** As logEvent() with severity info. */
void logEvent(std::string_view name, const event_fields &fields = {});

/** Writes @p text to the log line by line, without a limit on the rate, for dumps on request. Thread-safe. */
void logText(std::string_view name, std::string_view text);

/** Returns "event=NAME key=value ..." as it is written. Thread-safe. */
std::string formatEvent(std::string_view name, const event_fields &fields);

} // namespace sycamoretray
