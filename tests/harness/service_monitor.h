#pragma once

#include "simulated_cluster.h"

namespace sycamoretray::harness
{

/** Observes which slots a caller could get served at this moment. Thread safety: none. */
class service_monitor
{
public:
    explicit service_monitor(simulated_cluster &cluster);

    /** Slots of @p service that would run now if a request entered at any ready instance. */
    slot_set servedEverywhere(const std::string &service) const;

    /** Slots of all services that some ready instance could not get served now. */
    std::size_t unservedSlots() const;

    std::vector<std::string> services() const;

    /** Publication that @p host routes by; 0 if none. */
    static std::uint64_t valueInForce(const instance_host &host);

private:
    /** Slots that @p home would send to @p server and that the server would run. */
    slot_set reachableSlots(const instance_host &home, const server_host &server) const;
    slot_set servedSlots(const instance_host &entry, const std::string &service, const slot_set &wanted, int hops) const;

    simulated_cluster &m_cluster;
};

} // namespace sycamoretray::harness
