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

/** Network between named nodes: random delay (and with it reordering), loss, duplicates, one-way partitions. Thread safety: none. */
class fake_network
{
public:
    fake_network(event_scheduler &scheduler, seeded_random &random);

    /** Runs @p deliver at the receiver, unless the message is lost; twice if it is duplicated. */
    void send(const std::string &from, const std::string &to, const std::function<void()> &deliver, bool mayDuplicate);

    bool connected(const std::string &from, const std::string &to) const;

    /** Messages from @p from to @p to are lost from now on. */
    void block(const std::string &from, const std::string &to);
    void unblock(const std::string &from, const std::string &to);

    network_faults &faults();
    void heal();

private:
    event_scheduler &m_scheduler;
    seeded_random &m_random;
    network_faults m_faults;
    /** Counted, because two faults may block the same pair. */
    std::multiset<std::pair<std::string, std::string>> m_blocked;
};

} // namespace sycamoretray::harness
