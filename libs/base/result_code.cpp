#include "base/result_code.h"

#include <algorithm>
#include <array>
#include <string>

namespace sycamoretray
{

namespace
{

struct result_description {
    result_code code;
    std::string_view name;
    int httpStatus;
    std::string_view message;
};

constexpr std::array descriptions{
    result_description{ result_code::ok, "ok", 200, "The request was answered." },
    result_description{ result_code::malformed_request, "malformed_request", 400, "The request is not valid HTTP or has a malformed header." },
    result_description{ result_code::body_too_large, "body_too_large", 413, "The request body exceeds the service's limit." },
    result_description{ result_code::header_too_large, "header_too_large", 431, "The request header exceeds the limit." },
    result_description{ result_code::no_matching_service, "no_matching_service", 404, "No service of the current configuration matches the path." },
    result_description{ result_code::key_missing, "key_missing", 400, "The request does not carry a key where the template expects it." },
    result_description{ result_code::invalid_request_id,
                        "invalid_request_id",
                        400,
                        "A non-idempotent request needs a UUID version 7 in Idempotency-Key, or no such header." },
    result_description{ result_code::request_id_from_future,
                        "request_id_from_future",
                        400,
                        "The request id was created later than this instance's clock allows." },
    result_description{ result_code::deadline_expired, "deadline_expired", 504, "The deadline passed before the request was dispatched." },
    result_description{ result_code::queue_full, "queue_full", 503, "The queue of the owning server is full." },
    result_description{ result_code::deadline_unreachable, "deadline_unreachable", 503, "The expected queue delay exceeds the deadline." },
    result_description{ result_code::no_owner, "no_owner", 503, "No server owns the key at present." },
    result_description{ result_code::instance_stopping, "instance_stopping", 503, "The instance is stopping; try another one." },
    result_description{ result_code::configuration_stale, "configuration_stale", 503, "The instance cannot confirm that its configuration is current." },
    result_description{ result_code::crash_suspect, "crash_suspect", 422, "The request crashed servers before and is refused for a time." },
    result_description{ result_code::duplicate_in_progress, "duplicate_in_progress", 409, "A request with the same id is being processed." },
    result_description{ result_code::duplicate_table_full, "duplicate_table_full", 503, "No room to remember another non-idempotent request." },
    result_description{ result_code::refused_by_server, "refused_by_server", 503, "The server refused the request without running it." },
    result_description{ result_code::wrong_home, "wrong_home", 503, "The instance is not the home of the owning server." },
    result_description{ result_code::customer_over_share, "customer_over_share", 429, "The customer's share of the queue is used up." },
    result_description{ result_code::instance_isolated, "instance_isolated", 503, "The instance reaches no server and no other instance that does." },
    result_description{ result_code::crash_suspect_delayed, "crash_suspect_delayed", 503, "Each server that ran the request crashed; it is run again later." },
    result_description{ result_code::memory_exhausted, "memory_exhausted", 503, "The instance has no memory left for another request." },
    result_description{ result_code::server_connection_lost,
                        "server_connection_lost",
                        502,
                        "The connection to the server was lost after the request was sent." },
    result_description{ result_code::home_lost, "home_lost", 502, "The home instance was lost after the request was forwarded." },
    result_description{ result_code::deadline_while_running, "deadline_while_running", 504, "The deadline passed after the request was dispatched." },
    result_description{ result_code::answer_truncated, "answer_truncated", 502, "The server's answer was cut short." },
    result_description{ result_code::request_id_before_takeover,
                        "request_id_before_takeover",
                        409,
                        "The request id is older than the home's knowledge of this key; the request is not run again." },
    result_description{ result_code::request_id_expired,
                        "request_id_expired",
                        409,
                        "The request id is older than the duplicate window; the request is not run again." },
    result_description{ result_code::answer_forgotten, "answer_forgotten", 409, "The request ran before, but its answer is no longer kept." },
    result_description{ result_code::answer_mismatch, "answer_mismatch", 502, "The server answered with another request id." },
    result_description{ result_code::repeat_unsettled,
                        "repeat_unsettled",
                        409,
                        "Another request with the same id is still queued or running; its outcome is not known yet." },
    result_description{ result_code::peer_lost, "peer_lost", 502, "The instance to which the request was forwarded was lost." },
    result_description{ result_code::unknown_name, "unknown_name", 404, "No such name." },
    result_description{ result_code::invalid_document, "invalid_document", 422, "The document does not pass validation." },
    result_description{ result_code::version_conflict, "version_conflict", 412, "The document was changed since the named base version." },
    result_description{ result_code::log_unavailable, "log_unavailable", 503, "The log service is not available; nothing was published." },
    result_description{ result_code::publish_unsettled, "publish_unsettled", 504, "It is not yet known whether the change was published." },
    result_description{ result_code::unauthorized, "unauthorized", 401, "The administration token is missing or wrong." },
    result_description{ result_code::invalid_settings, "invalid_settings", 500, "A settings file is not valid." },
    result_description{ result_code::unknown_option, "unknown_option", 500, "Unknown command line option." },
    result_description{ result_code::malformed_message, "malformed_message", 400, "A message could not be decoded." },
    result_description{ result_code::authentication_failed, "authentication_failed", 403, "A peer message failed authentication." },
    result_description{ result_code::offset_expired, "offset_expired", 410, "The log no longer holds the offset." },
    result_description{ result_code::append_failed, "append_failed", 503, "The log did not accept the append." },
    result_description{ result_code::append_unknown, "append_unknown", 504, "It is unknown whether the append took effect." },
    result_description{ result_code::peer_unreachable, "peer_unreachable", 503, "The peer instance cannot be reached." },
    result_description{ result_code::stale_term, "stale_term", 409, "The home term is older than one already seen." },
};

const result_description &describe(result_code code) noexcept
{
    const auto found = std::find_if(descriptions.begin(), descriptions.end(), [code](const result_description &d) {
        return d.code == code;
    });
    return found == descriptions.end() ? descriptions.front() : *found;
}

class result_error_category final : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "sycamoretray";
    }

    std::string message(int value) const override
    {
        return std::string(resultMessage(static_cast<result_code>(value)));
    }
};

} // namespace

request_outcome_class outcomeClass(result_code code) noexcept
{
    const int number = static_cast<int>(code);
    if (number == 0) {
        return request_outcome_class::answered;
    }
    return number / 100 == 2 ? request_outcome_class::unknown : request_outcome_class::not_run;
}

std::string_view resultName(result_code code) noexcept
{
    return describe(code).name;
}

std::string_view resultMessage(result_code code) noexcept
{
    return describe(code).message;
}

int httpStatus(result_code code) noexcept
{
    return describe(code).httpStatus;
}

const std::error_category &resultCategory() noexcept
{
    static const result_error_category category;
    return category;
}

std::error_code make_error_code(result_code code) noexcept
{
    return { static_cast<int>(code), resultCategory() };
}

} // namespace sycamoretray
