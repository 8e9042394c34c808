#pragma once

#include "executor/serial_executor.h"
#include "permits/permit_client.h"
#include "permits/permit_coordinator.h"
#include "sycamoretrayd/gateway/datagram_channel.h"

#include <functional>
#include <memory>

namespace sycamoretray
{

/**
 * Connects the permit coordinator of this instance, and the client of the coordinators, to datagrams and a timer.
 *
 * Thread safety: none; used on the strand of the executor.
 */
class permit_service
{
public:
    /**
     * @param datagrams  must outlive this object
     * @param self  internal address of this instance
     * @param zoneOf  see permit_client_settings
     * @param log  receives the decisions of the coordinator about endpoints
     */
    permit_service(serial_executor executor,
                   datagram_channel &datagrams,
                   const network_address &self,
                   std::function<std::optional<availability_zone>(const endpoint_incarnation &)> zoneOf,
                   permit_observer observer,
                   permit_log log);
    ~permit_service();
    permit_service(const permit_service &) = delete;
    permit_service &operator=(const permit_service &) = delete;

    /** Returns the source from which the gateway requests permits. */
    permit_source &source();

    /** Sets a callback for each outcome of a promise to a refused request; see permit_coordinator. */
    void setPromiseObserver(std::function<void(promise_outcome)> observer);

    void setCandidates(const coordinator_candidates &candidates);
    void setEndpoints(const std::map<endpoint_id, listed_endpoint> &endpoints);
    void setServices(const std::map<service_id, service_definition> &services);

    /** Hands the queues of this instance over to other coordinators, because the instance stops. */
    void resign();

    /** Number of requests that wait for a permit of this instance. */
    std::size_t waiting() const;

    /** Number of permits of this instance in use. */
    std::size_t inUse() const;

    /** Number of endpoints that are ejected from the queues of this instance because of failures. */
    std::size_t ejectedEndpoints() const;

private:
    struct impl;
    std::shared_ptr<impl> d;
};

} // namespace sycamoretray
