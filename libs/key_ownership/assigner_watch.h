#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace sycamoretray
{

/** Answer of an instance that was asked to stop assigning keys. */
enum class assigner_stop_answer {
    /** Neither it nor an assigner before it sends grants any more. */
    stopped,
    /** No process at its address sends grants any more. It does not know of assigners before it, or they may still send. */
    itself_stopped,
    refused,
    unanswered,
};

/** An assigner as the records name it. */
struct recorded_assigner {
    network_address address;
    std::uint64_t epoch = 0;
    friend bool operator==(const recorded_assigner &, const recorded_assigner &) = default;
};

/**
 * Finds out whether the assigner that the records name has ended without a resignation. Usually the other members of the election replace it; if there
 * are none, this is how other instances know that they have to. All instances together ask it some 50 times a second at most.
 *
 * An instance may lack a path to the assigner while others reach it. Therefore it waits twice as long each time after it took one for lost within
 * a minute.
 *
 * Performs no I/O. Thread safety: none.
 */
class assigner_watch
{
public:
    explicit assigner_watch(const instance_id &instance);

    /**
     * Sets the assigner to watch; none if the records name no other instance, or if this one need not know.
     *
     * @param instances  number of instances of the site, as far as known
     */
    void watch(const std::optional<recorded_assigner> &assigner, std::size_t instances, monotonic_time now);

    /** Returns whether to ask the assigner now whether it has stopped. Counts as asked if so. */
    bool takeDueQuestion(monotonic_time now);

    /** Takes the answer to a question to @p assigner. */
    void answered(const recorded_assigner &assigner, assigner_stop_answer answer, monotonic_time now);

    /** Returns whether the watched assigner is lost. */
    bool isLost(monotonic_time now);

private:
    double m_place;
    std::optional<recorded_assigner> m_assigner;
    time_span m_interval{};
    monotonic_time m_nextQuestion{};
    /** When the first question since the last answer was asked. */
    std::optional<monotonic_time> m_unansweredSince;
    bool m_lost = false;
    time_span m_patience;
    std::optional<monotonic_time> m_lostAt;
};

} // namespace sycamoretray
