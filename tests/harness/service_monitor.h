#pragma once

#include "simulated_cluster.h"

namespace sycamoretray::harness
{

/** Observes which slots could be served to a caller at the current time. Thread safety: none. */
class service_monitor
{
public:
    explicit service_monitor(simulated_cluster &cluster);

    /** Slots of @p service that are served now, whichever ready instance a request enters at. */
    slot_set servedEverywhere(const std::string &service) const;

    /** Number of slots of all services for which a request would fail now at one of the ready instances or more. */
    std::size_t unservedSlots() const;

    std::vector<std::string> services() const;

    /** Value of the publication by which @p host routes; 0 if there is none. */
    static std::uint64_t valueInForce(const instance_host &host);

private:
    /** Slots that @p home would send to @p server and that the server would run. */
    slot_set reachableSlots(const instance_host &home, const server_host &server) const;
    /** Slots of @p wanted that are served if a request enters at @p entry and is forwarded between homes at most @p hops times. */
    slot_set servedSlots(const instance_host &entry, const std::string &service, const slot_set &wanted, int hops) const;

    simulated_cluster &m_cluster;
};

} // namespace sycamoretray::harness
