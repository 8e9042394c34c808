#include "gateway/endpoint_limiter.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

// A load report is outdated once the requests that it counts have ended.
constexpr time_span loadReportLifetime = std::chrono::seconds(1);
// Limit of requests in flight while the endpoint reports free slots; low because all instances may see the same free slot.
constexpr std::uint32_t maxInFlightWithFreeSlots = 2;
// Exponential backoff for an endpoint that cannot be reached.
constexpr time_span initialBackoff = std::chrono::milliseconds(50);
constexpr time_span maxBackoff = std::chrono::milliseconds(800);
// A full endpoint frees a slot whenever a request ends, but many instances may wait for it, so each must retry rarely.
constexpr time_span maxFullBackoff = std::chrono::milliseconds(400);
constexpr std::uint32_t maxBackoffDoublings = 4;
// An endpoint that has not answered yet counts as fast, so that it is tried beside endpoints that are known to be fast.
constexpr double untriedSlowness = 0.4;
// Weight of a new sample in the moving average of the slowness.
constexpr double slownessWeight = 0.15;
// Higher than slownessWeight, as the time of an aborted request is only a lower bound of its run time.
constexpr double abortedWeight = 0.4;
// Weight of a new outcome in the moving average of failures.
constexpr double outcomeWeight = 0.08;
// An endpoint that fails all requests counts as ten times as slow, not more, so that it still gets requests and its recovery is
// noticed.
constexpr double failureWeight = 0.9;
// A sample is capped at this multiple of the current slowness, as a single long request does not show that the endpoint is slow.
constexpr double maxSampleFactor = 3;
// Requests that a sole sender keeps in flight beyond the number of worker slots.
constexpr std::uint32_t requestsBeyondSlots = 1;
constexpr double minSlowness = 0.2;
constexpr double maxSlowness = 10;

} // namespace

endpoint_limiter::endpoint_limiter(const listed_endpoint &endpoint, sender_mode use)
    : m_use(use)
{
    setLimitRole(use == sender_mode::sole_sender ? limit_role::first_coordinator : limit_role::single_instance);
    update(endpoint);
}

void endpoint_limiter::update(const listed_endpoint &endpoint)
{
    m_entry = endpoint.entry;
    m_listed = true;
    m_acceptsNewWork = sycamoretray::acceptsNewWork(endpoint);
    m_coldUntil = endpoint.coldUntil;
    m_coldSinceStart = endpoint.coldUntil == endpoint.stateSince + endpoint.entry.warmupRemaining;
}

void endpoint_limiter::limitWhileCold(std::optional<request_rate> rate, monotonic_time now)
{
    m_coldLimit.update(rate, m_coldUntil, m_coldSinceStart, now);
}

void endpoint_limiter::setCountsAllRequests(bool countsAll)
{
    m_coldLimit.setSoleSender(countsAll);
}

bool endpoint_limiter::isListed() const noexcept
{
    return m_listed;
}

void endpoint_limiter::unlist()
{
    m_listed = false;
}

const endpoint_entry &endpoint_limiter::entry() const noexcept
{
    return m_entry;
}

bool endpoint_limiter::acceptsNewWork() const noexcept
{
    return m_acceptsNewWork;
}

bool endpoint_limiter::takesNewWork(monotonic_time now) const noexcept
{
    return m_listed && m_acceptsNewWork && hasCapacity(now);
}

bool endpoint_limiter::hasCapacity(monotonic_time now) const noexcept
{
    if (now < blockedUntil()) {
        return false;
    }
    if (m_inFlight == 0) {
        return true;
    }
    if (m_use == sender_mode::sole_sender) {
        return estimatedLoad(now) < m_entry.workerSlots + requestsBeyondSlots;
    }
    const bool freeSlots = hasFreshReport(now) && m_loadReport.running + m_loadReport.waiting < m_loadReport.workerSlots;
    return freeSlots && m_inFlight < maxInFlightWithFreeSlots;
}

monotonic_time endpoint_limiter::blockedUntil() const noexcept
{
    return std::max({ m_blockedUntil, m_pausedUntil, m_requestLimit.nextRequestAt(), m_coldLimit.nextRequestAt() });
}

monotonic_time endpoint_limiter::pausedUntil() const noexcept
{
    return m_pausedUntil;
}

