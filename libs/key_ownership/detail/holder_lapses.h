#pragma once

#include "directory/endpoint_entry.h"

#include <map>

namespace sycamoretray::detail
{

/**
 * Until when each life of an endpoint may hold keys by grants that were sent to it.
 *
 * Thread safety: none.
 */
class holder_lapses
{
public:
    /** A grant that lasts until @p lapse may have reached @p life. */
    void extend(const endpoint_life &life, monotonic_time lapse);

    /** An earlier assigner may have granted keys to @p life until @p lapse. */
    void inherit(const endpoint_life &life, monotonic_time lapse);

    /** Every grant of earlier assigners lapses by @p lapse. */
    void limitInherited(monotonic_time lapse);

    /** The process of @p life has ended, so it holds nothing. */
    void ended(const endpoint_life &life);

    /** Returns the time from which @p life certainly holds nothing. */
    monotonic_time lapse(const endpoint_life &life) const;

    /** Returns how long @p life may still hold something; 0 if it holds nothing. */
    time_span remaining(const endpoint_life &life, monotonic_time now) const;

private:
    std::map<endpoint_life, monotonic_time> m_lapses;
    std::map<endpoint_life, monotonic_time> m_inherited;
};

} // namespace sycamoretray::detail
