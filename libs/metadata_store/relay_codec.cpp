#include "metadata_store/relay_codec.h"

#include "documents/cbor.h"

namespace sycamoretray
{

namespace
{

using nlohmann::json;

json encodeRecords(const std::vector<keyed_record> &records)
{
    json rows = json::array();
    for (const keyed_record &record : records) {
        json value;
        if (record.value) {
            value = json::binary({ record.value->begin(), record.value->end() });
        }
        rows.push_back(json::array({ record.key, std::move(value), record.offset.value() }));
    }
    return rows;
}

std::vector<keyed_record> decodeRecords(const json &rows)
{
    std::vector<keyed_record> records;
    for (const json &row : rows) {
        keyed_record record{ row.at(0).get<std::string>(), std::nullopt, log_offset(row.at(2).get<std::uint64_t>()) };
        if (row.at(1).is_binary()) {
            const auto &bytes = row.at(1).get_binary();
            record.value = std::string(bytes.begin(), bytes.end());
        }
        records.push_back(std::move(record));
    }
    return records;
}

} // namespace

std::string encodeListing(const keyed_listing &listing)
{
    return encodeCbor(json::array({ listing.end.value(), encodeRecords(listing.records), listing.era.value() }));
}

std::string encodeRead(const keyed_read &read)
{
    return encodeCbor(
        json::array({ read.result == store_result::expired, read.end.value(), read.next.value(), encodeRecords(read.records), read.era.value() }));
}

std::optional<keyed_listing> decodeRelayedListing(std::string_view data)
{
    try {
        const json document = decodeCbor(data);
        keyed_listing listing;
        listing.result = store_result::ok;
        listing.end = log_offset(document.at(0).get<std::uint64_t>());
        listing.records = decodeRecords(document.at(1));
        listing.era = store_era(document.at(2).get<std::uint64_t>());
        return listing;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::optional<keyed_read> decodeRelayedRead(std::string_view data)
{
    try {
        const json document = decodeCbor(data);
        keyed_read read;
        read.result = document.at(0).get<bool>() ? store_result::expired : store_result::ok;
        read.end = log_offset(document.at(1).get<std::uint64_t>());
        read.next = log_offset(document.at(2).get<std::uint64_t>());
        read.records = decodeRecords(document.at(3));
        read.era = store_era(document.at(4).get<std::uint64_t>());
        return read;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace sycamoretray
