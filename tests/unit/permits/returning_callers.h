#pragma once

#include "permit_simulation.h"

#include <functional>
#include <map>
#include <string>

namespace sycamoretray
{

/** Outcomes of the requests of callers that may send each of them several times. */
struct caller_result {
    std::size_t submitted = 0;
    /** Answered within the latency target of the try that was answered. */
    std::size_t inTime = 0;
    std::size_t late = 0;
    std::size_t unserved = 0;
    /** Callers that were refused two times or more. */
    std::size_t refusedAgain = 0;
    std::size_t refusals = 0;

    double served() const;
    caller_result &operator+=(const caller_result &other);
};

/**
 * Callers of a permit_simulation that come back after a refusal: after Retry-After, but at most a third of the time that they have
 * left, at most twice, at a random instance with a new request id. Impatient callers come back at once, up to six times.
 */
class returning_callers
{
public:
    /** @param impatientShare  share of the callers that do not wait for Retry-After */
    returning_callers(permit_simulation &simulation, std::vector<simulated_kind> kinds, double impatientShare = 0);

    /** Returns the result of the callers whose first call and impatience meet @p accept; of all callers by default. */
    caller_result result(const std::function<bool(const simulated_call &call, bool impatient)> &accept = nullptr) const;

private:
    struct caller {
        simulated_call call;
        monotonic_time tried{};
        monotonic_time deadline{};
        std::size_t refusals = 0;
        bool impatient = false;
        bool answered = false;
        bool inTime = false;
    };

    void answered(const simulated_call &call, const gateway_answer &answer);

    permit_simulation &m_simulation;
    std::vector<simulated_kind> m_kinds;
    double m_impatientShare;
    std::map<std::string, caller> m_callers;
};

} // namespace sycamoretray
