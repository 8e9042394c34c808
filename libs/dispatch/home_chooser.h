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

/** A home to which requests of a service that is not divided by key may be forwarded. */
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
 * Chooses among the homes of a service that is not divided by key: the less loaded of two random candidates.
 *
 * The load of a candidate is the number of requests that this instance has in flight there, plus a moving average of the
 * requests of other instances according to the home's load reports. Reports are limited to a range around the median
 * report. Between equal loads the candidate that was chosen less often recently is taken.
 *
 * For a long request only the long requests count as load. For a short one only the short requests count, and the worker
 * slots that long requests occupy are not available.
 *
 * Thread safety: none.
 */
class home_chooser
{
public:
    /** @param seed  seed of the generator that selects the two candidates */
    explicit home_chooser(std::uint64_t seed);

    /** Replaces the candidates; the load and the choices of a candidate that stays are kept. */
    void setCandidates(const std::vector<home_candidate> &candidates);

    /** Chooses a home and counts a request in flight there, to be ended by finished(). Empty if no candidate is available. */
    std::optional<server_id> choose(bool isLong = false);

    /** Counts a request to the home of @p server as no longer in flight. */
    void finished(const server_id &server, bool isLong = false);

    /** Takes in a load report of the home of @p server. */
    void applyLoadReport(const server_id &server, const home_load &load);
    /** Takes in a report that does not distinguish long requests from short ones; all count as short. */
    void applyLoadReport(const server_id &server, std::uint32_t queued, std::uint32_t running);

private:
    /** Load of a home by its short or its long requests. */
    struct length_load {
        std::uint32_t inFlight = 0;
        double requestsOfOtherInstances = 0;
        double lastReport = 0;
        /** Choices per worker slot, halved periodically. */
        double recentChoices = 0;

        double requests() const noexcept
        {
            return inFlight + requestsOfOtherInstances;
        }
    };
    struct home {
        home_candidate candidate;
        std::array<length_load, 2> loadByLength;

        double slots() const noexcept
        {
            return std::max(1U, candidate.workerSlots);
        }
    };

    double load(const home &each, bool isLong) const;
    bool isBetter(const home &a, const home &b, bool isLong) const;
    home &chooseOfTwo(bool isLong);
    void applyReport(home &each, bool isLong, std::uint32_t requests);
    /** Median over the available candidates; 0 if there are none. */
    double medianReport(bool isLong) const;
    double medianChoices(bool isLong) const;
    void countChoice();

    std::vector<home> m_homes;
    std::vector<std::size_t> m_available;
    std::unordered_map<server_id, std::size_t> m_index;
    std::mt19937_64 m_random;
    std::uint32_t m_choices = 0;
    /** Median of recentChoices; updated after as many choices as there are available candidates. */
    std::array<double, 2> m_medianChoices{};
};

} // namespace sycamoretray
