#pragma once

#include "documents/document_error.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace sycamoretray
{

/**
 * Reads the members of a JSON object, validates their types and ranges, and rejects unknown members.
 *
 * Every method that returns a value throws document_error if the member is of the wrong type or out of range, or if it is required
 * and missing.
 * Thread safety: none. The JSON value must outlive the reader.
 */
class document_reader
{
public:
    /** Throws document_error if @p value is not an object. @param path  JSON pointer to @p value, used in error messages */
    document_reader(const nlohmann::json &value, std::string path);

    /** Returns a string member. Without @p fallback, the member is required. */
    std::string text(const std::string &name, const std::optional<std::string> &fallback = std::nullopt);

    /** Returns a required string member that is not empty. */
    std::string nonEmptyText(const std::string &name);

    bool boolean(const std::string &name, std::optional<bool> fallback = std::nullopt);

    std::uint64_t unsignedNumber(const std::string &name,
                                 std::optional<std::uint64_t> fallback,
                                 std::uint64_t minimum = 0,
                                 std::uint64_t maximum = std::numeric_limits<std::uint32_t>::max());

    double realNumber(const std::string &name, double fallback, double minimum, double maximum);

    /** Returns a duration given in milliseconds, from 1 ms to 24 h. */
    std::chrono::milliseconds milliseconds(const std::string &name, std::chrono::microseconds fallback);

    /** Returns an array member, or nullptr if it is optional and missing. */
    const nlohmann::json *array(const std::string &name, bool required);

    /** Returns an object member, or nullptr if it is optional and missing. */
    const nlohmann::json *object(const std::string &name, bool required);

    /** Returns a member of any type, or nullptr if it is missing. */
    const nlohmann::json *any(const std::string &name);

    bool has(const std::string &name) const;

    /** Returns the JSON pointer to the member. */
    std::string pathOf(const std::string &name) const;

    /** Throws document_error if the object has a member that was not requested through another method. Call it last. */
    void finish() const;

private:
    const nlohmann::json *find(const std::string &name, bool required);
    [[noreturn]] void fail(const std::string &name, const nlohmann::json &value, const std::string &remedy) const;

    const nlohmann::json &m_value;
    std::string m_path;
    std::vector<std::string> m_requestedNames;
};

/** Maximum size of a document. A published document must fit into one log record. */
inline constexpr std::size_t documentBytesLimit = 512ULL * 1024;

/** Maximum nesting depth of a document. Documents are traversed recursively, so the depth limits stack use. */
inline constexpr int documentDepthLimit = 64;

/** Parses JSON text. Throws document_error with line and column on a syntax error. */
nlohmann::json parseDocument(const std::string &text);

} // namespace sycamoretray
