#pragma once

#include "key_ownership/key_load.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace sycamoretray
{

/** An endpoint to which keys may be assigned. */
struct planning_endpoint {
    double workerSlots = 1;
    /** Ratio of its measured to the typical run time. */
    double slowness = 1;
    /** Still slow after its start: receives no keys to balance load, and gives away those that are beyond its capacity. */
    bool cold = false;
};

struct planning_range {
    key_range keys;
    /** Index of the endpoint that holds the keys; nullopt if they have to be assigned to one. */
    std::optional<std::size_t> owner;
    /** May be moved to balance load. */
    bool movable = false;
};

/** Assigns part of a range to an endpoint. */
struct planned_move {
    /** Index of the range. */
    std::size_t range = 0;
    key_range keys;
    /** Index of the endpoint. */
    std::size_t target = 0;
};

struct planner_settings {
    /** Utilization below which an endpoint keeps its keys, because its requests hardly wait. */
    double idleUtilization = 0.35;
    /** Minimum difference in utilization for a move, which interrupts its keys for the run time of a request. */
    double minDifference = 0.15;
    /** Minimum difference as a fraction of the mean utilization. */
    double minDifferenceShare = 0.25;
    /**
     * Minimum difference in standard deviations of the difference that random request arrivals cause. Half of this moves keys in
     * most plans under low load.
     */
    double minSignificance = 2.5;
};

/**
 * Assigns keys to endpoints by the demand for each key and the speed of each endpoint.
 *
 * Thread safety: none.
 */
class range_planner
{
public:
    /** Precondition: @p endpoints is not empty. @p load must outlive the planner. */
    range_planner(const key_load &load, std::vector<planning_endpoint> endpoints, std::vector<planning_range> ranges, planner_settings settings);

    /** Assigns every range without an owner to endpoints, in consecutive parts that even out their utilization. */
    std::vector<planned_move> assignUnowned();

    /** Moves parts of ranges from the most to the least utilized endpoints. Call it after assignUnowned(). */
    std::vector<planned_move> balance(std::size_t maxMoves);

    /** Returns the demand on an endpoint over its capacity. Beyond 1 its queue grows without bound. */
    double utilization(std::size_t endpoint) const;

private:
    struct candidate_part {
        std::size_t range = 0;
        key_range keys;
        double demand = 0;
    };

    double keyDemand(std::uint32_t key) const;
    double rangeDemand(key_range keys) const;
    double capacity(std::size_t endpoint) const;
    double meanUtilization(double additionalDemand) const;
    std::size_t leastUtilized(bool allowCold) const;
    /** Variance of the utilization because the demand was averaged over a small number of requests. */
    double utilizationVariance(std::size_t endpoint) const;
    bool isMoveWorthwhile(std::size_t donor, std::size_t recipient) const;
    void assignUnownedRange(std::size_t index, std::vector<planned_move> &moves);
    std::optional<candidate_part> choosePart(std::size_t donor, double wanted) const;
    candidate_part bestPart(std::size_t index, double wanted) const;
    candidate_part prefixOf(std::size_t index, double limit) const;
    candidate_part suffixOf(std::size_t index, double limit) const;

    const key_load &m_load;
    std::vector<planning_endpoint> m_endpoints;
    std::vector<planning_range> m_ranges;
    planner_settings m_settings;
    /** Added to the demand of every key, so that ranges are divided evenly while their demand is unknown. */
    double m_assumedDemand = 0;
    std::vector<double> m_demand;
    std::vector<bool> m_holdsKeys;
};

} // namespace sycamoretray
