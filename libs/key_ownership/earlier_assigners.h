#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "key_ownership/ownership_view.h"

#include <optional>
#include <vector>

namespace sycamoretray
{

/**
 * The earlier assigners that may still send grants. An assigner writes them to its own records, so that they outlast its process: its
 * successor takes them over together with their writer.
 *
 * A process can vouch for itself and for earlier processes at its address only. An assigner is therefore removed by its own answer, or because the
 * time is over for which an assigner sends without a confirmation.
 *
 * Performs no I/O. Thread safety: none.
 */
class earlier_assigners
{
public:
    /** @param limit  longest time for which an assigner sends grants without a confirmation of its role */
    explicit earlier_assigners(time_span limit);

    /**
     * Takes over from the assigner that wrote the newest records. Replaces what was known before.
     *
     * @param self  address of this instance, of which no other process can send
     */
    void takeOver(const ownership_view &ownership, const network_address &self, monotonic_time now);

    /** Reports that @p assigner, and no earlier process at its address, sends grants any more. Returns whether it was among them. */
    bool remove(const network_address &assigner);

    /** Returns whether earlier assigners may send grants. */
    bool mayBeSending(monotonic_time now) const;

    /** Returns for how long earlier assigners may send grants; 0 if none does. */
    time_span remaining(monotonic_time now) const;

    /** Returns the addresses to ask, without those that are not known. */
    std::vector<network_address> known(monotonic_time now) const;

    /** Returns the addresses for the records of this assigner, in order; an empty address stands for assigners that are not known by address. */
    std::vector<network_address> recorded(monotonic_time now) const;

private:
    time_span m_limit;
    monotonic_time m_sendUntil{};
    std::vector<network_address> m_assigners;
};

} // namespace sycamoretray
