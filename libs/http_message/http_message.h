#pragma once

#include "http_message/http_body.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace sycamoretray
{

struct http_field {
    std::string name;
    std::string value;
    friend bool operator==(const http_field &, const http_field &) = default;
};

using http_fields = std::vector<http_field>;

/** A complete request. The body is decoded, so fields that describe its framing no longer apply. */
struct http_request {
    std::string method;
    std::string target;
    http_fields fields;
    http_body body;
    /** False if the connection is closed after the response. */
    bool keepAlive = true;
    /** Memory that is reserved for the message without its body, until the last copy is destroyed; null if it is not counted. */
    std::shared_ptr<budget_reservation> reservation{};
};

/** A complete response. */
struct http_response {
    std::uint32_t status = 200;
    http_fields fields;
    http_body body;
    bool keepAlive = true;
    /** As for a request. */
    std::shared_ptr<budget_reservation> reservation{};
};

/** Returns the memory that @p fields take. Thread-safe. */
std::uint64_t memoryOf(const http_fields &fields) noexcept;

/** Compares field names, ignoring the case of ASCII letters. Thread-safe. */
bool equalFieldNames(std::string_view left, std::string_view right) noexcept;

/** Returns the value of the first field named @p name, or nullptr. Thread-safe. */
const std::string *findField(const http_fields &fields, std::string_view name) noexcept;

/** Returns the number of fields named @p name. Thread-safe. */
std::size_t countFields(const http_fields &fields, std::string_view name) noexcept;

/** Removes hop-by-hop fields, including those that the Connection field lists, and Content-Length. Thread-safe. */
void removeConnectionFields(http_fields &fields);

/**
 * Removes the fields whose names start with "Sycamoretray-". Underscores are treated as hyphens, because servers that pass fields
 * as environment variables cannot distinguish the two. Thread-safe.
 */
void removeOwnFields(http_fields &fields);

} // namespace sycamoretray
