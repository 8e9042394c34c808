#pragma once

#include "simulated_cluster.h"

#include <map>

namespace sycamoretray::harness
{

/** Simulated operators who publish documents at random instances and drain endpoints. Reports the answers to publications to the checker. Thread safety: none.
 */
class fake_operators
{
public:
    explicit fake_operators(simulated_cluster &cluster);

    /** Publishes the first version of the template. */
    void publishTemplate();

    /** Operator number @p operatorNumber publishes the next parameter set, based on the newest version known to this operator. */
    void publishParameters(std::size_t operatorNumber);

    /** Requests at the first live instance that endpoint number @p serverIndex is drained, or no longer drained. */
    void requestDrain(std::size_t serverIndex, bool draining);

    /** Handles the outcome of a publication that @p host reports. */
    void handleOutcome(const instance_host &host, const publish_outcome &action);

    /** Value of the publication with the highest acknowledged version; 0 if there is none. */
    std::uint64_t acknowledgedValue() const;

private:
    struct publication_request {
        std::uint64_t value = 0;
        std::size_t operatorNumber = 0;
    };

    void publish(document_kind kind, const std::string &name, std::uint64_t base, const std::string &document, publication_request request);
    std::string templateDocument() const;

    simulated_cluster &m_cluster;
    std::map<std::uint64_t, publication_request> m_publications;
    std::map<std::size_t, std::uint64_t> m_knownVersion;
    std::uint64_t m_acknowledgedVersion = 0;
    std::uint64_t m_acknowledgedValue = 0;
    std::uint64_t m_nextOperation = 1U << 30U;
    std::uint64_t m_nextValue = 1000;
};

} // namespace sycamoretray::harness
