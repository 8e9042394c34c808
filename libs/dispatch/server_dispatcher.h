#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "base/result_code.h"
#include "configuration/effective_service.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sycamoretray
{

/** Unique among the requests of one dispatcher; chosen by the caller of the dispatcher. */
using dispatch_id = strong_value<struct dispatch_id_tag, std::uint64_t>;

/** Content that the dispatcher passes through without reading it. */
struct request_payload;
struct answer_payload;

/** A request for the server, as it arrives at the home. */
struct dispatch_request {
    dispatch_id id;
    request_id requestId;
    /** False if the entry generated the id; the caller then cannot send a duplicate. */
    bool callerSuppliedId = false;
    std::string key;
    hash_slot slot;
    customer_id customer;
    std::uint32_t requestClass = 0;
    bool nonIdempotent = false;
    wall_time created;
    monotonic_time deadline;
    /** Of service, key, request id, method and body. */
    request_fingerprint fingerprint;
    std::uint64_t bytes = 0;
    std::shared_ptr<const request_payload> payload;
};

/** The server's complete answer to the attempt. */
struct server_answered {
    dispatch_id id;
    std::shared_ptr<const answer_payload> answer;
    std::uint64_t bytes = 0;
};

/** The server refused the attempt and certainly did not run it. */
struct server_refused {
    dispatch_id id;
};

/** The attempt ended without a complete answer. sent is false only if certainly nothing reached the server. */
struct attempt_failed {
    dispatch_id id;
    bool sent = true;
    result_code code = result_code::server_connection_lost;
};

/** The caller or the entry has disconnected. */
struct caller_disconnected {
    dispatch_id id;
};

/** Requests may be sent to the server until this time; a time in the past stops dispatch. */
struct valid_until_changed {
    home_term term;
    monotonic_time validUntil;
};

/** Requests for these slots wait until slots_released. */
struct slots_held {
    std::vector<hash_slot> slots;
};

/** Requests for these slots are dispatched again. */
struct slots_released {
    std::vector<hash_slot> slots;
};

/** Crashes counted by other instances for a fingerprint. */
struct crashes_reported {
    request_fingerprint fingerprint;
    std::uint32_t crashes = 0;
    time_span refusedFor{};
};

/** Time has advanced. To be sent at least every 20 ms while requests are queued. */
struct dispatch_tick {
};

using dispatch_event = std::variant<dispatch_request,
                                    server_answered,
                                    server_refused,
                                    attempt_failed,
                                    caller_disconnected,
                                    valid_until_changed,
                                    slots_held,
                                    slots_released,
                                    crashes_reported,
                                    dispatch_tick>;

/** Sends the request to the server under this term. Answered by server_answered, server_refused or attempt_failed. */
struct send_request {
    dispatch_id id;
    home_term term;
    time_span timeLeft{};
};

/** Asks the server to cancel a request that no caller waits for. */
struct cancel_request {
    dispatch_id id;
};

/** Final outcome for the caller; answer is set only for result_code::ok. */
struct finish_request {
    dispatch_id id;
    result_code code = result_code::ok;
    std::shared_ptr<const answer_payload> answer;
};

/** No request for a held slot is in flight any more. */
struct held_slots_idle {
};

/** Tells the other instances about a request that crashed the server. */
struct report_crash {
    request_fingerprint fingerprint;
    std::uint32_t crashes = 0;
    time_span refusedFor{};
};

using dispatch_action = std::variant<send_request, cancel_request, finish_request, held_slots_idle, report_crash>;

/** Limits and times of a dispatcher. docs/design.md, sections 8 and 10, gives the reasons. */
struct dispatcher_settings {
    std::uint32_t workerSlots = 2;
    std::uint32_t queuedRequests = 1024;
    std::uint64_t queuedBytes = 16ULL * 1024 * 1024;
    time_span duplicateWindow = std::chrono::minutes(10);
    std::uint32_t deduplicationEntries = 65536;
    std::uint64_t duplicateAnswerBytes = 64ULL * 1024 * 1024;
    time_span clockBound = std::chrono::milliseconds(500);
    double retryShare = 0.1;
    /** Maximum random delay before the first retry; doubled for each further one. */
    time_span retryDelay = std::chrono::milliseconds(10);
    /**
     * Requests whose expected queue delay exceeds this limit are refused. The p99 latency has to be normal again 1 s after
     * a peak. At 70 % load a full queue takes 3.3 times the limit to drain: recovery takes 1.0 s with a limit of 250 ms
     * and 1.6 s with 500 ms.
     */
    time_span queueDelayLimit = std::chrono::milliseconds(200);
    /** Seed of the random generator for retry delays. */
    std::uint64_t seed = 0;
    std::uint32_t crashLimit = 2;
    time_span crashRefusal = std::chrono::minutes(10);
};

/** An entry of the deduplication table, as transferred in a planned handover or move. */
struct deduplication_entry {
    request_id requestId;
    std::string key;
    wall_time created;
    bool finished = false;
    std::shared_ptr<const answer_payload> answer;
    std::uint64_t bytes = 0;
};

/** Requests and deduplication entries taken from one dispatcher for another. */
struct dispatch_transfer {
    std::vector<dispatch_request> queued;
    std::vector<deduplication_entry> duplicates;
    /** The entries are complete for ids created from this time on. */
    wall_time knownSince;
};

/**
 * Decision logic of a home for one server: queue, worker slots, deduplication table, crash suspects.
 *
 * It does no I/O and reads no clock. Each event returns the actions to carry out, in order. Every dispatch_request is
 * answered by exactly one finish_request, unless it is taken by takeQueued().
 *
 * Thread safety: none; call from one strand.
 */
class server_dispatcher
{
public:
    /** @param startedAt  wall-clock time at which this home took over; whether older ids have run is unknown */
    server_dispatcher(dispatcher_settings settings, wall_time startedAt);
    ~server_dispatcher();
    server_dispatcher(server_dispatcher &&) noexcept;
    server_dispatcher &operator=(server_dispatcher &&) noexcept;

    /**
     * Handles one event and appends the resulting actions to @p actions.
     *
     * Precondition: @p now does not decrease from call to call. An event for an unknown id is ignored.
     */
    void handle(dispatch_event event, monotonic_time now, wall_time wallNow, std::vector<dispatch_action> &actions);

    /** Removes the requests that are queued but not dispatched for @p slots; all of them if @p slots is empty. */
    std::vector<dispatch_request> takeQueued(const std::vector<hash_slot> &slots);

    /** Copies the deduplication entries of @p slots; all of them if @p slots is empty. */
    dispatch_transfer exportDeduplicationEntries(const std::vector<hash_slot> &slots) const;

    /**
     * Adds deduplication entries for @p slots (all if empty), which another home has recorded since transfer.knownSince.
     *
     * To be called for every slot that the server gains while this home runs. For slots gained without a transfer, because
     * the former server was lost, pass no records and the current time as knownSince; otherwise an id that ran at the lost
     * server could run again.
     */
    void importDeduplicationEntries(const dispatch_transfer &transfer, const std::vector<hash_slot> &slots);

    /**
     * Makes requests whose ids were created before this home gained @p slots (all if empty) wait for importDeduplicationEntries(),
     * until @p until at the latest. Otherwise they are answered with request_id_before_takeover at once. To be called after
     * an importDeduplicationEntries() without records for the same slots.
     */
    void expectDeduplicationEntries(const std::vector<hash_slot> &slots, monotonic_time until);

    /** Time that a request of @p requestClass arriving now is expected to wait in the queue. */
    time_span expectedDelay(std::uint32_t requestClass) const;

    std::uint32_t queuedCount() const noexcept;
    std::uint32_t runningCount() const noexcept;
    /** Requests of long classes among the queued and the running ones, for load reports. */
    std::uint32_t longCount() const noexcept;

    /** Returns the state as JSON text for the state dump. */
    std::string dump(monotonic_time now) const;

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray
