#include "permits/permit_pool.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

// Estimates of the slowness differ by this factor by chance, as run times have a wide spread; endpoints within it count as equal.
constexpr double equalSlownessFactor = 1.4;
// Weight of the busy worker slots among endpoints that count as equal, so that they are used evenly.
constexpr double utilizationWeight = 0.8;
// Number of answers of each endpoint of the queue within which the estimate for one that does not answer loses most of its weight.
constexpr double answersToForget = 7;
// A gateway that can ask other zones allows for 1.3 typical run times, and the comparison for rounding.
constexpr double otherZonesFactor = 1.31;

double withoutChance(double slowness) noexcept
{
    return std::clamp(1.0, slowness / equalSlownessFactor, slowness * equalSlownessFactor);
}

} // namespace

bool permit_pool::isUsable(const pool_endpoint &endpoint, const permit_request &request, monotonic_time now)
{
    return endpoint.limiter.isListed() && (request.owner || endpoint.limiter.acceptsNewWork()) && endpoint.limiter.hasCapacity(now);
}

permit_pool::pool_endpoint *permit_pool::chooseForTrial(const permit_request &request, monotonic_time now)
{
    // A request that failed before is not risked again.
    if (m_failures.ejected() == 0 || !request.triedEndpoints.empty()) {
        return nullptr;
    }
    for (auto &[incarnation, endpoint] : m_endpoints) {
        if (m_failures.isTrialDue(incarnation, request.idempotent, now) && isUsable(endpoint, request, now)) {
            return &endpoint;
        }
    }
    return nullptr;
}

double permit_pool::comparedTime(const pool_endpoint &endpoint, monotonic_time now) const
{
    const endpoint_limiter &limiter = endpoint.limiter;
    // Retries after failures and refusals.
    const double repetitions = limiter.currentSlowness(now) / limiter.runSlowness(now);
    const double utilization = limiter.estimatedLoad(now) / std::max(1U, limiter.entry().workerSlots);
    return withoutChance(slowness(endpoint, now)) * repetitions * limiter.momentarySlowness(now) * limiter.queueFactor(now)
        * (1 + utilizationWeight * utilization);
}

bool permit_pool::isTooSlow(const pool_endpoint &endpoint, const permit_request &request, monotonic_time now) const
{
    const double slow = slowness(endpoint, now);
    return request.typicalRunTime * ((request.owner ? slow : withoutChance(slow)) * endpoint.limiter.queueFactor(now)) > request.maxAnswerTime;
}

bool permit_pool::hasOnlySlowEndpoints(const permit_request &request, monotonic_time now) const
{
    if (request.owner || request.maxAnswerTime > request.typicalRunTime * otherZonesFactor) {
        return false;
    }
    bool anyFree = false;
    for (const auto &[incarnation, endpoint] : m_endpoints) {
        if (!isUsable(endpoint, request, now) || m_failures.isEjected(incarnation)) {
            continue;
        }
        if (request.typicalRunTime * (withoutChance(slowness(endpoint, now)) * endpoint.limiter.momentarySlowness(now)) <= request.maxAnswerTime) {
            return false;
        }
        anyFree = anyFree || endpoint.used.size() < endpoint.limiter.entry().workerSlots;
    }
    return anyFree;
}

void permit_pool::recordOutcome(const permit_holder &holder,
                                const used_permit &used,
                                const permit_result &result,
                                const endpoint_reply &reply,
                                bool pathLost,
                                monotonic_time now)
{
    attempt_outcome outcome = attempt_outcome::inconclusive;
    if (result.finished && !pathLost) {
        outcome = outcomeOf(reply);
    } else if (result.timedOut && result.sent) {
        outcome = attempt_outcome::timed_out;
    }
    m_failures.ended(used.endpoint, { holder.instance, used.granted }, outcome, now);
    if (outcome != attempt_outcome::succeeded) {
        return;
    }
    const double share = 1 / (answersToForget * static_cast<double>(m_endpoints.size()));
    for (auto &[incarnation, endpoint] : m_endpoints) {
        if (!(incarnation == used.endpoint)) {
            endpoint.limiter.forgetSlowness(share);
        }
    }
}

std::vector<ejection_change> permit_pool::takeEjectionChanges()
{
    return m_failures.takeChanges();
}

std::size_t permit_pool::ejected() const noexcept
{
    return m_failures.ejected();
}

} // namespace sycamoretray
