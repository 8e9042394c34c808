#include "http_entry/error_answer.h"

#include "documents/json_text.h"

#include <nlohmann/json.hpp>

namespace sycamoretray
{

std::string_view outcomeText(result_code code) noexcept
{
    switch (outcomeClass(code)) {
    case request_outcome_class::answered:
        return "answered";
    case request_outcome_class::not_run:
        return "not-run";
    case request_outcome_class::unknown:
        break;
    }
    return "unknown";
}

http_response errorAnswer(result_code code, const request_id &request, std::string_view detail)
{
    const nlohmann::json body = { { "code", static_cast<int>(code) },
                                  { "name", resultName(code) },
                                  { "outcome", outcomeText(code) },
                                  { "message", detail.empty() ? resultMessage(code) : detail },
                                  { "request_id", request.value() } };
    http_response response;
    response.status = static_cast<std::uint32_t>(httpStatus(code));
    response.fields.push_back({ "Content-Type", "application/json" });
    if (!request.value().empty()) {
        response.fields.push_back({ "Sycamoretray-Request-Id", request.value() });
    }
    response.fields.push_back({ "Sycamoretray-Outcome", std::string(outcomeText(code)) });
    response.body = toJsonText(body);
    return response;
}

} // namespace sycamoretray
