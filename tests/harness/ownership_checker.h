#pragma once

#include "fake_server.h"

#include <bitset>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sycamoretray::harness
{

/** Answer that an operator got for a publication. */
enum class operator_answer {
    /** No answer, or one that leaves the outcome open. */
    none,
    published,
    /** Definitely not published. */
    refused,
};

/**
 * Independent check of the ownership and configuration invariants. Its input is what servers do and what operators and callers
 * observe, never the state that an instance holds about ownership.
 *
 * Thread safety: none.
 */
class ownership_checker
{
public:
    /** Adds a boot of a server to the check. A boot that was replaced is still checked, because it may only be paused. */
    void addProcess(const std::shared_ptr<const fake_server> &process, bool checksTokens);

    /** Removes a boot that has ended for good. */
    void removeProcess(const fake_server &process);

    /** Checks, after @p process has handled a lease request, that no other process holds a lease for one of its keys. */
    void leaseHandled(const fake_server &process, monotonic_time trueNow);

    /** Checks the owner of each of @p slots after @p server, which does not check tokens, ran a request for each of them. */
    void requestsExecuted(const server_id &server, const slot_set &slots, monotonic_time trueNow);

    /** Records that an operator publishes @p value based on version @p base. */
    void publishAttempted(std::uint64_t value, std::uint64_t base);
    void publishAnswered(std::uint64_t value, operator_answer answer, std::uint64_t version, monotonic_time trueNow);

    /** Checks the configuration with @p value, by which @p incarnation has begun to route. */
    void configurationInForce(const std::string &incarnation, std::uint64_t value, monotonic_time trueNow);

    /** Checks after the end of all faults that the configuration of @p incarnation contains every acknowledged publication. */
    void checkFinalConfiguration(const std::string &incarnation, std::uint64_t value, monotonic_time trueNow);

    /** Checks that @p term, on which the instances finally agree for @p server, is not below a term that the server accepted. */
    void checkFinalTerm(const server_id &server, home_term term, monotonic_time trueNow);

    void report(const std::string &violation, monotonic_time trueNow);

    const std::vector<std::string> &violations() const;

private:
    struct process {
        std::shared_ptr<const fake_server> server;
        bool checksTokens = true;
    };
    struct publication {
        std::uint64_t base = 0;
        std::uint64_t version = 0;
        operator_answer answer = operator_answer::none;
    };
    /** Last two servers that ran a slot. */
    struct slot_runs {
        std::string lastServer;
        monotonic_time lastTime{};
        std::string previousServer;
        monotonic_time previousTime{};
    };

    std::vector<process> m_processes;
    std::map<server_id, home_term> m_acceptedTerms;
    std::map<std::uint64_t, publication> m_publications;
    std::map<std::string, std::uint64_t> m_inForce;
    std::map<std::string, std::vector<slot_runs>> m_runs;
    std::vector<std::string> m_violations;
};

/** Service of @p server: the part of its name before the slash. */
std::string serviceOf(const server_id &server);

} // namespace sycamoretray::harness
