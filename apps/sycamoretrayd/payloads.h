#pragma once

#include "http_message/http_message.h"

namespace sycamoretray
{

/** The request of a caller, without Sycamoretray fields and hop-by-hop fields. */
struct request_payload {
    http_request request;
};

/** The complete answer of a server. */
struct answer_payload {
    http_response response;
};

} // namespace sycamoretray
