#pragma once

#include "base/ids.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <system_error>

namespace sycamoretray
{

/** Response of the administration API. */
struct admin_response {
    /** peer_unreachable if there is no complete response or no error code in it; otherwise the error code of the instance. */
    std::error_code error;
    std::string message;
    nlohmann::json body;
};

/**
 * Blocking client of the administration API of one instance.
 *
 * Thread safety: none.
 */
class admin_client
{
public:
    /** @param token  bearer token; empty if the instance requires none */
    admin_client(network_address address, std::string token, std::chrono::milliseconds timeout);

    const network_address &address() const noexcept;

    admin_response get(const std::string &target) const;

    /** Sends @p body with the field If-Match: "@p baseVersion". */
    admin_response put(const std::string &target, const std::string &body, std::uint64_t baseVersion) const;

    admin_response post(const std::string &target, const nlohmann::json &body) const;

private:
    admin_response exchange(const std::string &method, const std::string &target, const std::string &body, const std::string &ifMatch) const;

    network_address m_address;
    std::string m_token;
    std::chrono::milliseconds m_timeout;
};

/** Percent-encodes all characters of @p text except the unreserved ones of RFC 3986. Thread-safe. */
std::string percentEncode(const std::string &text);

} // namespace sycamoretray
