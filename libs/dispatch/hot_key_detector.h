#pragma once

#include "base/monotonic_time.h"
#include "controller/controller_events.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sycamoretray
{

/**
 * Finds the keys of a server that cause the most requests, in bounded memory.
 *
 * Uses the Space-Saving algorithm (Metwally, Agrawal, El Abbadi) with counters that decay with a half-life of 5 s. The
 * possible overcount of a counter is subtracted, so a reported rate is a lower bound. Thread safety: none.
 */
class hot_key_detector
{
public:
    static constexpr std::size_t maxReports = 32;

    explicit hot_key_detector(server_id server);

    /** Counts a request for @p key. Precondition: @p now does not decrease. */
    void count(std::string_view key, monotonic_time now);

    /** Returns up to maxReports keys that each have at least @p share (0 to 1) of the server's requests, the hottest first. */
    std::vector<hot_key_report> report(double share, monotonic_time now);

private:
    /** With 128 counters, a key with 1/64 of the requests is always found and its count is at most 50 % too high. */
    static constexpr std::size_t counterCount = 128;

    struct counter {
        std::uint64_t hash = 0;
        std::string key;
        double overcount = 0;
    };

    void decay(monotonic_time now);
    std::size_t findOrReplace(std::string_view key, std::uint64_t hash);

    server_id m_server;
    std::array<double, counterCount> m_counts{};
    std::array<counter, counterCount> m_counters;
    std::size_t m_usedCounters = 0;
    boost::unordered_flat_map<std::uint64_t, std::size_t> m_index;
    double m_total = 0;
    monotonic_time m_started{};
    monotonic_time m_lastDecay{};
    bool m_hasStarted = false;
};

} // namespace sycamoretray
