#include "key_ownership/ownership_parts.h"

#include "documents/cbor.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace sycamoretray
{

namespace
{

using nlohmann::json;

constexpr std::uint32_t keysPerPart = keyCount / ownershipPartCount;
// A part with a higher epoch was not written by this project, and would hide all later ones.
constexpr std::uint64_t maxEpoch = 1ULL << 62U;
constexpr std::string_view partPrefix = "part/";

bool covers(const std::vector<key_assignment> &assignments, key_range keys)
{
    std::uint32_t next = keys.first;
    for (const key_assignment &each : assignments) {
        if (each.keys.first != next || each.keys.last < each.keys.first || each.keys.last > keys.last) {
            return false;
        }
        next = each.keys.last + 1;
    }
    return next == keys.last + 1;
}

/** Joins an assignment with the next one if they differ only in their keys. */
void joinWithNext(std::vector<key_assignment> &assignments, std::size_t index)
{
    if (index + 1 >= assignments.size()) {
        return;
    }
    key_assignment joined = assignments[index];
    joined.keys = assignments[index + 1].keys;
    if (joined == assignments[index + 1]) {
        assignments[index].keys.last = joined.keys.last;
        assignments.erase(assignments.begin() + static_cast<std::ptrdiff_t>(index) + 1);
    }
}

auto assignmentOf(std::vector<key_assignment> &assignments, std::uint32_t key)
{
    return std::lower_bound(assignments.begin(), assignments.end(), key, [](const key_assignment &each, std::uint32_t value) {
        return each.keys.last < value;
    });
}

} // namespace

key_range keysOfPart(std::uint32_t index)
{
    return { index * keysPerPart, (index + 1) * keysPerPart - 1 };
}

std::vector<ownership_part> partsOf(const ownership_record &record)
{
    std::vector<ownership_part> parts;
    for (std::uint32_t index = 0; index < ownershipPartCount; ++index) {
        parts.push_back({ record.service, record.epoch, record.revision, index, {} });
    }
    for (const key_assignment &each : record.assignments) {
        for (std::uint32_t index = each.keys.first / keysPerPart; index <= each.keys.last / keysPerPart; ++index) {
            const key_range keys = keysOfPart(index);
            key_assignment &piece = parts[index].assignments.emplace_back(each);
            piece.keys = { std::max(each.keys.first, keys.first), std::min(each.keys.last, keys.last) };
        }
    }
    return parts;
}

void mergePart(ownership_record &record, ownership_part part)
{
    std::vector<key_assignment> &all = record.assignments;
    const key_range keys = keysOfPart(part.index);
    if (all.empty()) {
        all.emplace_back();
    }
    const auto first = assignmentOf(all, keys.first);
    const auto last = assignmentOf(all, keys.last);
    std::vector<key_assignment> pieces;
    if (first->keys.first < keys.first) {
        pieces.push_back(*first);
        pieces.back().keys.last = keys.first - 1;
    }
    std::move(part.assignments.begin(), part.assignments.end(), std::back_inserter(pieces));
    if (last->keys.last > keys.last) {
        pieces.push_back(*last);
        pieces.back().keys.first = keys.last + 1;
    }
    const auto index = static_cast<std::size_t>(first - all.begin());
    const auto position = all.erase(first, last + 1);
    all.insert(position, std::make_move_iterator(pieces.begin()), std::make_move_iterator(pieces.end()));
    // In reverse order, because a join shifts the positions of later assignments.
    for (std::size_t i = index + pieces.size(); i-- > (index == 0 ? 0 : index - 1);) {
        joinWithNext(all, i);
    }
}

std::string partKey(const service_id &service, std::uint32_t index)
{
    return std::string(partPrefix) + std::to_string(index) + "/" + service.value();
}

bool isPartKey(std::string_view key)
{
    return key.starts_with(partPrefix);
}

std::string encodeOwnershipPart(const ownership_part &part)
{
    return encodeCbor(json::array({ part.service.value(), part.epoch, part.revision, part.index, encodeAssignments(part.assignments) }));
}

std::optional<ownership_part> decodeOwnershipPart(std::string_view data)
{
    try {
        const json document = decodeCbor(data);
        ownership_part part;
        part.service = service_id(document.at(0).get<std::string>());
        part.epoch = document.at(1).get<std::uint64_t>();
        part.revision = document.at(2).get<std::uint64_t>();
        part.index = document.at(3).get<std::uint32_t>();
        if (part.index >= ownershipPartCount || part.epoch > maxEpoch) {
            return std::nullopt;
        }
        const key_range keys = keysOfPart(part.index);
        part.assignments = decodeAssignments(document.at(4), keys.first);
        return covers(part.assignments, keys) ? std::optional(std::move(part)) : std::nullopt;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::vector<keyed_value> ownership_record_writer::changes(const ownership_record &record) const
{
    std::vector<keyed_value> records{ { record.service.value(), encodeOwnershipHeader(record) } };
    const auto known = m_written.find(record.service);
    for (const ownership_part &part : partsOf(record)) {
        if (known == m_written.end() || known->second[part.index] != part.assignments) {
            records.push_back({ partKey(record.service, part.index), encodeOwnershipPart(part) });
        }
    }
    return records;
}

void ownership_record_writer::written(const ownership_record &record)
{
    part_list &known = m_written[record.service];
    known.clear();
    for (ownership_part &part : partsOf(record)) {
        known.push_back(std::move(part.assignments));
    }
}

void ownership_record_writer::forgetAll()
{
    m_written.clear();
}

} // namespace sycamoretray
