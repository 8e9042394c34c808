#include "key_ownership/detail/endpoint_contact.h"

namespace sycamoretray::detail
{

namespace
{

// One failure may be a connection that the endpoint closed, or a lost answer.
constexpr std::uint32_t failuresUntilLost = 2;

} // namespace

endpoint_contact::endpoint_contact(time_span probeInterval)
    : m_probeInterval(probeInterval)
{
}

void endpoint_contact::answered(const endpoint_life &life)
{
    m_failures.erase(life);
}

void endpoint_contact::failed(const endpoint_life &life, monotonic_time now)
{
    failures &known = m_failures[life];
    ++known.count;
    known.nextProbe = now + m_probeInterval;
}

bool endpoint_contact::isLost(const endpoint_life &life) const
{
    const auto found = m_failures.find(life);
    return found != m_failures.end() && found->second.count >= failuresUntilLost;
}

std::vector<endpoint_life> endpoint_contact::dueProbes(monotonic_time now)
{
    std::vector<endpoint_life> due;
    for (auto &[life, known] : m_failures) {
        if (known.count >= failuresUntilLost && now >= known.nextProbe) {
            known.nextProbe = now + m_probeInterval;
            due.push_back(life);
        }
    }
    return due;
}

void endpoint_contact::forget(const endpoint_life &life)
{
    m_failures.erase(life);
}

} // namespace sycamoretray::detail
