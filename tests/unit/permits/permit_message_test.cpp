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
Test(permit_message, appended_fields_of_a_request_may_be_missing)
{
    permit_request request;
    request.id = permit_id(1);
    request.idempotent = true;
    const std::string encoded = encodePermitMessage(permit_request_message{ request });
    const auto complete = decodePermitMessage(encoded);
    cr_assert(complete.has_value());
    cr_expect(std::get<permit_request_message>(*complete).request.idempotent);
    cr_expect(!std::get<permit_request_message>(*complete).request.fingerprint);
    const auto old = decodePermitMessage(withoutLast(encoded, 2));
    cr_assert(old.has_value());
    cr_expect(!std::get<permit_request_message>(*old).request.idempotent);
}

// Guards against the same for the outcome of an attempt.
Test(permit_message, appended_fields_of_a_return_may_be_missing)
{
    permit_return message;
    message.id = permit_id(1);
    message.result.timedOut = true;
    const std::string encoded = encodePermitMessage(message);
    cr_expect(std::get<permit_return>(decodePermitMessage(encoded).value()).result.timedOut);
    cr_expect(!std::get<permit_return>(decodePermitMessage(withoutLast(encoded, 1)).value()).result.timedOut);
}
