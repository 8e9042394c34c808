#pragma once

#include "restorable_store.h"

namespace sycamoretray
{

/**
 * A store with groups and producer epochs. The partition of a group goes to its newest member, once the former owner has joined again
 * with a generation in which it is not listed, or has left.
 */
class group_store : public restorable_store
{
public:
    explicit group_store(serial_executor executor);

    /** While true, appends by producers get no answer and have no effect, and other calls are served. */
    void setProducersUnanswered(bool unanswered);

    /** Answers each join after @p delay, of which the present one is taken at the join. */
    void setJoinDelay(time_span delay);

    /** Number of joins. */
    std::size_t joins() const noexcept;

    /** Returns the number of members of @p group. */
    std::size_t members(const std::string &group) const;

    /** Returns the highest epoch that a producer has claimed. */
    std::uint64_t highestEpoch() const noexcept;

    void append(const std::string &topic,
                const std::vector<keyed_value> &records,
                const std::optional<producer_position> &position,
                std::function<void(append_reply)> done) override;
    void join(const std::string &group,
              const std::string &member,
              const std::string &topic,
              time_span timeToLive,
              std::uint64_t generation,
              std::function<void(join_reply)> done) override;
    void leave(const std::string &group, const std::string &member) override;

private:
    struct group_state {
        /** In the order of joining, with the time at which each expires. */
        std::vector<std::pair<std::string, monotonic_time>> members;
        std::string owner;
        std::uint64_t generation = 0;

        bool contains(const std::string &member) const;
        void remove(const std::string &member);
    };

    serial_executor m_executor;
    bool m_producersUnanswered = false;
    std::map<std::string, group_state> m_groups;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_nextSequence = 0;
    time_span m_joinDelay{};
    std::size_t m_joins = 0;
};

} // namespace sycamoretray
