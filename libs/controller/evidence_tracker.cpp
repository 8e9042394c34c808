#include "controller/evidence_tracker.h"

#include <algorithm>

namespace sycamoretray
{

evidence_tracker::evidence_tracker(const controller_context &context)
    : m_context(context)
{
}

void evidence_tracker::addLogRead(monotonic_time started)
{
    m_newestLogRead = std::max(m_newestLogRead, started);
}

void evidence_tracker::addConfirmation(const incarnation_id &confirmer, monotonic_time sent)
{
    monotonic_time &newest = m_newestConfirmations[confirmer];
    newest = std::max(newest, sent);
    if (m_newestConfirmations.size() > 4 * confirmer_set::maxSize) {
        std::erase_if(m_newestConfirmations, [this](const auto &entry) {
            return !m_context.state.confirmers().contains(entry.first);
        });
    }
}

monotonic_time evidence_tracker::majorityTime(const std::set<incarnation_id> &confirmers) const
{
    if (confirmers.empty()) {
        return monotonic_time();
    }
    std::vector<monotonic_time> times;
    for (const incarnation_id &confirmer : confirmers) {
        const auto found = m_newestConfirmations.find(confirmer);
        times.push_back(found == m_newestConfirmations.end() ? monotonic_time() : found->second);
        if (confirmer == m_context.self()) {
            times.back() = m_context.now;
        }
    }
    std::sort(times.rbegin(), times.rend());
    return times[times.size() / 2];
}

monotonic_time evidence_tracker::newest() const
{
    const confirmer_set &confirmers = m_context.state.confirmers();
    monotonic_time probes = majorityTime(confirmers.members());
    if (!confirmers.previous().empty()) {
        probes = std::min(probes, majorityTime(confirmers.previous()));
    }
    return std::max(m_newestLogRead, probes);
}

monotonic_time evidence_tracker::validUntil() const
{
    return newest() + m_context.settings.timing.evidenceAge;
}

bool evidence_tracker::fresh() const
{
    return m_context.caughtUp && m_context.now < validUntil();
}

} // namespace sycamoretray
