#include "endpoint_speed/failure_detector.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace sycamoretray
{

namespace
{

constexpr std::uint32_t failuresToEject = 2;
constexpr std::uint32_t successesToReadmit = 3;
// Server errors among the last 8 attempts; a smaller share can be due to single requests.
constexpr int serverErrorsToEject = 5;
constexpr time_span firstPause = std::chrono::milliseconds(500);
constexpr time_span longestPause = std::chrono::seconds(4);
// Time for which a due trial waits for a request that may be repeated if it fails.
constexpr time_span trialPreferenceTime = std::chrono::seconds(2);
// A sender that got a response shortly before the first failure has a path; a busy one gets several in this time.
constexpr time_span responseLifetime = std::chrono::milliseconds(300);
// Responses to a sender are kept for longer than a streak of failures takes.
constexpr time_span responseRetention = std::chrono::seconds(10);
constexpr std::size_t maxEjectedDivisor = 3;

bool hasResponse(attempt_outcome outcome) noexcept
{
    return outcome != attempt_outcome::no_response && outcome != attempt_outcome::timed_out && outcome != attempt_outcome::inconclusive;
}

} // namespace

std::vector<std::pair<std::string, std::string>> ejectionFields(const ejection_change &change)
{
    return { { "endpoint", change.endpoint.endpoint.value() },
             { "failures", std::to_string(change.failures) },
             { "pause_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(change.pause).count()) } };
}

void failure_detector::setEndpoints(const std::vector<endpoint_incarnation> &endpoints)
{
    std::map<endpoint_incarnation, endpoint_state> kept;
    for (const endpoint_incarnation &endpoint : endpoints) {
        const auto known = m_endpoints.find(endpoint);
        kept.emplace(endpoint, known == m_endpoints.end() ? endpoint_state() : std::move(known->second));
    }
    m_endpoints = std::move(kept);
    while (ejected() > maxEjected()) {
        const auto fewest = ejectedWithFewestFailures();
        readmit(fewest->first, fewest->second);
    }
}

bool failure_detector::isEjected(const endpoint_incarnation &endpoint) const
{
    const auto found = m_endpoints.find(endpoint);
    return found != m_endpoints.end() && found->second.ejected;
}

bool failure_detector::isTrialDue(const endpoint_incarnation &endpoint, bool idempotent, monotonic_time now) const
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end() || !found->second.ejected || found->second.ejected->trialInFlight) {
        return false;
    }
    return now >= found->second.ejected->pausedUntil + (idempotent ? time_span::zero() : trialPreferenceTime);
}

void failure_detector::sent(const endpoint_incarnation &endpoint)
{
    const auto found = m_endpoints.find(endpoint);
    if (found != m_endpoints.end() && found->second.ejected) {
        found->second.ejected->trialInFlight = true;
    }
}

void failure_detector::ended(const endpoint_incarnation &endpoint, const attempt &ended, attempt_outcome outcome, monotonic_time now)
{
    if (hasResponse(outcome)) {
        recordResponse(ended.sender, endpoint, now);
    }
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end()) {
        return;
    }
    endpoint_state &state = found->second;
    if (state.ejected) {
        if (ended.sentAt < state.ejected->since) {
            // It says nothing about the time since the ejection, and must not prolong the pause.
            return;
        }
        state.ejected->trialInFlight = false;
    }
    if (outcome == attempt_outcome::succeeded) {
        recordSuccess(endpoint, state);
    } else if (outcome != attempt_outcome::refused_when_full && outcome != attempt_outcome::inconclusive) {
        recordFailure(endpoint, state, ended, outcome, now);
    }
}

void failure_detector::recordSuccess(const endpoint_incarnation &endpoint, endpoint_state &state)
{
    state.failuresInRow = 0;
    state.serverErrors = static_cast<std::uint8_t>(state.serverErrors << 1U);
    if (++state.successesInRow < successesToReadmit) {
        return;
    }
    if (state.ejected) {
        readmit(endpoint, state);
        state.serverErrors = 0;
    }
    state.failures = 0;
}

