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
 * Order in which requests for the same endpoints get their places: by rank; among requests of one rank, keys take turns by the
 * work that they ask for, so that a hot key does not delay its neighbours; then by arrival.
 *
 * Start-time fair queueing. Thread safety: none.
 */
class permit_queue
{
public:
    /** @param work  expected run time */
    queue_ticket add(std::uint32_t priority, std::optional<key_number> key, time_span work);

    /** Takes an entry out that gets no place; the next entry of its key gets its turn. Unknown tickets are ignored. */
    void remove(queue_ticket ticket);

    /** Removes the first entry from the queue and lets the turns of the keys go on. Precondition: not empty. */
    queue_ticket takeFirst();

    /** Entries in order. */
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
        time_span turn{};
        queue_ticket ticket;
        friend auto operator<=>(const position &, const position &) = default;
    };
    struct entry {
        position place;
        std::optional<key_number> key;
        time_span work{};
    };
    struct rank_state {
        /** Turn of the entry that was taken last. */
        time_span current{};
        /** Turn that the next entry of a key gets. */
        std::map<key_number, time_span> next;
    };

    std::uint64_t m_lastTicket = 0;
    std::set<position> m_order;
    std::map<queue_ticket, entry> m_entries;
    std::map<std::uint32_t, rank_state> m_ranks;
};

} // namespace sycamoretray
