#pragma once

#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace sycamoretray
{

/** A home that requests of a service not divided by key may be forwarded to. */
struct home_candidate {
    server_id server;
    std::uint32_t workerSlots = 1;
    /** False while the server is down, draining or without a home. */
    bool available = true;
};

/**
 * Chooses among the homes of a service that is not divided by key: the less loaded of two candidates.
 *
 * The load of a candidate is the number of requests that this instance has in flight there plus the smoothed part of the
 * home's load reports that other instances cause. Reports that differ much from the others count only in part. Between
 * equal loads the candidate that was chosen less often recently is taken.
 *
 * Thread safety: none.
 */
class home_chooser
{
public:
    /** @param seed  of the generator that draws the two candidates */
    explicit home_chooser(std::uint64_t seed);

    /** Replaces the candidates; what is known about a candidate that stays is kept. */
    void setCandidates(const std::vector<home_candidate> &candidates);

    /** Chooses a home and counts a request in flight there. Nothing if no candidate is available. Pair with finished(). */
    std::optional<server_id> choose();

    /** A request that was sent to the home of @p server has its outcome. */
    void finished(const server_id &server);

    /** The home of @p server reports its queued and running requests. */
    void reported(const server_id &server, std::uint32_t queued, std::uint32_t running);

private:
    struct home {
        home_candidate candidate;
        std::uint32_t inFlight = 0;
        double reportedByOthers = 0;
        double lastReport = 0;
        /** Choices per worker slot, halved from time to time. */
        double recentChoices = 0;
    };

    double load(const home &each) const;
    bool isBetter(const home &a, const home &b) const;
    /** Median of @p value over the available candidates; 0 if there are none. */
    double medianOf(double (*value)(const home &)) const;
    void countChoice();

    std::vector<home> m_homes;
    std::vector<std::size_t> m_available;
    std::unordered_map<server_id, std::size_t> m_index;
    std::mt19937_64 m_random;
    std::uint32_t m_choices = 0;
    /** Median of recentChoices, at most one choice per candidate old. */
    double m_medianChoices = 0;
};

} // namespace sycamoretray
