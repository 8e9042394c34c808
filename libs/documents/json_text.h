#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace sycamoretray
{

/**
 * Writes @p value as JSON. Bytes that are not UTF-8 are replaced with U+FFFD, so that a value that came from outside never prevents the writing.
 * Thread-safe.
 *
 * @param indent  number of spaces for each level; -1 writes a single line
 */
std::string toJsonText(const nlohmann::json &value, int indent = -1);

/** Returns @p text without the bytes that are not UTF-8. Thread-safe. */
std::string withoutInvalidUtf8(std::string_view text);

/** Returns whether @p text is UTF-8 without control characters, so that it can be written to JSON and to a header field. Thread-safe. */
bool isPrintableText(std::string_view text);

} // namespace sycamoretray
