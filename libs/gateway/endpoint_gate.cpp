#include "gateway/endpoint_gate.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

// A load report says little about the endpoint once its requests of that time have ended.
constexpr time_span reportLifetime = std::chrono::seconds(1);
// Requests under way while the endpoint reports free slots. All instances may see the same free slot.
constexpr std::uint32_t mostWithFreeSlots = 2;
// Endpoints that cannot be reached are left alone for a short time, which grows with each failure.
constexpr time_span firstBlock = std::chrono::milliseconds(50);
constexpr time_span longestBlock = std::chrono::milliseconds(800);
// A full endpoint frees a place each time a request ends. With many instances that wait for it, each has to ask rarely.
constexpr time_span longestFullBlock = std::chrono::milliseconds(400);
constexpr std::uint32_t mostDoublings = 4;
// An endpoint that has not answered yet counts as a fast one, so that it is tried beside endpoints that are known to be fast.
constexpr double untriedSlowness = 0.4;
constexpr double slownessWeight = 0.15;
// A request that is given up shows less than it would have taken.
constexpr double abortedWeight = 0.4;
constexpr double outcomeWeight = 0.08;
// An endpoint that fails everything still counts as ten times as slow only, so that its recovery is noticed.
constexpr double failureWeight = 0.9;
// Few requests take many times as long as usual. One such request does not show that the endpoint is slow.
constexpr double mostGrowth = 3;
// Requests of a sole sender beyond the worker slots.
constexpr std::uint32_t requestsAhead = 1;
constexpr double leastSlowness = 0.2;
constexpr double mostSlowness = 10;

} // namespace

endpoint_gate::endpoint_gate(const listed_endpoint &endpoint, gate_use use)
    : m_use(use)
{
    update(endpoint);
}

void endpoint_gate::update(const listed_endpoint &endpoint)
{
    m_entry = endpoint.entry;
    m_listed = true;
    m_coldUntil = endpoint.stateSince + endpoint.entry.coldFor;
}

bool endpoint_gate::isListed() const noexcept
{
    return m_listed;
}

void endpoint_gate::unlist()
{
    m_listed = false;
}

const endpoint_entry &endpoint_gate::entry() const noexcept
{
    return m_entry;
}

bool endpoint_gate::takesNewWork(monotonic_time now) const noexcept
{
    return m_listed && !m_entry.draining && hasRoom(now);
}

bool endpoint_gate::hasRoom(monotonic_time now) const noexcept
{
    if (now < m_blockedUntil) {
        return false;
    }
    if (m_inFlight == 0) {
        return true;
    }
    if (m_use == gate_use::sole_sender) {
        return estimatedLoad(now) < m_entry.workerSlots + requestsAhead;
    }
    const bool freeSlots = hasFreshReport(now) && m_report.running + m_report.waiting < m_report.workerSlots;
    return freeSlots && m_inFlight < mostWithFreeSlots;
}

monotonic_time endpoint_gate::blockedUntil() const noexcept
{
    return m_blockedUntil;
}

std::uint32_t endpoint_gate::inFlight() const noexcept
{
    return m_inFlight;
}

bool endpoint_gate::hasFreshReport(monotonic_time now) const noexcept
{
    return m_reportedAt && now - *m_reportedAt < reportLifetime;
}

double endpoint_gate::estimatedLoad(monotonic_time now) const noexcept
{
    if (m_use == gate_use::sole_sender) {
        // The report also shows requests that ended unnoticed, because their senders were lost.
        const double reported = static_cast<double>(m_report.running) + m_report.waiting + m_changeSinceReport;
        return hasFreshReport(now) ? std::max(0.0, reported) : m_inFlight;
    }
    double others = 0;
    if (m_reportedAt) {
        const double age = static_cast<double>((now - *m_reportedAt).count()) / static_cast<double>(reportLifetime.count());
        const double reported = m_report.running + m_report.waiting;
        others = std::max(0.0, reported - m_ownInReport) * std::max(0.0, 1 - age);
    }
    return m_inFlight + others;
}

