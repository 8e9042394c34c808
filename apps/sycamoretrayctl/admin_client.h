#pragma once

#include "base/ids.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <system_error>

namespace sycamoretray
{

/** An answer of the administration API. */
struct admin_answer {
    /** peer_unreachable without a complete answer; otherwise the code that the instance gave. */
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
    /** @param token  bearer token; empty if the instance needs none */
    admin_client(network_address address, std::string token, std::chrono::milliseconds timeout);

    const network_address &address() const noexcept;

    admin_answer get(const std::string &target) const;

    /** Sends @p body with If-Match: "@p baseVersion". */
    admin_answer put(const std::string &target, const std::string &body, std::uint64_t baseVersion) const;

    admin_answer post(const std::string &target, const nlohmann::json &body) const;

private:
    admin_answer exchange(const std::string &method, const std::string &target, const std::string &body, const std::string &ifMatch) const;

    network_address m_address;
    std::string m_token;
    std::chrono::milliseconds m_timeout;
};

/** Returns @p text with all characters escaped that may not stand in a path segment or query value. Thread-safe. */
std::string percentEncode(const std::string &text);

} // namespace sycamoretray
