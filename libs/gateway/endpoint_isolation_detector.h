#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "directory/endpoint_directory.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace sycamoretray
{

/**
 * Decides whether this instance is isolated: it reaches no endpoint, although it runs and others may reach it.
 *
 * Failures and missing answers only raise a suspicion, as endpoints crash, are slow and get no traffic. While suspicious, the detector
 * asks for probes, which open a connection and close it. It decides on isolation when two rounds of probes failed, and none succeeded, at
 * several endpoints in different availability zones and services, and on the end of it when endpoints accept connections again.
 * Answers on connections that were opened before do not count, because new connections can fail while those live on.
 *
 * Performs no I/O: events and time are passed in. Thread safety: none.
 */
class endpoint_isolation_detector
{
public:
    /** Sets the endpoints that can be probed. Without endpoints, the instance is not isolated. */
    void setEndpoints(const std::map<endpoint_id, listed_endpoint> &endpoints, monotonic_time now);

    /** A request was sent, or waits for a connection. */
    void sent(const network_address &endpoint, monotonic_time now);
    /** A request that was sent has ended in any way. */
    void finished(const network_address &endpoint);
    /** A response to a request, an order or a health check arrived. */
    void answered(const network_address &endpoint, monotonic_time now);
    /** A connection was opened, for a request or a probe. */
    void connected(const network_address &endpoint, monotonic_time now);
    /** A connection could not be opened, for a request or a probe. */
    void failed(const network_address &endpoint, monotonic_time now);
    /** An established connection was lost. */
    void lost(const network_address &endpoint, monotonic_time now);

    /** Processes what is due and returns the endpoints to probe. Reports connected() or failed() for each within 250 ms. */
    std::vector<network_address> advance(monotonic_time now);

    /** Time of the next call to advance(), which may be in the past; the maximum if nothing is due. */
    monotonic_time nextDue() const;

    /** When the isolation was detected; no value if not isolated. */
    std::optional<monotonic_time> isolatedSince() const noexcept
    {
        return m_isolatedSince;
    }

    /** True from a suspicion until it is refuted, and while isolated. */
    bool isSuspicious() const noexcept
    {
        return m_suspicious || m_isolatedSince;
    }

    /** Returns whether no endpoint has answered a request, an order or a health check for 200 ms. */
    bool isSilent(monotonic_time now) const noexcept;

    /** Number of endpoints to which no connection could be opened since the suspicion arose. */
    std::size_t failedEndpoints() const noexcept
    {
        return m_failed.size();
    }

private:
    struct candidate {
        service_id service;
        availability_zone zone;
        std::uint64_t startedAtMs = 0;
        /** Zero if not probed since the endpoint started. */
        monotonic_time probedAt{};
        /** When it last answered or accepted a connection. */
        monotonic_time reachedAt{};
    };
    struct open_requests {
        std::size_t count = 0;
        /** When the endpoint last answered or the first of the requests was sent, whichever is later. */
        monotonic_time silentSince{};
    };

    struct accepted_connections {
        monotonic_time first{};
        monotonic_time last{};
    };
    /** Endpoints with the lowest rank are probed: class, time since the last probe, number of similar endpoints probed with it, time since it was reached. */
    using probe_rank = std::tuple<int, time_span, std::size_t, time_span>;

    /** Since when no endpoint has answered while requests are open; the maximum if none is open. */
    monotonic_time silentSince() const;
    monotonic_time silenceDue() const;
    void suspect(monotonic_time now);
    void refute(monotonic_time now);
    /** Returns whether a suspicion is raised, now or before. */
    bool raiseSuspicion(monotonic_time now);
    bool isIsolationConfirmed() const;
    probe_rank rankOf(const network_address &address, const candidate &each, std::size_t similar, monotonic_time now) const;
    std::vector<network_address> startProbes(std::size_t count, monotonic_time now);

    std::map<network_address, candidate> m_candidates;
    std::map<network_address, open_requests> m_open;
    /** Endpoints to which no connection could be opened since the suspicion arose. */
    std::set<network_address> m_failed;
    /** Endpoints that lost a connection since the suspicion arose. */
    std::set<network_address> m_lost;
    std::set<network_address> m_probing;
    /** Endpoints that have accepted connections while isolated, without a failure since. */
    std::map<network_address, accepted_connections> m_connected;
    monotonic_time m_answeredAt{};
    /** Moving average of the times without any answer while requests were open. */
    time_span m_typicalSilence{};
    monotonic_time m_noSuspicionUntil{};
    time_span m_pause{};
    monotonic_time m_nextProbesAt = monotonic_time::max();
    std::optional<monotonic_time> m_isolatedSince;
    /** Number of times that probes were started for the present suspicion. */
    std::size_t m_rounds = 0;
    bool m_failureSeen = false;
    bool m_suspicious = false;
};

} // namespace sycamoretray
