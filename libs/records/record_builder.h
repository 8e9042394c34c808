#pragma once

#include "base/ids.h"

#include <records.pb.h>

#include <string>
#include <vector>

namespace sycamoretray
{

/** The functions of this file build records without author and sequence, which append_queue sets. Thread-safe. */
pb::Record instanceLeftRecord(const incarnation_id &incarnation, const std::string &reason);
pb::Record confirmersChangedRecord(std::uint64_t changeNumber, const incarnation_id &incarnation, bool add);
pb::Record confirmersSettledRecord(std::uint64_t changeNumber);
pb::Record homeClaimedRecord(const server_id &server, home_term previousTerm);
pb::Record serverUpRecord(const server_id &server, home_term term);
pb::Record serverLostRecord(const server_id &server, home_term term, const std::vector<server_id> &avoid);
pb::Record slotsMovedRecord(const service_id &service, const server_id &from, home_term term, const server_id &to, const std::vector<hash_slot> &slots);

/** An empty @p to returns the key to the owner of its slot. */
pb::Record keyMovedRecord(const service_id &service, const std::string &key, const server_id &from, home_term term, const server_id &to);
pb::Record endpointDrainRecord(const server_id &server, bool draining, const std::string &operatorName);

} // namespace sycamoretray
