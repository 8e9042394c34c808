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
 * Space-saving counters (Metwally, Agrawal, El Abbadi) that decay with a half-life of 5 s. A rate is reported after the
 * possible overcount of its counter has been subtracted, so it is a lower bound. Thread safety: none.
 */
class hot_key_detector
{
public:
    static constexpr std::size_t hottestKeys = 32;

    explicit hot_key_detector(server_id server);

    /** Counts a request for @p key. Precondition: @p now does not decrease. */
    void count(std::string_view key, monotonic_time now);

    /** Reports at most the hottestKeys keys with at least @p share of the server's requests, the hottest first. */
    std::vector<hot_key_report> report(double share, monotonic_time now);

private:
    /** With 128 counters a key with 1/64 of the requests is never missed and overcounted by half at most. */
    static constexpr std::size_t counterCount = 128;

    struct counter {
        std::uint64_t hash = 0;
        std::string key;
        double overcount = 0;
    };

    void decay(monotonic_time now);
    std::size_t obtain(std::string_view key, std::uint64_t hash);

    server_id m_server;
    std::array<double, counterCount> m_counts{};
    std::array<counter, counterCount> m_counters;
    std::size_t m_used = 0;
    boost::unordered_flat_map<std::uint64_t, std::size_t> m_index;
    double m_total = 0;
    monotonic_time m_started{};
    monotonic_time m_decayed{};
    bool m_running = false;
};

} // namespace sycamoretray
