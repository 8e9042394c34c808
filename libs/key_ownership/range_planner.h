#pragma once

#include "key_ownership/key_load.h"

#include <cstddef>
#include <functional>
#include <limits>
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
    /** A high share of its requests fails: keeps its keys, and receives no more to balance load. */
    bool failing = false;
};

struct planning_range {
    key_range keys;
    /** Index of the endpoint that holds the keys; nullopt if they have to be assigned to one. */
    std::optional<std::size_t> owner;
    /** May be moved to balance load. */
    bool movable = false;
    /** Moved a short time ago: is moved again only away from an overloaded endpoint. */
    bool movedRecently = false;
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
    /** Number of ranges from which on only whole ranges are moved, because each range is renewed by a separate call. */
    std::size_t maxRanges = std::numeric_limits<std::size_t>::max();
};

/**
 * Assigns keys to endpoints by the demand for each key and the speed of each endpoint.
 *
 * Thread safety: none.
 */
class range_planner
{
public:
    /** Precondition: @p endpoints is not empty. */
    range_planner(const key_load &load, std::vector<planning_endpoint> endpoints, std::vector<planning_range> ranges, planner_settings settings);

    /** Assigns every range without an owner to endpoints, in consecutive parts that even out their utilization. */
    std::vector<planned_move> assignUnowned();

    /**
     * Moves each key that alone exceeds the capacity of its owner to the fastest endpoint, if that is at least 1.3 times as fast. Call it
     * before balance(), which then makes room.
     *
     * @param mayMove  whether a key may be moved now
     */
    std::vector<planned_move> moveOverloadedKeys(std::size_t maxMoves, const std::function<bool(std::uint32_t key)> &mayMove);

    /** Moves parts of ranges, several from one range if need be, from the most to the least utilized endpoints. Call it after assignUnowned(). */
    std::vector<planned_move> balance(std::size_t maxMoves);

    /**
     * Moves ranges with few keys and little demand to the owner of a neighbouring range, so that the two can be joined. Call it after balance().
     */
    std::vector<planned_move> gatherRanges(std::size_t maxMoves);

    /** Returns the demand on an endpoint over its capacity. Beyond 1 its queue grows without bound. */
    double utilization(std::size_t endpoint) const;

private:
    /** A range, or the rest of one from which parts were taken. */
    struct open_range : planning_range {
        /** Index of the range of which it is the rest. */
        std::size_t origin = 0;
    };
    struct candidate_part {
        std::size_t range = 0;
        key_range keys;
        double demand = 0;
        /** Lower is better. */
        double cost = 0;
    };

    void sumDemand(const key_load &load);
    double keyDemand(std::uint32_t key) const;
    double rangeDemand(key_range keys) const;
    double capacity(std::size_t endpoint) const;
    double meanUtilization(double additionalDemand) const;
    std::size_t leastUtilized(bool allowCold) const;
    /** Returns the least utilized endpoint that may receive keys to balance load, if any. */
    std::optional<std::size_t> leastUtilizedRecipient() const;
    std::optional<std::size_t> mostUtilizedDonor(const std::vector<bool> &exhausted) const;
    bool mayReceive(std::size_t endpoint) const;
    bool mayDonate(const planning_range &range) const;
    /** Variance of the utilization because the demand was averaged over a small number of requests. */
    double utilizationVariance(std::size_t endpoint) const;
    bool isMoveWorthwhile(std::size_t donor, std::size_t recipient) const;
    double wantedDemand(std::size_t donor, std::size_t recipient) const;
    void assignUnownedRange(std::size_t index, std::vector<planned_move> &moves);
    std::optional<candidate_part> choosePart(std::size_t donor, double wanted) const;
    std::optional<candidate_part> bestPart(std::size_t index, double wanted) const;
    candidate_part candidate(std::size_t index, key_range keys, double wanted) const;
    /** Moves @p keys of a range to @p recipient; what is left of the range may be moved further. */
    planned_move take(std::size_t index, key_range keys, std::size_t recipient);
    /** Returns the key with the highest demand. */
    std::uint32_t busiestKey(key_range keys) const;
    double busiestKeyDemand(std::size_t endpoint) const;
    std::optional<std::size_t> fastOwner(std::size_t owner) const;
    /** Returns the owner of a neighbouring range that can take over the range, if any. */
    std::optional<std::size_t> gatheringOwner(std::size_t index, const std::vector<std::size_t> &order, std::size_t position) const;

    std::vector<planning_endpoint> m_endpoints;
    std::vector<open_range> m_ranges;
    planner_settings m_settings;
    double m_meanWork = 0;
    /** Demand of all keys below each key. */
    std::vector<double> m_demandBelow;
    std::vector<double> m_demand;
    std::vector<bool> m_holdsKeys;
};

} // namespace sycamoretray
