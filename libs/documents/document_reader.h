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
 * Reads the members of a JSON object with checks of type and range, and refuses members that nobody asked for.
 *
 * Every method throws document_error if the member is missing, mistyped or out of range.
 * Thread safety: none. The JSON value must outlive the reader.
 */
class document_reader
{
public:
    /** Precondition: none; a @p value that is not an object throws document_error. */
    document_reader(const nlohmann::json &value, std::string path);

    /** Returns the member as text; without @p fallback it is required. */
    std::string text(const std::string &name, const std::optional<std::string> &fallback = std::nullopt);

    /** As text(), and not empty. */
    std::string nonEmptyText(const std::string &name);

    bool boolean(const std::string &name, std::optional<bool> fallback = std::nullopt);

    std::uint64_t unsignedNumber(const std::string &name,
                                 std::optional<std::uint64_t> fallback,
                                 std::uint64_t minimum = 0,
                                 std::uint64_t maximum = std::numeric_limits<std::uint32_t>::max());

    double realNumber(const std::string &name, double fallback, double minimum, double maximum);

    /** Returns a duration that is written in milliseconds: at least 1 ms, at most a day. */
    std::chrono::milliseconds milliseconds(const std::string &name, std::chrono::microseconds fallback);

    /** Returns an array member, or nullptr if it is optional and missing. */
    const nlohmann::json *array(const std::string &name, bool required);

    /** Returns an object member, or nullptr if it is optional and missing. */
    const nlohmann::json *object(const std::string &name, bool required);

    /** Returns a member of any type, or nullptr if it is missing. */
    const nlohmann::json *any(const std::string &name);

    bool has(const std::string &name) const;

    /** JSON pointer of the member. */
    std::string pathOf(const std::string &name) const;

    /** Throws document_error if the object has a member that no method was asked for. Call it last. */
    void finish() const;

private:
    const nlohmann::json *find(const std::string &name, bool required);
    [[noreturn]] void fail(const std::string &name, const nlohmann::json &value, const std::string &remedy) const;

    const nlohmann::json &m_value;
    std::string m_path;
    std::vector<std::string> m_known;
};

/** Largest document that is read. A published document travels in one log record. */
inline constexpr std::size_t documentBytesLimit = 512ULL * 1024;

/** Deepest nesting that is read, because documents are walked recursively. */
inline constexpr int documentDepthLimit = 64;

/** Parses JSON text. Throws document_error with line and column on a syntax error. */
nlohmann::json parseDocument(const std::string &text);

} // namespace sycamoretray
