#pragma once

#include "dispatch/server_dispatcher.h"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace sycamoretray
{

/**
 * Counts server crashes by request fingerprint.
 *
 * A fingerprint with a count is a suspect and is to be run alone; from the crash limit on it is refused. A suspect that
 * is answered is cleared. Bounded to 4,096 fingerprints; the one that would lapse first is dropped for a new one.
 *
 * Thread safety: none.
 */
class crash_suspects
{
public:
    crash_suspects(std::uint32_t limit, time_span refusal);

    /** Counts a crash of this server and returns the total. */
    std::uint32_t countCrash(request_fingerprint fingerprint, monotonic_time now);

    /** Takes over a total counted elsewhere if it is larger than the own one. */
    void merge(request_fingerprint fingerprint, std::uint32_t crashes, time_span refusedFor, monotonic_time now);

    void clear(request_fingerprint fingerprint);

    bool isSuspect(request_fingerprint fingerprint, monotonic_time now) const;
    bool isRefused(request_fingerprint fingerprint, monotonic_time now) const;

    std::size_t size() const noexcept;

private:
    struct suspect {
        std::uint32_t crashes = 0;
        std::multimap<monotonic_time, request_fingerprint>::iterator lapse;
    };

    suspect &obtain(request_fingerprint fingerprint, monotonic_time now, time_span refusedFor);
    void dropLapsed(monotonic_time now);

    std::uint32_t m_limit;
    time_span m_refusal;
    std::unordered_map<request_fingerprint, suspect> m_suspects;
    std::multimap<monotonic_time, request_fingerprint> m_lapses;
};

} // namespace sycamoretray
