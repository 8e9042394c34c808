#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <utility>

namespace sycamoretray
{

/**
 * Wraps a representation in a distinct type, so that values with different meanings cannot be confused.
 *
 * @tparam Tag  an incomplete type that identifies the meaning
 * @tparam Rep  the stored type; must be regular and totally ordered
 *
 * Thread safety: as for Rep.
 */
template<class Tag, class Rep>
class strong_value
{
public:
    using rep = Rep;

    constexpr strong_value() = default;
    constexpr explicit strong_value(Rep value)
        : m_value(std::move(value))
    {
    }

    constexpr const Rep &value() const noexcept
    {
        return m_value;
    }

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 mistakes the zero of a rewritten comparison for a null pointer
    friend constexpr auto operator<=>(const strong_value &, const strong_value &) = default;

    friend std::ostream &operator<<(std::ostream &out, const strong_value &v)
    {
        return out << v.m_value;
    }

private:
    Rep m_value{};
};

} // namespace sycamoretray

template<class Tag, class Rep>
struct std::hash<sycamoretray::strong_value<Tag, Rep>> {
    std::size_t operator()(const sycamoretray::strong_value<Tag, Rep> &v) const noexcept
    {
        return std::hash<Rep>{}(v.value());
    }
};
