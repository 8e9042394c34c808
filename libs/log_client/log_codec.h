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

struct log_read_reply {
    /** ok, offset_expired, or log_unavailable. */
    result_code code = result_code::log_unavailable;
    std::vector<stored_record> records;
    log_offset earliest;
    log_offset next;
};

struct log_append_reply {
    /** ok, append_failed (certainly not appended) or append_unknown. */
    result_code code = result_code::append_unknown;
    log_offset first;
};

/** Returns @p data in base64. Thread-safe. */
std::string encodeBase64(std::string_view data);

/** Decodes base64 without line breaks. Returns false if @p text is not valid. Thread-safe. */
bool decodeBase64(std::string_view text, std::string &data);

/** Returns the body of an append request. Thread-safe. */
std::string encodeAppend(const std::vector<std::string> &records);

/**
 * Decodes the reply to a read. A reply whose offsets are not consecutive from @p from on, or are not below next, counts as
 * log_unavailable. Thread-safe.
 */
log_read_reply decodeRead(const http_response &response, log_offset from);

/** Decodes the reply to an append. Any reply that does not clearly say that nothing was appended is append_unknown. Thread-safe. */
log_append_reply decodeAppend(const http_response &response);

} // namespace sycamoretray
