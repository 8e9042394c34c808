#include "key_ownership/detail/holder_expiries.h"

#include <algorithm>

namespace sycamoretray::detail
{

void holder_expiries::extend(const endpoint_incarnation &incarnation, monotonic_time expiry)
{
    monotonic_time &known = m_expiries[incarnation];
    known = std::max(known, expiry);
}

void holder_expiries::inherit(const endpoint_incarnation &incarnation, monotonic_time expiry)
{
    m_inherited[incarnation] = expiry;
}

void holder_expiries::limitInherited(monotonic_time expiry)
{
    for (auto &[incarnation, known] : m_inherited) {
        known = std::min(known, expiry);
    }
}

void holder_expiries::ended(const endpoint_incarnation &incarnation)
{
    m_inherited.erase(incarnation);
    m_expiries.erase(incarnation);
}

void holder_expiries::forgetLapsed(const std::set<endpoint_incarnation> &kept, monotonic_time now)
{
    const auto isLapsed = [&](const auto &item) {
        return item.second <= now && !kept.contains(item.first);
    };
    std::erase_if(m_expiries, isLapsed);
    std::erase_if(m_inherited, isLapsed);
}

monotonic_time holder_expiries::expiry(const endpoint_incarnation &incarnation) const
{
    const auto own = m_expiries.find(incarnation);
    const auto inherited = m_inherited.find(incarnation);
    return std::max(own == m_expiries.end() ? monotonic_time::min() : own->second, inherited == m_inherited.end() ? monotonic_time::min() : inherited->second);
}

time_span holder_expiries::remaining(const endpoint_incarnation &incarnation, monotonic_time now) const
{
    const monotonic_time until = expiry(incarnation);
    return until > now ? until - now : time_span::zero();
}

} // namespace sycamoretray::detail
