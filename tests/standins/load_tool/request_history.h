#pragma once

#include <string>
#include <vector>

namespace sycamoretray::standins
{

enum class attempt_outcome {
    answered,
    not_run,
    unknown,
    /** The connection could not be opened. */
    refused,
    /** The connection was lost or timed out before the answer was complete. */
    lost,
    /** The answer is complete, but not that to this request. */
    wrong_answer,
};

/** One exchange with an instance. Times in steady microseconds. */
struct request_attempt {
    std::string requestId; ///< empty if the instance assigns the id and no answer arrived
    attempt_outcome outcome = attempt_outcome::lost;
    int code = 0; ///< result code, if the answer had one
    std::size_t instance = 0;
    long long begin = 0;
    long long end = 0;
};

/** The attempts of one request of the schedule. */
struct request_history {
    std::vector<request_attempt> attempts;
    long long due = 0; ///< planned arrival, steady microseconds

    const request_attempt &last() const
    {
        return attempts.back();
    }

    /** Time from the planned arrival to the end of the last attempt, in microseconds. */
    long long latency() const
    {
        return last().end - due;
    }
};

} // namespace sycamoretray::standins