double endpoint_gate::knownSlowness() const noexcept
{
    return m_answered ? m_slowness : untriedSlowness;
}

double endpoint_gate::coldFactor(monotonic_time now) const noexcept
{
    constexpr double whileCold = 2;
    return now < m_coldUntil ? whileCold : 1;
}

double endpoint_gate::slowness() const noexcept
{
    return knownSlowness() / (1 - m_failureShare * failureWeight);
}

double endpoint_gate::runSlowness(monotonic_time now) const noexcept
{
    return knownSlowness() * coldFactor(now);
}

double endpoint_gate::presentSlowness(monotonic_time now) const noexcept
{
    return slowness() * coldFactor(now);
}

double endpoint_gate::queueFactor(monotonic_time now) const noexcept
{
    const double slots = std::max(1U, m_entry.workerSlots);
    return 1 + std::max(0.0, estimatedLoad(now) + 1 - slots) / slots;
}

time_span endpoint_gate::expectedTime(time_span usual, monotonic_time now) const noexcept
{
    return std::chrono::duration_cast<time_span>(usual * (presentSlowness(now) * queueFactor(now)));
}

void endpoint_gate::sent()
{
    ++m_inFlight;
    ++m_changeSinceReport;
}

void endpoint_gate::answered(const endpoint_reply &reply, time_span taken, time_span usual, monotonic_time now)
{
    --m_inFlight;
    --m_changeSinceReport;
    m_failuresInRow = 0;
    m_fullInRow = 0;
    m_answered = true;
    m_blockedUntil = {};
    takeReport(reply, now);
    const bool failure = reply.response.status >= 500;
    countOutcome(failure);
    if (failure) {
        return;
    }
    const bool waited = m_use == gate_use::one_of_many_senders && m_report.waiting > 0;
    // A request that may have waited says nothing about the speed of the endpoint unless it was fast all the same.
    double ratio = static_cast<double>(taken.count()) / static_cast<double>(std::max<std::int64_t>(1, usual.count()));
    if (m_use == gate_use::sole_sender) {
        ratio = std::min(ratio, m_slowness * mostGrowth);
    }
    if (!waited || ratio < m_slowness) {
        m_slowness = std::clamp(m_slowness + slownessWeight * (ratio - m_slowness), leastSlowness, mostSlowness);
    }
}

void endpoint_gate::failed(const endpoint_reply &reply, monotonic_time now)
{
    --m_inFlight;
    --m_changeSinceReport;
    takeReport(reply, now);
    countOutcome(true);
    if (m_use == gate_use::sole_sender && (refusedWithRoom(reply) || reply.kind == reply_kind::failed)) {
        // Other requests may fare better, and nobody else would fill the worker slots meanwhile.
        return;
    }
    if (reply.kind == reply_kind::not_run && reply.sent && !reply.misdirected) {
        // The endpoint is full, not lost.
        m_blockedUntil = now + std::min(longestFullBlock, firstBlock * (1U << std::min(m_fullInRow++, mostDoublings)));
        return;
    }
    m_blockedUntil = now + std::min(longestBlock, firstBlock * (1U << std::min(m_failuresInRow++, mostDoublings)));
}

void endpoint_gate::aborted(time_span ran, time_span usual)
{
    --m_inFlight;
    --m_changeSinceReport;
    const double ratio = static_cast<double>(ran.count()) / static_cast<double>(std::max<std::int64_t>(1, usual.count()));
    if (ratio > std::max(1.0, m_slowness)) {
        // The request would have taken longer still.
        m_answered = true;
        m_slowness = std::min(mostSlowness, m_slowness + abortedWeight * (ratio - m_slowness));
    }
}

void endpoint_gate::countOutcome(bool failure)
{
    m_failureShare += outcomeWeight * ((failure ? 1 : 0) - m_failureShare);
}

void endpoint_gate::takeReport(const endpoint_reply &reply, monotonic_time now)
{
    if (reply.load) {
        m_report = *reply.load;
        m_ownInReport = m_inFlight;
        m_reportedAt = now;
        m_changeSinceReport = 0;
    }
}

} // namespace sycamoretray
