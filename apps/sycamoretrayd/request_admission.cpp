#include "sycamoretrayd/request_admission.h"

#include "dispatch/request_id_time.h"
#include "routing/hash_slots.h"
#include "sycamoretrayd/payloads.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace sycamoretray
{

namespace
{

// Request ids contain their creation time, by the clock of the caller.
constexpr std::chrono::milliseconds maxClockAhead(500);
// Longer deadlines are reduced to this, so that an abandoned request does not occupy its slot for days.
constexpr std::chrono::milliseconds maxDeadline = std::chrono::hours(1);

int hexDigit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + 10;
    }
    return -1;
}

bool isControlCharacter(char c)
{
    return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
}

std::optional<char> decodeEscape(std::string_view text)
{
    if (text.size() < 3) {
        return std::nullopt;
    }
    const int high = hexDigit(text[1]);
    const int low = hexDigit(text[2]);
    if (high < 0 || low < 0) {
        return std::nullopt;
    }
    return static_cast<char>(high * 16 + low);
}

/** Returns the path segment with this index, counted from 0, or nothing if it does not exist or is empty. */
std::optional<std::string_view> segmentAt(std::string_view path, std::uint32_t index)
{
    path.remove_prefix(1);
    for (std::uint32_t i = 0; i < index; ++i) {
        const std::size_t slash = path.find('/');
        if (slash == std::string_view::npos) {
            return std::nullopt;
        }
        path.remove_prefix(slash + 1);
    }
    const std::string_view segment = path.substr(0, path.find('/'));
    return segment.empty() ? std::nullopt : std::optional(segment);
}

bool segmentsAreUnambiguous(std::string_view path)
{
    path.remove_prefix(1);
    while (!path.empty()) {
        const std::size_t end = std::min(path.find('/'), path.size());
        const std::string_view segment = path.substr(0, end);
        if (segment.empty() || segment == "." || segment == "..") {
            return false;
        }
        path.remove_prefix(std::min(end + 1, path.size()));
    }
    return true;
}

std::string findKey(const effective_service &service, const std::string &path, const http_request &request)
{
    if (const auto *segment = std::get_if<path_segment_key>(&service.keyLocation)) {
        return std::string(segmentAt(path, segment->index).value_or(""));
    }
    const std::string &name = std::get<header_key>(service.keyLocation).name;
    const std::string *value = countFields(request.fields, name) == 1 ? findField(request.fields, name) : nullptr;
    return value == nullptr ? std::string() : *value;
}

/** Returns the index of the matching rule with the longest path prefix, or the number of rules if none matches. */
std::uint32_t findRule(const effective_service &service, std::string_view method, std::string_view path)
{
    std::size_t best = service.rules.size();
    for (std::size_t i = 0; i < service.rules.size(); ++i) {
        const request_rule &rule = service.rules[i];
        const bool matches = rule.method == method && path.starts_with(rule.pathPrefix);
        if (matches && (best == service.rules.size() || rule.pathPrefix.size() > service.rules[best].pathPrefix.size())) {
            best = i;
        }
    }
    return static_cast<std::uint32_t>(best);
}

bool readDeadline(const http_request &request, time_span defaultDeadline, time_span &deadline)
{
    const std::string *text = findField(request.fields, "Sycamoretray-Deadline-Ms");
    if (text == nullptr) {
        deadline = defaultDeadline;
        return true;
    }
    std::uint64_t milliseconds = 0;
    const char *end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, milliseconds);
    if (parsed.ec != std::errc() || parsed.ptr != end || text->empty()) {
        return false;
    }
    const auto bounded = std::min(milliseconds, static_cast<std::uint64_t>(maxDeadline.count()));
    deadline = std::chrono::milliseconds(bounded);
    return true;
}

request_fingerprint fingerprintOf(const service_id &service, const dispatch_request &request, const http_request &content)
{
    // A generated id differs for each repetition of a request, and all repetitions must have the same fingerprint.
    const std::string_view id = request.callerSuppliedId ? std::string_view(request.requestId.value()) : std::string_view();
    const std::string body = content.body.text();
    std::uint64_t hash = 0;
    for (const std::string_view field : { std::string_view(service.value()),
                                          std::string_view(request.key),
                                          id,
                                          std::string_view(content.method),
                                          std::string_view(content.target),
                                          std::string_view(body) }) {
        hash = XXH3_64bits_withSeed(field.data(), field.size(), hash);
    }
    return request_fingerprint(hash);
}

