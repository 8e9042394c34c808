#pragma once

#include "simulated_cluster.h"

#include <map>

namespace sycamoretray::harness
{

/** Operators who publish and drain at random instances; what they are told goes to the checker. Thread safety: none. */
class fake_operators
{
public:
    explicit fake_operators(simulated_cluster &cluster);

    /** Publishes the first version of the template. */
    void publishTemplate();

    /** Operator number @p operatorNumber publishes the next parameter set on top of the version that he knows. */
    void publishParameters(std::size_t operatorNumber);

    void requestDrain(std::size_t serverIndex, bool draining);

    /** Takes the answer that @p host gives. */
    void answered(const instance_host &host, const publish_outcome &action);

    /** Publication with the highest acknowledged version; 0 if there is none. */
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
