#pragma once

#include "base/ids.h"

#include <algorithm>
#include <array>
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

/** Queued and running requests at a home. */
struct home_load {
    std::uint32_t shortRequests = 0;
    std::uint32_t longRequests = 0;
};

/**
 * Chooses among the homes of a service that is not divided by key: the less loaded of two candidates.
 *
 * The load of a candidate is the number of requests that this instance has in flight there plus the smoothed part of the
 * home's load reports that other instances cause. Reports that differ much from the others count only in part. Between
 * equal loads the candidate that was chosen less often recently is taken.
 *
 * A long request goes by the long requests alone. For a short one, the worker slots that long requests occupy do not count.
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
    std::optional<server_id> choose(bool isLong = false);

    /** A request that was sent to the home of @p server has its outcome. */
    void finished(const server_id &server, bool isLong = false);

    /** The home of @p server reports its load. */
    void reported(const server_id &server, const home_load &load);
    /** The same for a report that does not tell long requests from short ones; all count as short. */
    void reported(const server_id &server, std::uint32_t queued, std::uint32_t running);

private:
    /** What is known about the short or the long requests of a home. */
    struct share {
        std::uint32_t inFlight = 0;
        double reportedByOthers = 0;
        double lastReport = 0;
        /** Choices per worker slot, halved from time to time. */
        double recentChoices = 0;

        double requests() const noexcept
        {
            return inFlight + reportedByOthers;
        }
    };
    struct home {
        home_candidate candidate;
        std::array<share, 2> shares;

        double slots() const noexcept
        {
            return std::max(1U, candidate.workerSlots);
        }
    };

    double load(const home &each, bool isLong) const;
    bool isBetter(const home &a, const home &b, bool isLong) const;
    home &drawBetter(bool isLong);
    void believe(home &each, bool isLong, std::uint32_t requests);
    /** Median over the available candidates; 0 if there are none. */
    double medianReport(bool isLong) const;
    double medianChoices(bool isLong) const;
    void countChoice();

    std::vector<home> m_homes;
    std::vector<std::size_t> m_available;
    std::unordered_map<server_id, std::size_t> m_index;
    std::mt19937_64 m_random;
    std::uint32_t m_choices = 0;
    /** Median of recentChoices, at most one choice per candidate old. */
    std::array<double, 2> m_medianChoices{};
};

} // namespace sycamoretray
