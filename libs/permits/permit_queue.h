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

/**
 * Orders the requests that wait for the same endpoints: by priority, then fairly among keys, then by arrival.
 *
 * Fairness among the keys of one priority is start-time fair queueing, weighted by run time, so that a hot key does not delay the
 * other keys.
 *
 * Thread safety: none.
 */
class permit_queue
{
public:
    /** @param runTime  typical run time of the request */
    queue_ticket add(std::uint32_t priority, std::optional<key_number> key, time_span runTime);

    /** Removes an entry that is not granted; if it is the last of its key, its start tag is reused. Unknown tickets are ignored. */
    void remove(queue_ticket ticket);

    /** Removes the first entry and advances the virtual time of its priority. Precondition: the queue is not empty. */
    queue_ticket takeFirst();

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
    void erase(queue_ticket ticket);

    struct position {
        std::uint32_t priority = 0;
        time_span startTag{};
        queue_ticket ticket;
        friend auto operator<=>(const position &, const position &) = default;
    };
    struct entry {
        position orderKey;
        std::optional<key_number> key;
        time_span runTime{};
    };
    struct priority_state {
        /** Highest start tag among the entries taken so far. */
        time_span virtualTime{};
        /** Start tag of the next entry of a key. */
        std::map<key_number, time_span> nextStartTags;
    };

    std::uint64_t m_lastTicket = 0;
    std::set<position> m_order;
    std::map<queue_ticket, entry> m_entries;
    std::map<std::uint32_t, priority_state> m_priorities;
};

} // namespace sycamoretray