std::uint32_t endpoint_limiter::inFlight() const noexcept
{
    return m_inFlight;
}

const std::optional<request_rate> &endpoint_limiter::requestLimit() const noexcept
{
    return m_requestLimit.rate();
}

std::optional<known_request_limit> endpoint_limiter::knownRequestLimit(monotonic_time now) const
{
    return m_requestLimit.known(now);
}

void endpoint_limiter::recordKnownLimit(const known_request_limit &known, monotonic_time now)
{
    m_requestLimit.recordKnown(known, now);
}

std::optional<request_rate> endpoint_limiter::usableRate(monotonic_time now) const noexcept
{
    const auto named = m_requestLimit.usableRate();
    const auto cold = m_coldLimit.usableRate(now);
    return named && cold ? std::min(named, cold) : (cold ? cold : named);
}

bool endpoint_limiter::isLimitedWhileCold(monotonic_time now) const noexcept
{
    return m_coldLimit.applies(now);
}

void endpoint_limiter::setLimitRole(limit_role role)
{
    m_requestLimit.setRole(role);
    m_coldLimit.setRole(role);
}

void endpoint_limiter::setInstances(std::uint32_t instances)
{
    m_requestLimit.setInstances(instances);
    m_coldLimit.setInstances(instances);
}

bool endpoint_limiter::hasFreshReport(monotonic_time now) const noexcept
{
    return m_loadReportedAt && now - *m_loadReportedAt < loadReportLifetime;
}

double endpoint_limiter::estimatedLoad(monotonic_time now) const noexcept
{
    if (m_use == sender_mode::sole_sender) {
        // Unlike m_inFlight, the load report does not count requests whose sender was lost and whose end was not reported.
        const double reported = static_cast<double>(m_loadReport.running) + m_loadReport.waiting + m_inFlightChangeSinceReport;
        return hasFreshReport(now) ? std::max(0.0, reported) : m_inFlight;
    }
    double others = 0;
    if (m_loadReportedAt) {
        const double age = static_cast<double>((now - *m_loadReportedAt).count()) / static_cast<double>(loadReportLifetime.count());
        const double reported = m_loadReport.running + m_loadReport.waiting;
        others = std::max(0.0, reported - m_ownInLoadReport) * std::max(0.0, 1 - age);
    }
    return m_inFlight + others;
}

double endpoint_limiter::knownSlowness() const noexcept
{
    return m_hasAnswered ? m_slowness : untriedSlowness;
}

double endpoint_limiter::coldFactor(monotonic_time now) const noexcept
{
    constexpr double whileCold = 2;
    return now < m_coldUntil ? whileCold : 1;
}

double endpoint_limiter::slowness() const noexcept
{
    return knownSlowness() / (1 - m_failureShare * failureWeight);
}

double endpoint_limiter::runSlowness(monotonic_time now) const noexcept
{
    return knownSlowness() * coldFactor(now);
}

double endpoint_limiter::momentarySlowness(monotonic_time now) const noexcept
{
    return m_momentarySpeed.slowness(now);
}

double endpoint_limiter::currentSlowness(monotonic_time now) const noexcept
{
    return slowness() * coldFactor(now);
}

double endpoint_limiter::queueFactor(monotonic_time now) const noexcept
{
    const double slots = std::max(1U, m_entry.workerSlots);
    return 1 + std::max(0.0, estimatedLoad(now) + 1 - slots) / slots;
}

time_span endpoint_limiter::expectedTime(time_span typicalRunTime, monotonic_time now) const noexcept
{
    return std::chrono::duration_cast<time_span>(typicalRunTime * (currentSlowness(now) * momentarySlowness(now) * queueFactor(now)));
}

void endpoint_limiter::sent(monotonic_time now)
{
    m_requestLimit.recordSent(now);
    m_coldLimit.recordSent(now);
    ++m_inFlight;
    ++m_inFlightChangeSinceReport;
}

