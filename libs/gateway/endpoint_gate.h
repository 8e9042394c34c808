#pragma once

#include "directory/endpoint_directory.h"
#include "gateway/gateway_request.h"

#include <cstdint>
#include <optional>

namespace sycamoretray
{

/**
 * Limits what one instance has under way at one endpoint, and estimates how long requests take there.
 *
 * Every instance sends to every endpoint, and an endpoint queues only a few requests. An instance therefore has one request
 * under way, and more only while the endpoint reported free worker slots lately.
 *
 * Thread safety: none.
 */
class endpoint_gate
{
public:
    explicit endpoint_gate(const listed_endpoint &endpoint);

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

    /** Time from sending to the answer that a request of this usual time takes. */
    time_span expectedTime(time_span usual, monotonic_time now) const noexcept;

    void sent();

    /** A request was answered. @param usual  usual time of this kind of request */
    void answered(const endpoint_reply &reply, time_span taken, time_span usual, monotonic_time now);

    /** A request was refused or failed. */
    void failed(const endpoint_reply &reply, monotonic_time now);

    /** A request was given up. */
    void aborted();

private:
    void countOutcome(bool failure);
    void takeReport(const endpoint_reply &reply, monotonic_time now);

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
};

} // namespace sycamoretray
