#include "controller/slot_mover.h"

#include "records/record_builder.h"
#include "routing/hash_slots.h"

namespace sycamoretray
{

namespace
{

/** Requests for the held slots wait during a move, so a move that does not progress is cancelled and retried later. */
constexpr time_span holdTimeout = std::chrono::seconds(1);
constexpr time_span retryDelay = std::chrono::seconds(1);

} // namespace

slot_mover::slot_mover(controller_context &context, home_servers &homes, peer_monitor &peers, append_queue &queue)
    : m_context(context)
    , m_homes(homes)
    , m_peers(peers)
    , m_queue(queue)
{
}

bool slot_mover::busy(const server_id &from) const
{
    return m_moves.contains(from);
}

bool slot_mover::backingOff(const server_id &from) const
{
    const auto found = m_retryAt.find(from);
    return found != m_retryAt.end() && m_context.now < found->second;
}

void slot_mover::start(const server_id &from, slot_move move)
{
    move.term = m_homes.find(from)->term();
    move.operation = m_context.newOperation();
    move.started = m_context.now;
    m_context.add(hold_slots{ move.operation, from, move.slots });
    m_moves[from] = std::move(move);
}

void slot_mover::moveSlots(const server_id &from, const server_id &to, std::vector<hash_slot> slots)
{
    slot_move move;
    move.to = to;
    move.slots = std::move(slots);
    start(from, std::move(move));
}

void slot_mover::moveKey(const server_id &from, const server_id &to, const std::string &key)
{
    slot_move move;
    move.to = to;
    move.slots = { slotOfKey(key) };
    move.key = key;
    start(from, std::move(move));
}

void slot_mover::handleIdle(const dispatch_idle &idle)
{
    const auto found = m_moves.find(idle.server);
    server_lease *lease = m_homes.find(idle.server);
    if (found == m_moves.end() || lease == nullptr || found->second.operation != idle.operation || found->second.progress != stage::holding) {
        return;
    }
    slot_move &move = found->second;
    move.progress = stage::revoking;
    move.started = m_context.now;
    if (move.key.empty()) {
        lease->withhold(move.slots, {});
    } else {
        lease->withhold({}, { move.key });
    }
}

void slot_mover::append(const server_id &from, slot_move &move)
{
    const service_id &service = m_context.state.servers().at(from).service;
    move.progress = stage::appended;
    move.sequence = m_queue.add(move.key.empty() ? slotsMovedRecord(service, from, move.term, move.to, move.slots)
                                                 : keyMovedRecord(service, move.key, from, move.term, move.to));
}

void slot_mover::cancelMove(const server_id &from, const slot_move &move)
{
    server_lease *lease = m_homes.find(from);
    m_retryAt[from] = m_context.now + retryDelay;
    if (lease != nullptr && lease->term() == move.term) {
        lease->restore();
        m_context.addAfterRouting(release_slots{ from, move.slots });
    }
}

void slot_mover::tick()
{
    for (auto entry = m_moves.begin(); entry != m_moves.end();) {
        auto &[from, move] = *entry;
        server_lease *lease = m_homes.find(from);
        if (lease == nullptr || lease->term() != move.term) {
            entry = m_moves.erase(entry);
            continue;
        }
        if (move.progress == stage::revoking && lease->mayMoveSlots() && lease->ownershipAcknowledged()) {
            append(from, move);
        }
        const bool timedOut = move.progress != stage::appended && (m_context.now - move.started > holdTimeout || lease->phase() != lease_phase::granting);
        if (timedOut) {
            cancelMove(from, move);
            entry = m_moves.erase(entry);
        } else {
            ++entry;
        }
    }
}

void slot_mover::ownRecordReplayed(std::uint64_t sequence, log_offset offset, const std::string &data, bool applied)
{
    for (auto entry = m_moves.begin(); entry != m_moves.end(); ++entry) {
        auto &[from, move] = *entry;
        if (move.progress != stage::appended || move.sequence != sequence) {
            continue;
        }
        server_lease *lease = m_homes.find(from);
        if (lease != nullptr && lease->term() == move.term) {
            lease->restore();
            m_context.addAfterRouting(release_slots{ from, move.slots });
        }
        if (applied) {
            m_peers.sendRecordToAll(offset, data);
        }
        m_moves.erase(entry);
        return;
    }
}

} // namespace sycamoretray
