#pragma once

#include "gateway/permit_source.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sycamoretray
{

/** Requests a permit, or confirms that the instance still waits for it. */
struct permit_request_message {
    permit_request request;
};

/** Returns a permit with the outcome of its use; retried until it is acknowledged. */
struct permit_return {
    permit_id id;
    permit_result result;
};

/** The request may be sent to this endpoint. */
struct permit_grant {
    permit_id id;
    endpoint_id endpoint;
    std::uint64_t startedAtMs = 0;
};

/** The request is queued. */
struct permit_queued {
    permit_id id;
};

/** The permit is refused, because the request cannot be answered in time. */
struct permit_refusal {
    permit_id id;
    /** Estimated time until a worker slot is free. */
    time_span retryAfter{};
};

/** The instance is not a coordinator for this request: it is stopping, or knows no endpoint for it. */
struct permit_unavailable {
    permit_id id;
    bool stopping = false;
};

/** Acknowledges a permit_return. */
struct permit_return_acknowledgement {
    permit_id id;
};

/** Message between instances about permits. */
using permit_message
    = std::variant<permit_request_message, permit_return, permit_grant, permit_queued, permit_refusal, permit_unavailable, permit_return_acknowledgement>;

/** Encodes @p message as CBOR. Thread-safe. */
std::string encodePermitMessage(const permit_message &message);

/** Decodes a message; nothing if @p data is malformed. Thread-safe. */
std::optional<permit_message> decodePermitMessage(std::string_view data);

/** Sends messages to other instances. Messages may be lost, and may arrive out of order. */
class permit_port
{
public:
    virtual ~permit_port() = default;
    virtual void send(const network_address &to, const permit_message &message) = 0;
};

} // namespace sycamoretray
