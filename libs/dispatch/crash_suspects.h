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
 * A fingerprint with at least one crash is a suspect and must run alone; once its count reaches the crash limit, it is
 * refused. A suspect is removed when it is answered or its refusal period has expired. At most 4,096
 * fingerprints are stored; a new one replaces the one that expires first.
 *
 * Thread safety: none.
 */
class crash_suspects
{
public:
    /** @param limit  crashes from which on a request is refused. @param refusalPeriod  time for which a fingerprint is stored */
    crash_suspects(std::uint32_t limit, time_span refusalPeriod);

    /** Counts a crash of this server and returns the total. */
    std::uint32_t countCrash(request_fingerprint fingerprint, monotonic_time now);

    /** Merges the total counted by another instance: the larger of the two totals and the later expiry are kept. */
    void merge(request_fingerprint fingerprint, std::uint32_t crashes, time_span refusedFor, monotonic_time now);

    void clear(request_fingerprint fingerprint);

    bool isSuspect(request_fingerprint fingerprint, monotonic_time now) const;
    bool isRefused(request_fingerprint fingerprint, monotonic_time now) const;

    std::size_t size() const noexcept;

private:
    struct suspect {
        std::uint32_t crashes = 0;
        std::multimap<monotonic_time, request_fingerprint>::iterator expiry;
    };

    suspect &findOrInsert(request_fingerprint fingerprint, monotonic_time now, time_span refusedFor);
    void removeExpired(monotonic_time now);

    std::uint32_t m_limit;
    time_span m_refusalPeriod;
    std::unordered_map<request_fingerprint, suspect> m_suspects;
    std::multimap<monotonic_time, request_fingerprint> m_expiries;
};

} // namespace sycamoretray
