#include "http_entry/bearer_token.h"

#include <openssl/crypto.h>

namespace sycamoretray
{

bool hasValidBearerToken(const http_request &request, const std::string &token)
{
    static constexpr std::string_view scheme = "Bearer ";
    if (token.empty()) {
        return true;
    }
    const std::string *value = findField(request.fields, "Authorization");
    if (value == nullptr || countFields(request.fields, "Authorization") != 1 || value->size() != scheme.size() + token.size()
        || !equalFieldNames(std::string_view(*value).substr(0, scheme.size()), scheme)) {
        return false;
    }
    return CRYPTO_memcmp(value->data() + scheme.size(), token.data(), token.size()) == 0;
}

} // namespace sycamoretray