std::uint64_t sizeOf(const http_request &request)
{
    std::uint64_t bytes = request.target.size() + request.body.size();
    for (const http_field &field : request.fields) {
        bytes += field.name.size() + field.value.size();
    }
    return bytes;
}

result_code readRequestId(const http_request &request, dispatch_request &prepared, wall_time wallNow)
{
    const std::size_t count = countFields(request.fields, "Idempotency-Key");
    if (count == 0) {
        return result_code::ok;
    }
    const std::string &text = *findField(request.fields, "Idempotency-Key");
    const std::optional<wall_time> created = count == 1 ? creationTimeOfRequestId(text) : std::nullopt;
    if (!created) {
        return prepared.nonIdempotent ? result_code::invalid_request_id : result_code::ok;
    }
    if (*created > wallNow + maxClockAhead) {
        return prepared.nonIdempotent ? result_code::request_id_from_future : result_code::ok;
    }
    if (prepared.nonIdempotent) {
        prepared.requestId = request_id(text);
        prepared.callerSuppliedId = true;
        prepared.created = *created;
    }
    return result_code::ok;
}

} // namespace

bool decodePath(std::string_view target, std::string &path)
{
    const std::string_view raw = target.substr(0, target.find('?'));
    if (raw.empty() || raw.front() != '/') {
        return false;
    }
    path.clear();
    for (std::size_t i = 0; i < raw.size(); ++i) {
        char c = raw[i];
        if (c == '%') {
            const std::optional<char> decoded = decodeEscape(raw.substr(i));
            if (!decoded || *decoded == '/' || *decoded == '\\' || *decoded == '%' || *decoded == ';') {
                return false;
            }
            c = *decoded;
            i += 2;
        } else if (c == '\\' || c == ';' || c == '#') {
            return false;
        }
        if (isControlCharacter(c)) {
            return false;
        }
        path += c;
    }
    return segmentsAreUnambiguous(path);
}

admission_result admitRequest(http_request request, const routing_table &table, const request_id &generatedId, monotonic_time now, wall_time wallNow)
{
    admission_result result;
    dispatch_request &prepared = result.request;
    prepared.requestId = generatedId;
    prepared.created = wallNow;
    std::string path;
    if (!decodePath(request.target, path)) {
        result.code = result_code::malformed_request;
        return result;
    }
    const routed_service *routed = table.findService(path);
    if (routed == nullptr) {
        result.code = result_code::no_matching_service;
        return result;
    }
    const effective_service &service = routed->service;
    result.service = service.name;
    result.dividedByKey = service.dividedByKey;
    if (request.body.size() > service.limits.bodyBytes) {
        result.code = result_code::body_too_large;
        return result;
    }
    if (service.dividedByKey) {
        prepared.key = findKey(service, path, request);
        if (prepared.key.empty()) {
            result.code = result_code::key_missing;
            return result;
        }
        prepared.slot = slotOfKey(prepared.key);
    }
    time_span deadline{};
    if (!readDeadline(request, service.limits.defaultDeadline, deadline)) {
        result.code = result_code::malformed_request;
        return result;
    }
    prepared.deadline = now + deadline;
    prepared.requestClass = findRule(service, request.method, path);
    prepared.nonIdempotent = prepared.requestClass < service.rules.size() && service.rules[prepared.requestClass].nonIdempotent;
    result.code = readRequestId(request, prepared, wallNow);
    if (result.code != result_code::ok) {
        return result;
    }
    if (!service.customerHeader.empty()) {
        if (const std::string *customer = findField(request.fields, service.customerHeader)) {
            prepared.customer = customer_id(*customer);
        }
    }
    removeConnectionFields(request.fields);
    removeOwnFields(request.fields);
    prepared.fingerprint = fingerprintOf(service.name, prepared, request);
    prepared.bytes = sizeOf(request);
    prepared.payload = std::make_shared<const request_payload>(request_payload{ std::move(request) });
    return result;
}

} // namespace sycamoretray
