#pragma once

#include "key_ownership/key_load.h"
#include "sycamoretrayd/gateway/datagram_channel.h"

#include <functional>

namespace sycamoretray
{

/**
 * Sends and receives load reports as datagrams. Lost reports are not sent again, because a loss only makes the averages a little older.
 *
 * Thread safety: as for datagram_channel.
 */
class load_report_channel
{
public:
    /** @param datagrams  must outlive this object */
    load_report_channel(datagram_channel &datagrams, std::function<void(const load_report &)> received);

    void send(const network_address &assigner, load_report report);

private:
    datagram_channel &m_datagrams;
};

} // namespace sycamoretray
