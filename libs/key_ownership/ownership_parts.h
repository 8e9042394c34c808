#pragma once

#include "key_ownership/ownership_record.h"
#include "metadata_store/keyed_value.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamoretray
{

/** Consecutive parts into which the keys of a service are divided for storage. */
inline constexpr std::uint32_t ownershipPartCount = 64;

/**
 * Ownership of a part of the keys of a service. Each part is a record of its own in the metadata store: with hundreds of
 * endpoints, a change then writes, and every instance reads, a small share of the whole.
 */
struct ownership_part {
    service_id service;
    /** Of the change that wrote the part. */
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;
    std::uint32_t index = 0;
    /** Ordered by key; covers every key of the part once. */
    std::vector<key_assignment> assignments;
};

/** Returns the keys of a part. Precondition: @p index is below ownershipPartCount. Thread-safe. */
key_range keysOfPart(std::uint32_t index);

/** Divides a record that covers every key. An assignment of several parts is repeated with the same tokens. Thread-safe. */
std::vector<ownership_part> partsOf(const ownership_record &record);

/** Replaces what @p record says of the keys of @p part, and joins what partsOf() divided. Thread-safe. */
void mergePart(ownership_record &record, ownership_part part);

/** Returns the key of the store's record of a part. Thread-safe. */
std::string partKey(const service_id &service, std::uint32_t index);

/** The store's record with this key holds a part; other records of services are headers. Thread-safe. */
bool isPartKey(std::string_view key);

/** Encodes @p part as CBOR. Thread-safe. */
std::string encodeOwnershipPart(const ownership_part &part);

/** Decodes a part; nothing if @p data is malformed or does not cover every key of the part once, in order. Thread-safe. */
std::optional<ownership_part> decodeOwnershipPart(std::string_view data);

/**
 * Tells which records of the store a change of ownership has to replace.
 *
 * Thread safety: none.
 */
class ownership_record_writer
{
public:
    /** Returns the header and the parts that differ from what the store is known to hold. They have to be appended together. */
    std::vector<keyed_value> changes(const ownership_record &record) const;

    /** The store has acknowledged the changes for @p record. */
    void written(const ownership_record &record);

    /** Another writer may have changed the store. */
    void forgetAll();

private:
    using part_list = std::vector<std::vector<key_assignment>>;
    std::map<service_id, part_list> m_written;
};

} // namespace sycamoretray
