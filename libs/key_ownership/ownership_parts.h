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

/** Number of consecutive parts into which the keys of a service are divided for storage. */
inline constexpr std::uint32_t ownershipPartCount = 64;

/**
 * Ownership of one part of the keys of a service. Each part is a separate record in the metadata store, so that with hundreds of
 * endpoints a change writes, and every instance reads, only a small fraction of the whole.
 */
struct ownership_part {
    service_id service;
    /** Epoch and revision of the change that wrote the part. */
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;
    std::uint32_t index = 0;
    /** Ordered by key; covers every key of the part exactly once. */
    std::vector<key_assignment> assignments;
};

/** Returns the range of keys of a part. Precondition: @p index is below ownershipPartCount. Thread-safe. */
key_range keysOfPart(std::uint32_t index);

/**
 * Divides a record into its parts. An assignment that spans several parts appears in each of them with the same tokens.
 * Precondition: @p record covers every key. Thread-safe.
 */
std::vector<ownership_part> partsOf(const ownership_record &record);

/** Replaces the assignments of the keys of @p part in @p record, and rejoins assignments that partsOf() divided. Thread-safe. */
void mergePart(ownership_record &record, ownership_part part);

/** Returns the key under which the metadata store holds a part. Thread-safe. */
std::string partKey(const service_id &service, std::uint32_t index);

/** Returns whether @p key is that of a part; the other ownership records in the store are headers. Thread-safe. */
bool isPartKey(std::string_view key);

/** Encodes @p part as CBOR. Thread-safe. */
std::string encodeOwnershipPart(const ownership_part &part);

/** Decodes a part. Returns nullopt if @p data is malformed or does not cover every key of the part exactly once, in order. Thread-safe. */
std::optional<ownership_part> decodeOwnershipPart(std::string_view data);

/**
 * Determines which records in the store have to be replaced when ownership changes.
 *
 * Thread safety: none.
 */
class ownership_record_writer
{
public:
    /** Returns the header and the parts that differ from what the store is known to hold. Append them together. */
    std::vector<keyed_value> changes(const ownership_record &record) const;

    /** Reports that the store acknowledged the changes for @p record. */
    void written(const ownership_record &record);

    /** Discards what is known of the store, because another writer may have changed it. */
    void forgetAll();

private:
    using part_list = std::vector<std::vector<key_assignment>>;
    std::map<service_id, part_list> m_written;
};

} // namespace sycamoretray
