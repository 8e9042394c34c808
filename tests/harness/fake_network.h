#pragma once

#include "event_scheduler.h"
#include "seeded_random.h"

#include <functional>
#include <set>
#include <string>
#include <utility>

namespace sycamoretray::harness
{

/** Faults that apply to every message. */
struct network_faults {
    double loss = 0;
    double duplication = 0;
    time_span extraDelay{};
};

/** Simulated network between named nodes: random delay (and hence reordering), loss, duplicates, one-way partitions. Thread safety: none. */
class fake_network
{
public:
    fake_network(event_scheduler &scheduler, seeded_random &random);

    /** Schedules @p deliver unless the message is lost; twice if it is duplicated. Returns the delay of the last copy, 0 if all are lost. */
    time_span send(const std::string &from, const std::string &to, const std::function<void()> &deliver, bool mayDuplicate);

    bool connected(const std::string &from, const std::string &to) const;

    /** Drops every message from @p from to @p to until unblock(). */
    void block(const std::string &from, const std::string &to);
    void unblock(const std::string &from, const std::string &to);

    network_faults &faults();
    /** Removes all partitions and faults. */
    void heal();

private:
    event_scheduler &m_scheduler;
    seeded_random &m_random;
    network_faults m_faults;
    /** A multiset, because two faults may block the same pair. */
    std::multiset<std::pair<std::string, std::string>> m_blocked;
};

} // namespace sycamoretray::harness
