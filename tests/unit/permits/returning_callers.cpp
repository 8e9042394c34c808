#include "returning_callers.h"

#include <algorithm>
#include <utility>

namespace sycamoretray
{

namespace
{

constexpr std::size_t maxReturns = 2;
constexpr std::size_t maxReturnsOfImpatient = 6;
constexpr time_span impatientWait = std::chrono::milliseconds(60);

} // namespace

double caller_result::served() const
{
    return submitted == 0 ? 1 : static_cast<double>(inTime + late) / static_cast<double>(submitted);
}

caller_result &caller_result::operator+=(const caller_result &other)
{
    submitted += other.submitted;
    inTime += other.inTime;
    late += other.late;
    unserved += other.unserved;
    refusedAgain += other.refusedAgain;
    refusals += other.refusals;
    return *this;
}

returning_callers::returning_callers(permit_simulation &simulation, std::vector<simulated_kind> kinds, double impatientShare)
    : m_simulation(simulation)
    , m_kinds(std::move(kinds))
    , m_impatientShare(impatientShare)
{
    simulation.onSubmit = [this](const simulated_call &call) {
        const auto [position, isNew] = m_callers.try_emplace(call.body);
        caller &subject = position->second;
        subject.tried = m_simulation.now();
        if (isNew) {
            subject.call = call;
            subject.deadline = subject.tried + m_kinds[call.kind].timeout;
            subject.impatient = static_cast<double>(std::stoul(call.body) % 100) < m_impatientShare * 100;
        }
    };
    simulation.onAnswer = [this](const simulated_call &call, const gateway_answer &answer) {
        answered(call, answer);
    };
}

void returning_callers::answered(const simulated_call &call, const gateway_answer &answer)
{
    caller &subject = m_callers.at(call.body);
    const monotonic_time now = m_simulation.now();
    if (answer.response) {
        subject.answered = true;
        subject.inTime = now - subject.tried <= m_kinds[call.kind].latencyTarget;
        return;
    }
    ++subject.refusals;
    const time_span left = subject.deadline - now;
    const bool mayHaveRun = outcomeClass(answer.code) == request_outcome_class::unknown;
    if (mayHaveRun || left <= time_span::zero() || subject.refusals > (subject.impatient ? maxReturnsOfImpatient : maxReturns)) {
        return;
    }
    const time_span wait = subject.impatient ? impatientWait : std::min(answer.retryAfter.value_or(left), left / 3);
    simulated_call next = call;
    next.timeLeft = left - wait;
    m_simulation.submitLater(wait, next);
}

caller_result returning_callers::result(const std::function<bool(const simulated_call &call, bool impatient)> &accept) const
{
    caller_result result;
    for (const auto &[body, subject] : m_callers) {
        if (accept && !accept(subject.call, subject.impatient)) {
            continue;
        }
        ++result.submitted;
        result.inTime += subject.answered && subject.inTime ? 1 : 0;
        result.late += subject.answered && !subject.inTime ? 1 : 0;
        result.unserved += subject.answered ? 0 : 1;
        result.refusedAgain += subject.refusals >= 2 ? 1 : 0;
        result.refusals += subject.refusals;
    }
    return result;
}

} // namespace sycamoretray
