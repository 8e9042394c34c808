#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>

namespace sycamoretray
{

/** Identifies an entry of a permit_queue. */
using queue_ticket = strong_value<struct queue_ticket_tag, std::uint64_t>;

/** What a request's earlier refusal means for its order, first to last. */
enum class queue_standing {
    /** It was promised a place and returns to it. */
    returning,
    /** It was not refused before, or returns as told without a promise. */
    fresh,
    /** It returns sooner than it was told. */
    early,
};

/** A request as a permit_queue orders it. */
struct queued_request {
    std::uint32_t priority = 0;
    std::optional<key_number> key;
    /** Typical run time of the request. */
    time_span runTime{};
    queue_standing standing = queue_standing::fresh;
    /** Among requests that are otherwise equal, the one whose answer is useful for the shortest time goes first. */
    monotonic_time usefulUntil{};
};

/**
 * Orders the requests that wait for the same endpoints: by priority, then fairly among keys, then returning requests before new ones, then by
 * the time until which an answer is useful, then by arrival.
 *
 * Fairness among the keys of one priority is start-time fair queueing, weighted by run time, so that a hot key does not delay the
 * other keys. Returning requests of a key have start tags of their own, which do not count its waiting new requests, so that they also go
 * before these. The start tags of later new requests count them.
 *
 * A priority that gets much less than others by this order gets a small share: if a quarter of the share of all requests that are served would
 * entitle it to a place, its next request goes before all others.
 *
 * Thread safety: none.
 */
class permit_queue
{
public:
    queue_ticket add(const queued_request &request);
    /** Adds a new request of which only these properties matter. */
    queue_ticket add(std::uint32_t priority, std::optional<key_number> key, time_span runTime);

    /** Removes an entry that is not granted; if it is the last of its key, its start tag is reused. Unknown tickets are ignored. */
    void remove(queue_ticket ticket);

    /** Removes the first entry and advances the virtual time of its priority. Precondition: the queue is not empty. */
    queue_ticket takeFirst();

    /** Removes an entry that is granted, and advances the virtual time of its priority. Precondition: the queue has the entry. */
    void take(queue_ticket ticket);

    /** Calls @p visit with the ticket of each entry, in order. */
    template<class Visitor>
    void forEach(Visitor visit) const
    {
        for (const position &each : m_order) {
            visit(each.ticket);
        }
    }

    std::optional<queue_ticket> first() const;

    bool empty() const noexcept;

private:
    struct position {
        std::uint32_t priority = 0;
        time_span startTag{};
        queue_standing standing = queue_standing::fresh;
        monotonic_time usefulUntil{};
        queue_ticket ticket;
        friend auto operator<=>(const position &, const position &) = default;
    };
    struct entry {
        position orderKey;
        /** As added; its priority and standing differ from those of the order if the request uses the share of its priority. */
        queued_request request;
    };
    struct key_tags {
        /** Start tags of the next new and the next returning entry of a key. */
        time_span fresh{};
        time_span returning{};

        time_span &of(queue_standing standing)
        {
            return standing == queue_standing::returning ? returning : fresh;
        }
    };
    struct priority_state {
        /** Highest start tag among the entries taken so far. */
        time_span virtualTime{};
        std::map<key_number, key_tags> nextStartTags;
    };

    void erase(queue_ticket ticket);
    /** Returns whether the request goes first by the share of its priority, and takes the place from the share. */
    bool takeShare(const queued_request &request);
    time_span takeStartTag(const position &orderKey, const queued_request &request);
    void recordOutcome(const entry &ended, bool served);

    std::uint64_t m_lastTicket = 0;
    std::set<position> m_order;
    std::map<queue_ticket, entry> m_entries;
    std::map<std::uint32_t, priority_state> m_priorities;
    /** Places that each priority may still take by its share. */
    std::map<std::uint32_t, double> m_shares;
    /** Part of the latest requests that was served. */
    double m_servedPart = 1;
};

} // namespace sycamoretray