void endpoint_limiter::answered(const endpoint_reply &reply, time_span taken, time_span typicalRunTime, monotonic_time now)
{
    --m_inFlight;
    --m_inFlightChangeSinceReport;
    m_consecutiveFailures = 0;
    m_consecutiveFull = 0;
    m_hasAnswered = true;
    m_blockedUntil = {};
    recordRequestLimit(reply, now);
    recordLoadReport(reply, now);
    const bool failure = reply.response.status >= 500;
    countOutcome(failure);
    if (failure) {
        return;
    }
    const bool waited = m_use == sender_mode::one_of_many_senders && m_loadReport.waiting > 0;
    // The time of a request that may have waited at the endpoint is an upper bound of its run time, so it is used only if it is low.
    double ratio = static_cast<double>(taken.count()) / static_cast<double>(std::max<std::int64_t>(1, typicalRunTime.count()));
    // A slow interval must not make the endpoint look slow for seconds.
    ratio /= m_momentarySpeed.slownessDuring(now - taken, now);
    if (m_use == sender_mode::sole_sender) {
        ratio = std::min(ratio, m_slowness * maxSampleFactor);
    }
    if (!waited || ratio < m_slowness) {
        m_slowness = std::clamp(m_slowness + slownessWeight * (ratio - m_slowness), minSlowness, maxSlowness);
    }
}

void endpoint_limiter::failed(const endpoint_reply &reply, monotonic_time now)
{
    --m_inFlight;
    --m_inFlightChangeSinceReport;
    recordRequestLimit(reply, now);
    recordLoadReport(reply, now);
    countOutcome(true);
    if (reply.pause && m_use == sender_mode::one_of_many_senders) {
        m_pausedUntil = std::max(m_pausedUntil, now + *reply.pause);
    }
    if (m_use == sender_mode::sole_sender && (refusedDespiteFreeSlots(reply) || reply.kind == reply_kind::failed)) {
        // No backoff: other requests may succeed, and no other sender would use the worker slots in the meantime.
        return;
    }
    if (reply.kind == reply_kind::not_run && reply.sent && !reply.misdirected) {
        // The endpoint is full, not unreachable.
        m_blockedUntil = now + std::min(maxFullBackoff, initialBackoff * (1U << std::min(m_consecutiveFull++, maxBackoffDoublings)));
        return;
    }
    m_blockedUntil = now + std::min(maxBackoff, initialBackoff * (1U << std::min(m_consecutiveFailures++, maxBackoffDoublings)));
}

void endpoint_limiter::aborted(time_span ran, time_span typicalRunTime)
{
    --m_inFlight;
    --m_inFlightChangeSinceReport;
    const double ratio = static_cast<double>(ran.count()) / static_cast<double>(std::max<std::int64_t>(1, typicalRunTime.count()));
    if (ratio > std::max(1.0, m_slowness)) {
        // The ratio is a lower bound: the request would have run longer.
        m_hasAnswered = true;
        m_slowness = std::min(maxSlowness, m_slowness + abortedWeight * (ratio - m_slowness));
    }
}

void endpoint_limiter::forgetSlowness(double share) noexcept
{
    if (m_inFlight == 0) {
        m_slowness += share * (1 - m_slowness);
    }
}

void endpoint_limiter::countOutcome(bool failure)
{
    m_failureShare += outcomeWeight * ((failure ? 1 : 0) - m_failureShare);
}

void endpoint_limiter::recordRequestLimit(const endpoint_reply &reply, monotonic_time now)
{
    // Another endpoint may have answered a misdirected request.
    if (hasResponse(reply) && !reply.misdirected) {
        m_requestLimit.recordResponse(reply.requestLimit, now);
    }
}

void endpoint_limiter::recordLoadReport(const endpoint_reply &reply, monotonic_time now)
{
    if (reply.load && !reply.misdirected) {
        m_loadReport = *reply.load;
        if (reply.load->runTimePercent) {
            m_momentarySpeed.record(*reply.load->runTimePercent, now);
        }
        m_ownInLoadReport = m_inFlight;
        m_loadReportedAt = now;
        m_inFlightChangeSinceReport = 0;
    }
}

attempt_outcome outcomeOf(const endpoint_reply &reply) noexcept
{
    if (reply.kind == reply_kind::answered) {
        return reply.response.status >= 500 ? attempt_outcome::server_error : attempt_outcome::succeeded;
    }
    if (reply.kind == reply_kind::failed || !reply.sent || reply.misdirected) {
        return attempt_outcome::no_response;
    }
    return refusedDespiteFreeSlots(reply) ? attempt_outcome::refused_with_free_slots : attempt_outcome::refused_when_full;
}

} // namespace sycamoretray
