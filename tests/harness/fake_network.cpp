#include "fake_network.h"

#include <algorithm>

namespace sycamoretray::harness
{

using namespace std::chrono_literals;

fake_network::fake_network(event_scheduler &scheduler, seeded_random &random)
    : m_scheduler(scheduler)
    , m_random(random)
{
}

time_span fake_network::send(const std::string &from, const std::string &to, const std::function<void()> &deliver, bool mayDuplicate)
{
    const int copies = mayDuplicate && m_random.chance(m_faults.duplication) ? 2 : 1;
    time_span last{};
    for (int i = 0; i < copies; ++i) {
        const bool lost = !connected(from, to) || m_random.chance(m_faults.loss);
        const time_span extraDelay = m_random.span(0us, m_faults.extraDelay);
        const time_span delay = m_random.span(300us, 1200us) + extraDelay;
        if (!lost) {
            m_scheduler.after(delay, deliver);
            last = std::max(last, delay);
        }
    }
    return last;
}

bool fake_network::connected(const std::string &from, const std::string &to) const
{
    return m_blocked.count({ from, to }) == 0;
}

void fake_network::block(const std::string &from, const std::string &to)
{
    m_blocked.emplace(from, to);
}

void fake_network::unblock(const std::string &from, const std::string &to)
{
    const auto found = m_blocked.find({ from, to });
    if (found != m_blocked.end()) {
        m_blocked.erase(found);
    }
}

network_faults &fake_network::faults()
{
    return m_faults;
}

void fake_network::heal()
{
    m_blocked.clear();
    m_faults = {};
}

} // namespace sycamoretray::harness
