#include "group_store.h"

#include "executor/steady_time.h"

#include <algorithm>
#include <utility>

namespace sycamoretray
{

namespace
{

constexpr std::uint32_t unansweredMilliseconds = 250;

} // namespace

bool group_store::group_state::contains(const std::string &member) const
{
    return std::any_of(members.begin(), members.end(), [&](const auto &each) {
        return each.first == member;
    });
}

void group_store::group_state::remove(const std::string &member)
{
    std::erase_if(members, [&](const auto &each) {
        return each.first == member;
    });
    ++generation;
    if (owner == member) {
        owner.clear();
    }
}

group_store::group_store(serial_executor executor)
    : restorable_store(executor)
    , m_executor(std::move(executor))
{
}

void group_store::setProducersUnanswered(bool unanswered)
{
    m_producersUnanswered = unanswered;
}

void group_store::setJoinDelay(time_span delay)
{
    m_joinDelay = delay;
}

std::size_t group_store::joins() const noexcept
{
    return m_joins;
}

std::size_t group_store::members(const std::string &group) const
{
    const auto found = m_groups.find(group);
    return found == m_groups.end() ? 0 : found->second.members.size();
}

std::uint64_t group_store::highestEpoch() const noexcept
{
    return m_epoch;
}

void group_store::append(const std::string &topic,
                         const std::vector<keyed_value> &records,
                         const std::optional<producer_position> &position,
                         std::function<void(append_reply)> done)
{
    if (!position) {
        restorable_store::append(topic, records, position, std::move(done));
        return;
    }
    append_reply reply;
    reply.result = store_result::ok;
    if (m_producersUnanswered) {
        reply.result = store_result::unknown;
    } else if (position->epoch < m_epoch) {
        reply.result = store_result::fenced;
    } else {
        m_nextSequence = position->epoch > m_epoch ? position->sequence.value_or(0) : m_nextSequence;
        m_epoch = position->epoch;
        if (position->sequence && *position->sequence != m_nextSequence) {
            reply.result = store_result::out_of_sequence;
        }
    }
    if (reply.result == store_result::ok) {
        m_nextSequence += position->sequence ? 1 : 0;
        restorable_store::append(topic, records, position, std::move(done));
        return;
    }
    m_executor.repeat(reply.result == store_result::unknown ? unansweredMilliseconds : 1, [reply, done = std::move(done)] {
        done(reply);
        return false;
    });
}

void group_store::join(const std::string &group,
                       const std::string &member,
                       const std::string & /*topic*/,
                       time_span timeToLive,
                       std::uint64_t generation,
                       std::function<void(join_reply)> done)
{
    const monotonic_time now = steadyNow();
    group_state &state = m_groups[group];
    for (const auto &each : std::vector(state.members)) {
        if (each.second <= now) {
            state.remove(each.first);
        }
    }
    if (!state.contains(member)) {
        state.members.emplace_back(member, now);
        ++state.generation;
    }
    for (auto &[name, expiry] : state.members) {
        expiry = name == member ? now + timeToLive : expiry;
    }
    // A partition that is to go to another member is free only after its owner has joined with a generation in which it is not listed.
    const std::string &chosen = state.members.back().first;
    const bool toOther = state.owner == member && chosen != member;
    if (toOther && generation >= state.generation) {
        state.owner.clear();
    } else if (state.owner.empty() && chosen == member) {
        state.owner = member;
    }
    join_reply reply;
    reply.result = store_result::ok;
    reply.generation = state.generation;
    if (state.owner == member && !toOther) {
        reply.partitions = { 0 };
    }
    ++m_joins;
    if (m_joinDelay > time_span::zero()) {
        m_executor.repeat(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_joinDelay).count()),
                          [reply, done = std::move(done)] {
                              done(reply);
                              return false;
                          });
        return;
    }
    m_executor.post([reply, done = std::move(done)] {
        done(reply);
    });
}

void group_store::leave(const std::string &group, const std::string &member)
{
    m_groups[group].remove(member);
}

} // namespace sycamoretray
