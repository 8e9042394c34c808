#include "gateway/detail/gateway_impl.h"

#include <xxhash.h>

#include <string>

namespace sycamoretray
{

namespace
{

/** Appends @p part so that different lists of parts give different texts. */
void appendPart(std::string &text, std::string_view part)
{
    text += std::to_string(part.size());
    text += ':';
    text += part;
}

/** Hashes a body block by block, with the same result as for one string. */
std::uint64_t hashOf(const http_body &body)
{
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(), XXH3_freeState);
    XXH3_64bits_reset(state.get());
    for (const std::string_view piece : body.pieces()) {
        XXH3_64bits_update(state.get(), piece.data(), piece.size());
    }
    return XXH3_64bits_digest(state.get());
}

} // namespace

request_fingerprint gateway::impl::fingerprintOf(unanswered_request &pending) const
{
    if (!pending.fingerprint) {
        const gateway_request &request = pending.request;
        std::string text;
        for (const std::string_view part : { std::string_view(request.caller),
                                             std::string_view(request.message.method),
                                             std::string_view(request.host),
                                             std::string_view(request.message.target) }) {
            appendPart(text, part);
        }
        // The body is hashed by itself, so that a long one is not copied.
        const std::uint64_t seed = hashOf(request.message.body);
        pending.fingerprint = request_fingerprint(XXH3_64bits_withSeed(text.data(), text.size(), seed));
    }
    return *pending.fingerprint;
}

std::optional<time_span> gateway::impl::refusedAsSuspect(unanswered_request &pending, monotonic_time now)
{
    return crashes.empty() ? std::nullopt : crashes.refusedFor(fingerprintOf(pending), now);
}

bool gateway::impl::isCrashSuspect(unanswered_request &pending, monotonic_time now) const
{
    return !crashes.empty() && !crashes.mayRetry(fingerprintOf(pending), now);
}

void gateway::impl::recordCrash(unanswered_request &pending, const endpoint_reply &reply, monotonic_time now)
{
    if (reply.kind == reply_kind::failed && reply.sent && !hasResponse(reply) && reply.code == result_code::server_connection_lost) {
        if (isPathDoubtful(pending)) {
            return;
        }
        const std::uint32_t count = crashes.connectionLost(fingerprintOf(pending), pending.endpoint, now);
        log("endpoint_lost_with_request",
            { { "id", pending.request.id.value() },
              { "endpoint", pending.endpoint.endpoint.value() },
              { "fingerprint", std::to_string(fingerprintOf(pending).value()) },
              { "crashes", std::to_string(count) } });
        return;
    }
    if (crashes.empty()) {
        return;
    }
    // The response of another process at the address says nothing about the intended endpoint.
    if (hasResponse(reply) && !reply.misdirected) {
        crashes.responded(pending.endpoint, pending.sentAt);
    }
    if (reply.kind == reply_kind::answered) {
        crashes.answered(fingerprintOf(pending));
    }
}

} // namespace sycamoretray
