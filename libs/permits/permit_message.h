#pragma once

#include "gateway/permit_source.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sycamoretray
{

/** Asks for a permit, or repeats that the instance still waits for it. */
struct permit_ask {
    permit_request request;
};

/** Says how a permit was used; repeated until it is acknowledged. */
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

/** The request waits for its turn. */
struct permit_queued {
    permit_id id;
};

/** The request cannot be answered in time. */
struct permit_refusal {
    permit_id id;
    /** Time until a place is likely free. */
    time_span retryAfter{};
};

/** The instance keeps no queue for this request: it stops, or does not know the endpoint. */
struct permit_unavailable {
    permit_id id;
    bool stopping = false;
};

/** Acknowledges a permit_return. */
struct permit_returned {
    permit_id id;
};

/** What instances tell each other about permits. */
using permit_message = std::variant<permit_ask, permit_return, permit_grant, permit_queued, permit_refusal, permit_unavailable, permit_returned>;

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
