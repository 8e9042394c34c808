#include "routing/hash_slots.h"

#include <xxhash.h>

namespace sycamoretray
{

hash_slot slotOfKey(std::string_view key) noexcept
{
    return hash_slot(static_cast<std::uint16_t>(XXH3_64bits(key.data(), key.size()) % hashSlotCount));
}

} // namespace sycamoretray
