#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "directory/endpoint_entry.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamoretray
{

struct crash_tracker_settings {
    /** Crashes after which a request is not retried. */
    std::uint32_t retryLimit = 2;
    /** Crashes after which a request is refused for a time. */
    std::uint32_t refusalLimit = 3;
    /** Time for which a request is refused after the crash that reached the limit; doubled with each further one. */
    time_span firstRefusal = std::chrono::seconds(5);
    time_span longestRefusal = std::chrono::seconds(60);
    /** Time after the last crash for which a request is remembered. */
    time_span memory = std::chrono::seconds(120);
    /** Requests that are remembered; a new one replaces the one that would be forgotten first. */
    std::size_t maxRequests = 1024;
    /** Time after which an endpoint that has not crashed has responded to a request that was sent after the loss. */
    time_span confirmationTime = std::chrono::milliseconds(600);
    /** Time between the first reports of a crash to other instances, and between the later ones. */
    time_span reportInterval = std::chrono::milliseconds(400);
    time_span repeatInterval = std::chrono::seconds(2);
};

/** Crashes that an instance counted for a request, as it reports them to other instances. */
struct crash_report {
    request_fingerprint fingerprint;
    std::uint32_t crashes = 0;
    /** Time since the last crash. */
    time_span age{};
    friend bool operator==(const crash_report &, const crash_report &) = default;
};

/**
 * Counts the crashes of endpoints for each request that was at work there. A request that crashes each endpoint that begins to run it comes again with
 * the same fingerprint; it is not retried after two crashes, and refused for a time after three.
 *
 * An attempt without a response on a lost connection counts as a crash, until the endpoint responds to a request that was sent to it later: then it still
 * runs, and only the connection was lost. A request that gets an answer is forgotten.
 *
 * Performs no I/O. Thread safety: none.
 */
class crash_tracker
{
public:
    explicit crash_tracker(crash_tracker_settings settings = {});

    /** Returns whether nothing is remembered, so that no fingerprint need be computed. */
    bool empty() const noexcept;

    /** Reports that @p endpoint lost the connection on which it was sent the request, without a response. Returns the crashes counted. */
    std::uint32_t connectionLost(request_fingerprint fingerprint, const endpoint_incarnation &endpoint, monotonic_time now);

    /** Reports that @p endpoint itself responded to a request that was sent at @p sentAt. */
    void responded(const endpoint_incarnation &endpoint, monotonic_time sentAt);

    /** Reports that the request was answered by an endpoint. */
    void answered(request_fingerprint fingerprint);

    /** Adds what another instance counted: the larger number and the later crash are kept. */
    void merge(const crash_report &report, monotonic_time now);

    /** Returns whether the request may be sent again after a failed attempt. */
    bool mayRetry(request_fingerprint fingerprint, monotonic_time now) const;

    /** Returns for how long the request is refused; nothing if it may be sent. */
    std::optional<time_span> refusedFor(request_fingerprint fingerprint, monotonic_time now) const;

    /** Returns what other instances have to know now: crashes that this instance counted, more than once each, as reports may be lost. */
    std::vector<crash_report> takeDueReports(monotonic_time now);

    /** Number of requests that are remembered. */
    std::size_t size() const noexcept;

private:
    struct suspect {
        std::uint32_t crashes = 0;
        monotonic_time lastCrash{};
        /** Endpoints at which this instance counted a crash, with its time. */
        std::map<endpoint_incarnation, monotonic_time> endpoints;
        /** Last crash that this instance counted; nothing if it has none to report. */
        std::optional<monotonic_time> ownCrash;
        monotonic_time nextReport{};
        std::uint32_t reports = 0;
    };
    using suspect_map = std::map<request_fingerprint, suspect>;

    const suspect *find(request_fingerprint fingerprint, monotonic_time now) const;
    suspect &findOrInsert(request_fingerprint fingerprint, monotonic_time now);
    void removeExpired(monotonic_time now);

    crash_tracker_settings m_settings;
    suspect_map m_suspects;
};

/** Encodes reports for one datagram as CBOR. Thread-safe. */
std::string encodeCrashReports(const std::vector<crash_report> &reports);

/** Decodes the result of encodeCrashReports(). Returns nullopt if @p data is malformed. Thread-safe. */
std::optional<std::vector<crash_report>> decodeCrashReports(std::string_view data);

} // namespace sycamoretray
