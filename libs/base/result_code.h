#pragma once

#include <string_view>
#include <system_error>

namespace sycamoretray
{

/**
 * Result codes shown to callers and operators. docs/result-codes.md lists them; a test checks the page against this enumeration.
 * Numbers are never reused.
 */
enum class result_code {
    ok = 0,

    // 1xx: the request was not run.
    malformed_request = 100,
    body_too_large = 101,
    header_too_large = 102,
    no_matching_service = 103,
    key_missing = 104,
    invalid_request_id = 105,
    request_id_from_future = 106,
    deadline_expired = 110,
    queue_full = 111,
    deadline_unreachable = 112,
    no_owner = 113,
    instance_stopping = 114,
    configuration_stale = 115,
    crash_suspect = 116,
    duplicate_in_progress = 117,
    duplicate_table_full = 118,
    refused_by_server = 119,
    wrong_home = 120,
    customer_over_share = 121,
    instance_isolated = 122,
    crash_suspect_delayed = 123,
    memory_exhausted = 124,

    // 2xx: it is unknown whether the request ran.
    server_connection_lost = 200,
    home_lost = 201,
    deadline_while_running = 202,
    answer_truncated = 203,
    request_id_before_takeover = 204,
    request_id_expired = 205,
    answer_forgotten = 206,
    answer_mismatch = 207,
    repeat_unsettled = 208,
    peer_lost = 209,

    // 3xx: administration.
    unknown_name = 300,
    invalid_document = 301,
    version_conflict = 302,
    log_unavailable = 303,
    publish_unsettled = 304,
    unauthorized = 305,
    invalid_settings = 306,
    unknown_option = 307,

    // 4xx: between processes.
    malformed_message = 400,
    authentication_failed = 401,
    offset_expired = 402,
    append_failed = 403,
    append_unknown = 404,
    peer_unreachable = 405,
    stale_term = 406,
};

/** What a caller can conclude about its request from a result code. */
enum class request_outcome_class {
    answered,
    not_run,
    unknown,
};

/** Returns the class of @p code. 3xx and 4xx codes count as not_run. Thread-safe. */
request_outcome_class outcomeClass(result_code code) noexcept;

/** Returns the identifier of @p code as written in the enumeration. Thread-safe. */
std::string_view resultName(result_code code) noexcept;

/** Returns a description of @p code, one English sentence. Thread-safe. */
std::string_view resultMessage(result_code code) noexcept;

/** Returns the HTTP status that a caller receives for @p code. Thread-safe. */
int httpStatus(result_code code) noexcept;

const std::error_category &resultCategory() noexcept;
std::error_code make_error_code(result_code code) noexcept; // NOLINT(readability-identifier-naming): found by the standard library by this name

} // namespace sycamoretray

template<>
struct std::is_error_code_enum<sycamoretray::result_code> : std::true_type {
};
