#pragma once

#include "controller/home_servers.h"

#include <map>
#include <string>

namespace sycamoretray
{

/**
 * Carries out planned moves of slots and hot keys, one at a time per source server: holds the queue, waits until nothing is in
 * flight, removes the slots from the ownership set of the server, appends the record and releases the queue. Thread safety: none.
 */
class slot_mover
{
public:
    slot_mover(controller_context &context, home_servers &homes, peer_monitor &peers, append_queue &queue);

    /** True while a move from this server is in progress. */
    bool busy(const server_id &from) const;

    /** Precondition: not busy(from), and mayMoveSlots() of its lease is true. */
    void moveSlots(const server_id &from, const server_id &to, std::vector<hash_slot> slots);

    /** As moveSlots(), for one hot key. An empty @p to returns the key to the owner of its slot. */
    void moveKey(const server_id &from, const server_id &to, const std::string &key);

    void handleIdle(const dispatch_idle &idle);

    /** Advances the moves, and cancels those that take too long before the record is appended. */
    void tick();

    /** A record of this instance was replayed. */
    void ownRecordReplayed(std::uint64_t sequence, log_offset offset, const std::string &data, bool applied);

    /** True while a cancelled move from @p from delays the next one. */
    bool backingOff(const server_id &from) const;

private:
    enum class stage {
        /** Waits until no request is in flight. */
        holding,
        /** Waits until the server acknowledges the ownership set without the slots. */
        revoking,
        /** Waits until the record is replayed. */
        appended,
    };

    struct slot_move {
        server_id to;
        home_term term;
        std::vector<hash_slot> slots;
        /** Empty unless a single key is moved. */
        std::string key;
        stage progress = stage::holding;
        operation_id operation;
        monotonic_time started;
        std::uint64_t sequence = 0;
    };

    void start(const server_id &from, slot_move move);
    void append(const server_id &from, slot_move &move);
    void cancelMove(const server_id &from, const slot_move &move);

    controller_context &m_context;
    home_servers &m_homes;
    peer_monitor &m_peers;
    append_queue &m_queue;
    std::map<server_id, slot_move> m_moves;
    std::map<server_id, monotonic_time> m_retryAt;
};

} // namespace sycamoretray
