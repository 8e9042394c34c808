#pragma once

#include "metadata_store/metadata_store.h"

#include <optional>
#include <string>
#include <string_view>

namespace sycamoretray
{

/** Encode the answers of a relay as CBOR. Thread-safe. */
std::string encodeListing(const keyed_listing &listing);
std::string encodeRead(const keyed_read &read);

/** Decode the answers of a relay; return nothing if @p data is malformed. Thread-safe. */
std::optional<keyed_listing> decodeRelayedListing(std::string_view data);
std::optional<keyed_read> decodeRelayedRead(std::string_view data);

} // namespace sycamoretray
