#include "key_ownership/detail/holder_lapses.h"

#include <algorithm>

namespace sycamoretray::detail
{

void holder_lapses::extend(const endpoint_life &life, monotonic_time lapse)
{
    monotonic_time &known = m_lapses[life];
    known = std::max(known, lapse);
}

void holder_lapses::inherit(const endpoint_life &life, monotonic_time lapse)
{
    m_inherited[life] = lapse;
}

void holder_lapses::limitInherited(monotonic_time lapse)
{
    for (auto &[life, known] : m_inherited) {
        known = std::min(known, lapse);
    }
}

void holder_lapses::ended(const endpoint_life &life)
{
    m_inherited.erase(life);
    m_lapses.erase(life);
}

monotonic_time holder_lapses::lapse(const endpoint_life &life) const
{
    const auto own = m_lapses.find(life);
    const auto inherited = m_inherited.find(life);
    return std::max(own == m_lapses.end() ? monotonic_time::min() : own->second, inherited == m_inherited.end() ? monotonic_time::min() : inherited->second);
}

time_span holder_lapses::remaining(const endpoint_life &life, monotonic_time now) const
{
    const monotonic_time until = lapse(life);
    return until > now ? until - now : time_span::zero();
}

} // namespace sycamoretray::detail
