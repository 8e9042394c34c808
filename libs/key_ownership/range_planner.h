#pragma once

#include "key_ownership/key_load.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace sycamoretray
{

/** An endpoint that may be given keys. */
struct planning_endpoint {
    double workerSlots = 1;
    /** How much longer than usual its requests take. */
    double slowness = 1;
    /** Slow for some time after its start: keeps what it has, and gets no more for balance. */
    bool cold = false;
};

struct planning_range {
    key_range keys;
    /** Index of the endpoint that holds the keys; nothing if they have to be given to one. */
    std::optional<std::size_t> owner;
    /** May be moved for balance. */
    bool movable = false;
};

/** Gives a part of a range to an endpoint. */
struct planned_move {
    std::size_t range = 0;
    key_range keys;
    std::size_t target = 0;
};

struct planner_settings {
    /** Utilization below which an endpoint keeps what it has: its requests hardly wait. */
    double idleUtilization = 0.35;
    /** Least difference in utilization for which keys are moved; a move interrupts its keys for the length of a request. */
    double leastDifference = 0.15;
    /** The same, as a share of the mean utilization. */
    double leastShare = 0.25;
    /**
     * The same, in standard deviations of the difference that comes from the random number of requests. Half as much would move
     * keys on most plans of a calm day.
     */
    double leastSignificance = 2.5;
};

/**
 * Chooses which keys go to which endpoint, from the demand for each key and the speed of each endpoint.
 *
 * Thread safety: none.
 */
class range_planner
{
public:
    /** Precondition: @p endpoints is not empty. @p load must outlive the planner. */
    range_planner(const key_load &load, std::vector<planning_endpoint> endpoints, std::vector<planning_range> ranges, planner_settings settings);

    /** Gives every range without an owner to endpoints, in consecutive parts that even out their utilization. */
    std::vector<planned_move> shareOut();

    /** Moves parts of ranges from the most to the least utilized endpoints. Call it after shareOut(). */
    std::vector<planned_move> balance(std::size_t mostMoves);

    /** Work asked of an endpoint per second, over what it can do: beyond 1 its requests wait ever longer. */
    double utilization(std::size_t endpoint) const;

private:
    struct choice {
        std::size_t range = 0;
        key_range keys;
        double demand = 0;
    };

    double keyDemand(std::uint32_t key) const;
    double rangeDemand(key_range keys) const;
    double capacity(std::size_t endpoint) const;
    double meanUtilization(double additionalDemand) const;
    std::size_t leastUtilized(bool allowCold) const;
    /** Variance of the utilization that comes from the small number of requests on which the demand rests. */
    double utilizationVariance(std::size_t endpoint) const;
    bool isWorthMove(std::size_t donor, std::size_t taker) const;
    void shareOutRange(std::size_t index, std::vector<planned_move> &moves);
    std::optional<choice> choosePart(std::size_t donor, double wanted) const;
    choice bestPart(std::size_t index, double wanted) const;
    choice prefixOf(std::size_t index, double limit) const;
    choice suffixOf(std::size_t index, double limit) const;

    const key_load &m_load;
    std::vector<planning_endpoint> m_endpoints;
    std::vector<planning_range> m_ranges;
    planner_settings m_settings;
    /** Assumed for every key, so that ranges are also divided evenly while nothing is known of their demand. */
    double m_assumedDemand = 0;
    std::vector<double> m_demand;
    std::vector<bool> m_holdsKeys;
};

} // namespace sycamoretray