void failure_detector::recordFailure(const endpoint_incarnation &endpoint,
                                     endpoint_state &state,
                                     const attempt &failed,
                                     attempt_outcome outcome,
                                     monotonic_time now)
{
    ++state.failures;
    state.successesInRow = 0;
    const bool serverError = outcome == attempt_outcome::server_error;
    state.serverErrors = static_cast<std::uint8_t>((state.serverErrors << 1U) | (serverError ? 1U : 0U));
    if (serverError) {
        state.failuresInRow = 0;
    } else if (state.failuresInRow++ == 0) {
        state.firstFailureInRow = now;
        state.firstSenderInRow = failed.sender;
        state.severalSendersInRow = false;
    } else {
        state.severalSendersInRow = state.severalSendersInRow || !(failed.sender == state.firstSenderInRow);
    }
    if (state.ejected) {
        state.ejected->pause = std::min(longestPause, state.ejected->pause * 2);
        state.ejected->pausedUntil = now + state.ejected->pause;
    } else if (isFailing(endpoint, state, failed, outcome)) {
        eject(endpoint, state, now);
    }
}

bool failure_detector::isFailing(const endpoint_incarnation &endpoint, const endpoint_state &state, const attempt &failed, attempt_outcome outcome) const
{
    if (std::popcount(state.serverErrors) >= serverErrorsToEject) {
        return true;
    }
    if (state.failuresInRow < failuresToEject) {
        return false;
    }
    // Without a response, the sender's own path may be the cause.
    return hasResponse(outcome) || state.severalSendersInRow || othersRespondTo(failed.sender, endpoint, state.firstFailureInRow - responseLifetime);
}

void failure_detector::recordResponse(const network_address &sender, const endpoint_incarnation &endpoint, monotonic_time now)
{
    const auto [position, inserted] = m_responses.try_emplace(sender, responses{ endpoint, now, std::nullopt });
    if (inserted) {
        std::erase_if(m_responses, [&](const auto &item) {
            return item.second.at + responseRetention < now;
        });
        return;
    }
    responses &known = position->second;
    if (!(known.endpoint == endpoint)) {
        known.atOfOther = known.at;
        known.endpoint = endpoint;
    }
    known.at = now;
}

bool failure_detector::othersRespondTo(const network_address &sender, const endpoint_incarnation &endpoint, monotonic_time since) const
{
    const auto found = m_responses.find(sender);
    if (found == m_responses.end()) {
        return false;
    }
    const std::optional<monotonic_time> at = found->second.endpoint == endpoint ? found->second.atOfOther : found->second.at;
    return at && *at >= since;
}

void failure_detector::eject(const endpoint_incarnation &endpoint, endpoint_state &state, monotonic_time now)
{
    if (maxEjected() == 0) {
        return;
    }
    if (ejected() >= maxEjected()) {
        const auto fewest = ejectedWithFewestFailures();
        // With a smaller difference, endpoints that all fail would take turns.
        if (state.failures < 2 * fewest->second.failures) {
            return;
        }
        readmit(fewest->first, fewest->second);
    }
    state.ejected = ejection{ now, now + firstPause, firstPause, false };
    m_changes.push_back({ endpoint, true, state.failures, firstPause });
}

void failure_detector::readmit(const endpoint_incarnation &endpoint, endpoint_state &state)
{
    state.ejected.reset();
    m_changes.push_back({ endpoint, false, state.failures, time_span::zero() });
}

std::size_t failure_detector::maxEjected() const noexcept
{
    return m_endpoints.size() < 2 ? 0 : std::max<std::size_t>(1, m_endpoints.size() / maxEjectedDivisor);
}

std::map<endpoint_incarnation, failure_detector::endpoint_state>::iterator failure_detector::ejectedWithFewestFailures()
{
    auto fewest = m_endpoints.end();
    for (auto each = m_endpoints.begin(); each != m_endpoints.end(); ++each) {
        if (each->second.ejected && (fewest == m_endpoints.end() || each->second.failures < fewest->second.failures)) {
            fewest = each;
        }
    }
    return fewest;
}

std::vector<ejection_change> failure_detector::takeChanges()
{
    return std::exchange(m_changes, {});
}

std::size_t failure_detector::ejected() const noexcept
{
    return static_cast<std::size_t>(std::count_if(m_endpoints.begin(), m_endpoints.end(), [](const auto &item) {
        return item.second.ejected.has_value();
    }));
}

monotonic_time failure_detector::nextTrial(monotonic_time now) const noexcept
{
    monotonic_time next = monotonic_time::max();
    for (const auto &[endpoint, state] : m_endpoints) {
        if (state.ejected && state.ejected->pausedUntil > now) {
            next = std::min(next, state.ejected->pausedUntil);
        }
    }
    return next;
}

} // namespace sycamoretray
