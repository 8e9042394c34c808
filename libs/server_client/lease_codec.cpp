#include "server_client/lease_codec.h"

#include "documents/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sycamoretray
{

namespace
{

using json = nlohmann::json;

json slotRanges(std::vector<hash_slot> slots)
{
    std::sort(slots.begin(), slots.end());
    json ranges = json::array();
    std::size_t first = 0;
    for (std::size_t i = 0; i < slots.size(); ++i) {
        const bool rangeEnds = i + 1 == slots.size() || slots[i + 1].value() > slots[i].value() + 1;
        if (rangeEnds) {
            ranges.push_back({ slots[first].value(), slots[i].value() });
            first = i + 1;
        }
    }
    return ranges;
}

} // namespace

std::string encodeLease(const send_lease &lease, const incarnation_id &home)
{
    const std::string &server = lease.server.value();
    json body = {
        { "service", server.substr(0, server.find('/')) },
        { "server", server },
        { "home", home.value() },
        { "home_term", lease.term.value() },
        { "challenge", lease.challenge },
        { "lease_ms", std::chrono::duration_cast<std::chrono::milliseconds>(lease.length).count() },
        { "ownership_version", lease.ownershipVersion },
    };
    if (lease.ownership) {
        body["ownership"] = {
            { "version", lease.ownership->version },
            { "slots", slotRanges(lease.ownership->slots) },
            { "extra_keys", lease.ownership->extraKeys },
            { "except_keys", lease.ownership->exceptKeys },
        };
    }
    // Keys are arbitrary bytes but JSON text is UTF-8, so invalid sequences are replaced.
    return toJsonText(body);
}

result_code decodeLeaseReply(const http_response &response, lease_reply &reply)
{
    if (response.status != 200 && response.status != 409) {
        return result_code::malformed_message;
    }
    try {
        const json body = json::parse(response.body.text());
        reply.accepted = response.status == 200;
        reply.bootId = body.at("boot_id").get<std::string>();
        reply.highestTerm = home_term(body.at("home_term").get<std::uint64_t>());
        if (!reply.accepted) {
            return result_code::ok;
        }
        reply.heldTerm = home_term(body.at("held_term").get<std::uint64_t>());
        reply.challenge = body.at("challenge").get<std::string>();
        reply.ownershipVersion = body.at("ownership_version").get<std::uint64_t>();
        reply.ownershipMissing = body.at("ownership_missing").get<bool>();
        reply.draining = body.at("draining").get<bool>();
        return result_code::ok;
    } catch (const json::exception &) {
        return result_code::malformed_message;
    }
}

} // namespace sycamoretray
