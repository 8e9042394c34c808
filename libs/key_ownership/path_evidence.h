#pragma once

#include "base/ids.h"

#include <set>

namespace sycamoretray
{

/**
 * Tells from the outcomes of orders to all endpoints whether the path of the assigner itself may be lost: several endpoints have left orders
 * unanswered since any endpoint answered one.
 *
 * Thread safety: none.
 */
class path_evidence
{
public:
    /** An endpoint answered an order. */
    void answered() noexcept;

    /** @p endpoint left an order unanswered, or could not be sent one. */
    void unanswered(const endpoint_id &endpoint);

    /** Returns whether @p endpoint has left orders unanswered since the last answer. */
    bool isUnanswered(const endpoint_id &endpoint) const;

    /** Returns whether single endpoints cannot be told from a lost path at present. */
    bool isPathDoubtful() const noexcept;

private:
    /** Endpoints that have left orders unanswered since the last answer. */
    std::set<endpoint_id> m_unanswered;
};

} // namespace sycamoretray
