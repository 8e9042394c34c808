#include "key_ownership/ownership_record.h"

#include "documents/cbor.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace sycamoretray
{

namespace
{

using nlohmann::json;

// Epochs and tokens above this, and longer grants, were not written by this project. Sums with them would overflow.
constexpr std::uint64_t maxNumber = 1ULL << 62U;
constexpr time_span maxGrantLength = std::chrono::hours(1);

// Each incarnation is written once and referenced by index, because most appear in several assignments.
class incarnation_table
{
public:
    int add(const endpoint_incarnation &incarnation)
    {
        if (incarnation.endpoint.value().empty()) {
            return -1;
        }
        const auto [position, inserted] = m_indexes.try_emplace(incarnation, static_cast<int>(m_indexes.size()));
        if (inserted) {
            m_rows.push_back(json::array({ incarnation.endpoint.value(), incarnation.startedAtMs, incarnation.address.value() }));
        }
        return position->second;
    }

    const json &rows() const
    {
        return m_rows;
    }

private:
    std::map<endpoint_incarnation, int> m_indexes;
    json m_rows = json::array();
};

endpoint_incarnation incarnationAt(const json &rows, int index)
{
    if (index < 0) {
        return {};
    }
    const json &row = rows.at(static_cast<std::size_t>(index));
    return { endpoint_id(row.at(0).get<std::string>()), row.at(1).get<std::uint64_t>(), network_address(row.at(2).get<std::string>()) };
}

json encodeAssignment(const key_assignment &assignment, incarnation_table &incarnations)
{
    json others = json::array();
    for (const endpoint_incarnation &incarnation : assignment.otherHolders) {
        others.push_back(incarnations.add(incarnation));
    }
    const auto unservedMs = std::chrono::duration_cast<std::chrono::milliseconds>(assignment.unservedFor).count();
    return json::array({ assignment.keys.last,
                         incarnations.add(assignment.owner),
                         assignment.token.value(),
                         assignment.releaseToken.value(),
                         assignment.settled,
                         std::move(others),
                         unservedMs });
}

key_assignment decodeAssignment(const json &row, const json &incarnations, std::uint32_t first)
{
    key_assignment result;
    result.keys = { first, row.at(0).get<std::uint32_t>() };
    result.owner = incarnationAt(incarnations, row.at(1).get<int>());
    result.token = fencing_token(row.at(2).get<std::uint64_t>());
    result.releaseToken = fencing_token(row.at(3).get<std::uint64_t>());
    result.settled = row.at(4).get<bool>();
    result.unservedFor = std::chrono::milliseconds(row.at(6).get<std::int64_t>());
    for (const json &other : row.at(5)) {
        result.otherHolders.push_back(incarnationAt(incarnations, other.get<int>()));
    }
    return result;
}

json encodeAddresses(const std::vector<network_address> &addresses)
{
    json result = json::array();
    for (const network_address &each : addresses) {
        result.push_back(each.value());
    }
    return result;
}

std::vector<network_address> decodeAddresses(const json &document)
{
    std::vector<network_address> result;
    for (const json &each : document) {
        result.emplace_back(each.get<std::string>());
    }
    return result;
}

} // namespace

json encodeAssignments(const std::vector<key_assignment> &assignments)
{
    incarnation_table incarnations;
    json rows = json::array();
    for (const key_assignment &each : assignments) {
        rows.push_back(encodeAssignment(each, incarnations));
    }
    return json::array({ incarnations.rows(), std::move(rows) });
}

std::vector<key_assignment> decodeAssignments(const json &document, std::uint32_t first)
{
    std::vector<key_assignment> assignments;
    for (const json &row : document.at(1)) {
        assignments.push_back(decodeAssignment(row, document.at(0), first));
        first = assignments.back().keys.last + 1;
    }
    return assignments;
}

std::string encodeOwnershipHeader(const ownership_record &record)
{
    json document = json::array({ record.service.value(),
                                  record.epoch,
                                  record.revision,
                                  record.assigner.value(),
                                  record.resigned,
                                  record.instances,
                                  record.nextToken,
                                  record.grantLength.count(),
                                  record.stopped });
    if (record.earlierAssigners) {
        document.push_back(encodeAddresses(*record.earlierAssigners));
    }
    return encodeCbor(document);
}

std::optional<ownership_record> decodeOwnershipHeader(std::string_view data)
{
    try {
        const json document = decodeCbor(data);
        ownership_record record;
        record.service = service_id(document.at(0).get<std::string>());
        record.epoch = document.at(1).get<std::uint64_t>();
        record.revision = document.at(2).get<std::uint64_t>();
        record.assigner = network_address(document.at(3).get<std::string>());
        record.resigned = document.at(4).get<bool>();
        record.instances = std::max(1U, document.at(5).get<std::uint32_t>());
        record.nextToken = document.at(6).get<std::uint64_t>();
        record.grantLength = time_span(document.at(7).get<std::int64_t>());
        record.stopped = document.size() > 8 && document.at(8).get<bool>();
        record.earlierAssigners = document.size() > 9 ? std::optional(decodeAddresses(document.at(9))) : std::nullopt;
        const bool plausible
            = record.epoch <= maxNumber && record.nextToken <= maxNumber && record.grantLength >= time_span::zero() && record.grantLength <= maxGrantLength;
        return plausible ? std::optional(std::move(record)) : std::nullopt;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace sycamoretray
