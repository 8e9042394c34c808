#pragma once

#include "gateway/crash_tracker.h"
#include "permits/coordinator_ranking.h"
#include "sycamoretrayd/gateway/datagram_channel.h"

#include <functional>
#include <vector>

namespace sycamoretray
{

/**
 * Tells all instances which requests crashed endpoints, as datagrams. Lost ones are made up for by those that follow.
 *
 * Thread safety: as for datagram_channel.
 */
class crash_report_channel
{
public:
    /**
     * @param datagrams  must outlive this object
     * @param self       address of this instance, to which nothing is sent
     */
    crash_report_channel(datagram_channel &datagrams, network_address self, std::function<void(const std::vector<crash_report> &)> received);

    /** Sends @p reports to all other instances. */
    void send(const coordinator_candidates &instances, const std::vector<crash_report> &reports);

private:
    datagram_channel &m_datagrams;
    network_address m_self;
};

} // namespace sycamoretray
