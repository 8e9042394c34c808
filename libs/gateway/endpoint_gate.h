#pragma once

#include "directory/endpoint_directory.h"
#include "gateway/gateway_request.h"

#include <cstdint>
#include <optional>

namespace sycamoretray
{

/** Who sends to an endpoint. */
enum class gate_use {
    /** Many instances, which do not know of each other. */
    one_of_many_senders,
    /** All requests pass this gate, so that it knows what is under way. */
    sole_sender,
};

/**
 * Limits what one instance has under way at one endpoint, and estimates how long requests take there.
 *
 * An endpoint queues only a few requests. If every instance sends to every endpoint, an instance therefore has one request under
 * way, and more only while the endpoint reported free worker slots lately. A sole sender fills the worker slots, and has one more
 * request under way, which hides the time between an answer and the next request.
 *
 * Thread safety: none.
 */
class endpoint_gate
{
public:
    explicit endpoint_gate(const listed_endpoint &endpoint, gate_use use = gate_use::one_of_many_senders);

    void update(const listed_endpoint &endpoint);

    /** False from the removal of the entry on. */
    bool isListed() const noexcept;
    void unlist();

    const endpoint_entry &entry() const noexcept;

    /** The endpoint may get new requests that are not bound to it by a key. */
    bool takesNewWork(monotonic_time now) const noexcept;

    /** A request may be sent now. */
    bool hasRoom(monotonic_time now) const noexcept;

    /** Earliest time at which hasRoom() can become true without another event. */
    monotonic_time blockedUntil() const noexcept;

    std::uint32_t inFlight() const noexcept;

    /** Requests at the endpoint, those of other instances included, as far as they are known. */
    double estimatedLoad(monotonic_time now) const noexcept;

    /** How much longer than usual requests take here, those that have to be repeated included. */
    double slowness() const noexcept;

    /** How much longer than usual a request runs here at present, repeats not included. */
    double runSlowness(monotonic_time now) const noexcept;

    /** As slowness(), with the time that an endpoint stays slow after its start. */
    double presentSlowness(monotonic_time now) const noexcept;

    /** How many times as long as it runs a further request takes, because it waits for a worker slot. */
    double queueFactor(monotonic_time now) const noexcept;

    /** Time from sending to the answer that a request of this usual time takes. */
    time_span expectedTime(time_span usual, monotonic_time now) const noexcept;

    void sent();

    /**
     * A request was answered.
     *
     * @param taken  time since it was sent; a sole sender does not count the time that it waited at the endpoint
     * @param usual  usual time of this kind of request
     */
    void answered(const endpoint_reply &reply, time_span taken, time_span usual, monotonic_time now);

    /** A request was refused or failed. */
    void failed(const endpoint_reply &reply, monotonic_time now);

    /** A request was given up. @param ran  time that a worker slot is known to have spent on it, or zero */
    void aborted(time_span ran, time_span usual);

private:
    double knownSlowness() const noexcept;
    double coldFactor(monotonic_time now) const noexcept;
    void countOutcome(bool failure);
    void takeReport(const endpoint_reply &reply, monotonic_time now);
    bool hasFreshReport(monotonic_time now) const noexcept;

    gate_use m_use;
    endpoint_entry m_entry;
    monotonic_time m_coldUntil{};
    bool m_listed = true;
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_failuresInRow = 0;
    /** Requests in a row that the endpoint refused because it was full. */
    std::uint32_t m_fullInRow = 0;
    monotonic_time m_blockedUntil{};
    bool m_answered = false;
    double m_slowness = 1;
    /** Share of the requests that the endpoint fails, as an average of the last ones. */
    double m_failureShare = 0;
    endpoint_load m_report;
    /** Own requests that m_report counts. */
    std::uint32_t m_ownInReport = 0;
    std::optional<monotonic_time> m_reportedAt;
    /** Requests sent since the report, less those that ended. */
    int m_changeSinceReport = 0;
};

} // namespace sycamoretray
