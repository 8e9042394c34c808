#include "key_ownership/assigner_watch.h"

#include "key_ownership/detail/instance_place.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

constexpr time_span minInterval = std::chrono::milliseconds(1000);
constexpr time_span intervalPerInstance = std::chrono::milliseconds(20);
constexpr time_span repeatInterval = std::chrono::milliseconds(300);
// Members of the election replace a lost assigner within 1.5 s: its membership expires, the next of them joins and claims the role.
constexpr time_span minPatience = std::chrono::milliseconds(2000);
constexpr time_span maxPatience = std::chrono::seconds(64);
constexpr time_span patienceMemory = std::chrono::seconds(60);

} // namespace

assigner_watch::assigner_watch(const instance_id &instance)
    : m_place(detail::placeOf(instance))
    , m_patience(minPatience)
{
}

void assigner_watch::watch(const std::optional<recorded_assigner> &assigner, std::size_t instances, monotonic_time now)
{
    m_interval = std::max<time_span>(minInterval, intervalPerInstance * static_cast<std::int64_t>(instances));
    if (m_assigner == assigner) {
        return;
    }
    m_assigner = assigner;
    m_unansweredSince.reset();
    m_lost = false;
    m_nextQuestion = now + std::chrono::duration_cast<time_span>(m_interval * m_place);
    if (m_lostAt && now - *m_lostAt >= patienceMemory) {
        m_patience = minPatience;
    }
}

bool assigner_watch::takeDueQuestion(monotonic_time now)
{
    if (!m_assigner || now < m_nextQuestion) {
        return false;
    }
    m_unansweredSince = m_unansweredSince.value_or(now);
    m_nextQuestion = now + repeatInterval;
    return true;
}

void assigner_watch::answered(const recorded_assigner &assigner, assigner_stop_answer answer, monotonic_time now)
{
    if (m_assigner != assigner) {
        return;
    }
    switch (answer) {
    case assigner_stop_answer::stopped:
    case assigner_stop_answer::itself_stopped:
        m_lost = true;
        break;
    case assigner_stop_answer::refused:
        m_lost = false;
        m_unansweredSince.reset();
        m_nextQuestion = now + m_interval;
        break;
    case assigner_stop_answer::unanswered:
        break;
    }
}

bool assigner_watch::isLost(monotonic_time now)
{
    if (!m_lost && m_unansweredSince && now - *m_unansweredSince >= m_patience) {
        m_lost = true;
        m_lostAt = now;
        m_patience = std::min<time_span>(m_patience * 2, maxPatience);
    }
    return m_lost;
}

} // namespace sycamoretray
