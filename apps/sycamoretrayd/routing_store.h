#pragma once

#include "routing/routing_table.h"

#include <memory>
#include <mutex>

namespace sycamoretray
{

/** Holds the current routing table. Thread safety: any thread. */
class routing_store
{
public:
    /** Never null. */
    std::shared_ptr<const routing_table> get() const
    {
        const std::lock_guard lock(m_mutex);
        return m_table;
    }

    void set(std::shared_ptr<const routing_table> table)
    {
        // The parameter outlives the lock, so the old table, whose destruction is slow, is destroyed without holding it.
        const std::lock_guard lock(m_mutex);
        m_table.swap(table);
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const routing_table> m_table = std::make_shared<const routing_table>();
};

} // namespace sycamoretray
