#pragma once

#include "base/result_code.h"
#include "dispatch/server_dispatcher.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace sycamoretray
{

namespace pb
{
class ForwardRequest;
class ForwardAnswer;
class DuplicateTransfer;
} // namespace pb

/** Returns a serialized pb::PeerMessage with a forwarded request. Thread-safe. */
std::string encodeForward(std::uint64_t forwardId,
                          const service_id &service,
                          const server_id &server,
                          home_term term,
                          const dispatch_request &request,
                          monotonic_time now);

/**
 * Returns the request of a forward message, whose content is moved out. Thread-safe.
 *
 * The dispatch id is not set. The fingerprint is taken from the message, because the entry computed it.
 */
dispatch_request decodeForward(pb::ForwardRequest &message, monotonic_time now);

/** Returns a serialized pb::PeerMessage with the result of a forwarded request; @p answer may be null. Thread-safe. */
std::string encodeAnswer(std::uint64_t forwardId, result_code code, const answer_payload *answer);

/** Returns the answer of a message, whose content is moved out, or nullptr if its result is not ok. Thread-safe. */
std::shared_ptr<const answer_payload> decodeAnswer(pb::ForwardAnswer &message);

/** Returns a serialized pb::PeerMessage that cancels a forwarded request. Thread-safe. */
std::string encodeCancel(std::uint64_t forwardId);

/** Returns deduplication entries as one or more serialized pb::PeerMessages of bounded size. Thread-safe. */
std::vector<std::string> encodeTransfer(std::uint64_t transferId,
                                        const server_id &server,
                                        home_term term,
                                        const std::vector<hash_slot> &slots,
                                        const dispatch_transfer &transfer);

/** Returns the deduplication entries of one message, whose content is moved out. Thread-safe. */
dispatch_transfer decodeTransfer(pb::DuplicateTransfer &message);

/** Returns a serialized pb::PeerMessage with a crash report. Thread-safe. */
std::string encodeCrashReport(const service_id &service, const report_crash &report);

} // namespace sycamoretray
