#pragma once

#include "base/ids.h"
#include "base/result_code.h"
#include "http_message/http_message.h"

#include <string>
#include <string_view>
#include <vector>

namespace sycamoretray
{

/** One record of a stream as the log service returned it. */
struct stored_record {
    log_offset offset;
    std::string data;
};

/** Decoded reply to a read. */
struct log_read_reply {
    /** ok, offset_expired, or log_unavailable. */
    result_code code = result_code::log_unavailable;
    std::vector<stored_record> records;
    /** Earliest offset that the log still has. */
    log_offset earliest;
    /** Offset that the next append will get. */
    log_offset next;
};

/** Decoded reply to an append. */
struct log_append_reply {
    /** ok, append_failed (nothing was appended) or append_unknown. */
    result_code code = result_code::append_unknown;
    /** Offset of the first appended record. */
    log_offset first;
};

/** Returns @p data in base64. Thread-safe. */
std::string encodeBase64(std::string_view data);

/** Decodes base64 without line breaks. Returns false if @p text is not in canonical form; @p data is then unspecified. Thread-safe. */
bool decodeBase64(std::string_view text, std::string &data);

/** Returns the body of an append request. Thread-safe. */
std::string encodeAppend(const std::vector<std::string> &records);

/**
 * Decodes the reply to a read. If the offsets of the records are not consecutive from @p from on, or not below next, the result
 * is log_unavailable. Thread-safe.
 */
log_read_reply decodeRead(const http_response &response, log_offset from);

/**
 * Decodes the reply to an append. The result is append_failed for status 429 and 503, with which the log says that nothing was appended,
 * and append_unknown for any other reply that does not confirm the append. Thread-safe.
 */
log_append_reply decodeAppend(const http_response &response);

} // namespace sycamoretray
