#include "documents/cbor.h"
#include "permits/permit_message.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace sycamoretray;

namespace
{

/** Returns the message as an instance writes it that does not know the last elements. */
std::string withoutLast(const std::string &encoded, std::size_t elements)
{
    nlohmann::json message = decodeCbor(encoded);
    message.erase(message.end() - static_cast<std::ptrdiff_t>(elements), message.end());
    return encodeCbor(message);
}

} // namespace

// Guards against fields that are lost on the way, and against messages of the previous version that are rejected.
Test(permit_message, appended_fields_may_be_missing)
{
    permit_request request;
    request.idempotent = true;
    const std::string asked = encodePermitMessage(permit_request_message{ request });
    cr_expect(std::get<permit_request_message>(decodePermitMessage(asked).value()).request.idempotent);
    cr_expect(!std::get<permit_request_message>(decodePermitMessage(withoutLast(asked, 2)).value()).request.idempotent);
    permit_return message;
    message.result.timedOut = true;
    const std::string returned = encodePermitMessage(message);
    cr_expect(std::get<permit_return>(decodePermitMessage(returned).value()).result.timedOut);
    cr_expect(!std::get<permit_return>(decodePermitMessage(withoutLast(returned, 1)).value()).result.timedOut);
}
