#include "documents/document_reader.h"

#include "documents/json_text.h"
#include "documents/nearest_name.h"

#include <algorithm>

namespace sycamoretray
{

document_reader::document_reader(const nlohmann::json &value, std::string path)
    : m_value(value)
    , m_path(std::move(path))
{
    if (!value.is_object()) {
        throw document_error(m_path, toJsonText(value), "write a JSON object here");
    }
}

std::string document_reader::text(const std::string &name, const std::optional<std::string> &fallback)
{
    const nlohmann::json *found = find(name, !fallback.has_value());
    if (found == nullptr) {
        return *fallback;
    }
    if (!found->is_string()) {
        fail(name, *found, "write a string");
    }
    return found->get<std::string>();
}

std::string document_reader::nonEmptyText(const std::string &name)
{
    std::string result = text(name);
    if (result.empty()) {
        fail(name, *find(name, true), "write a string that is not empty");
    }
    return result;
}

bool document_reader::boolean(const std::string &name, std::optional<bool> fallback)
{
    const nlohmann::json *found = find(name, !fallback.has_value());
    if (found == nullptr) {
        return *fallback;
    }
    if (!found->is_boolean()) {
        fail(name, *found, "write true or false");
    }
    return found->get<bool>();
}

std::uint64_t document_reader::unsignedNumber(const std::string &name, std::optional<std::uint64_t> fallback, std::uint64_t minimum, std::uint64_t maximum)
{
    const nlohmann::json *found = find(name, !fallback.has_value());
    if (found == nullptr) {
        return *fallback;
    }
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() < minimum || found->get<std::uint64_t>() > maximum) {
        fail(name, *found, "write a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    }
    return found->get<std::uint64_t>();
}

double document_reader::realNumber(const std::string &name, double fallback, double minimum, double maximum)
{
    const nlohmann::json *found = find(name, false);
    if (found == nullptr) {
        return fallback;
    }
    if (!found->is_number() || found->get<double>() < minimum || found->get<double>() > maximum) {
        fail(name, *found, "write a number from " + nlohmann::json(minimum).dump() + " to " + nlohmann::json(maximum).dump());
    }
    return found->get<double>();
}

std::chrono::milliseconds document_reader::milliseconds(const std::string &name, std::chrono::microseconds fallback)
{
    constexpr std::uint64_t maxMilliseconds = std::chrono::milliseconds(std::chrono::hours(24)).count();
    const auto fallbackMs = std::chrono::duration_cast<std::chrono::milliseconds>(fallback).count();
    return std::chrono::milliseconds(unsignedNumber(name, static_cast<std::uint64_t>(fallbackMs), 1, maxMilliseconds));
}

const nlohmann::json *document_reader::array(const std::string &name, bool required)
{
    const nlohmann::json *found = find(name, required);
    if (found != nullptr && !found->is_array()) {
        fail(name, *found, "write an array");
    }
    return found;
}

const nlohmann::json *document_reader::object(const std::string &name, bool required)
{
    const nlohmann::json *found = find(name, required);
    if (found != nullptr && !found->is_object()) {
        fail(name, *found, "write an object");
    }
    return found;
}

const nlohmann::json *document_reader::any(const std::string &name)
{
    return find(name, false);
}

bool document_reader::has(const std::string &name) const
{
    return m_value.contains(name);
}

std::string document_reader::pathOf(const std::string &name) const
{
    return m_path + "/" + name;
}

void document_reader::finish() const
{
    for (const auto &[name, value] : m_value.items()) {
        if (std::find(m_requestedNames.begin(), m_requestedNames.end(), name) != m_requestedNames.end()) {
            continue;
        }
        const std::string nearest = nearestName(name, m_requestedNames);
        fail(name, value, nearest.empty() ? "remove this unknown name" : "unknown name; did you mean \"" + nearest + "\"?");
    }
}

const nlohmann::json *document_reader::find(const std::string &name, bool required)
{
    if (std::find(m_requestedNames.begin(), m_requestedNames.end(), name) == m_requestedNames.end()) {
        m_requestedNames.push_back(name);
    }
    const auto found = m_value.find(name);
    if (found == m_value.end()) {
        if (required) {
            throw document_error(pathOf(name), "missing", "add this member");
        }
        return nullptr;
    }
    return &*found;
}

void document_reader::fail(const std::string &name, const nlohmann::json &value, const std::string &remedy) const
{
    throw document_error(pathOf(name), toJsonText(value), remedy);
}

nlohmann::json parseDocument(const std::string &text)
{
    if (text.size() > documentBytesLimit) {
        throw document_error("", std::to_string(text.size()) + " bytes", "write at most " + std::to_string(documentBytesLimit) + " bytes");
    }
    try {
        return nlohmann::json::parse(text, [](int depth, nlohmann::json::parse_event_t, nlohmann::json &) {
            if (depth > documentDepthLimit) {
                throw document_error("", "nested too deeply", "nest at most " + std::to_string(documentDepthLimit) + " levels");
            }
            return true;
        });
    } catch (const nlohmann::json::exception &error) {
        throw document_error("", "not JSON", error.what());
    }
}

} // namespace sycamoretray
