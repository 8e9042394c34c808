#pragma once

#include "base/ids.h"

#include <string_view>

namespace sycamoretray
{

/** Returns the hash slot of @p key: XXH3-64 modulo hashSlotCount. Thread-safe. */
hash_slot slotOfKey(std::string_view key) noexcept;

} // namespace sycamoretray
