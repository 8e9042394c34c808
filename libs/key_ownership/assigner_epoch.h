#pragma once

#include "base/ids.h"

#include <cstdint>

namespace sycamoretray
{

/** Number of low bits of an assigner's epoch that count the claims within one era of the store. */
inline constexpr unsigned claimBits = 20;

/**
 * Returns the lowest epoch of an assigner in @p era. It is above all epochs of earlier eras, including those that the store has lost, so that
 * instances that know these accept the records of the new assigner. Thread-safe.
 */
constexpr std::uint64_t firstEpochOf(store_era era) noexcept
{
    return era.value() << claimBits;
}

/** Returns the lowest fencing token that an assigner with @p epoch uses: above all tokens of earlier eras, including lost ones. Thread-safe. */
constexpr std::uint64_t firstTokenOf(std::uint64_t epoch) noexcept
{
    constexpr unsigned tokenBits = 40;
    return ((epoch >> claimBits) << tokenBits) + 1;
}

} // namespace sycamoretray
