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

/** What an operator was told about a publication. */
enum class operator_answer {
    none,
    published,
    /** Definitely not published. */
    refused,
};

/**
 * Ground truth outside the logic. It is told what servers do and what operators and callers see, never what an instance
 * believes about ownership.
 *
 * Thread safety: none.
 */
class ownership_checker
{
public:
    /** A boot of a server exists from now on. A boot that was replaced stays in the check: it may only be paused. */
    void addProcess(const std::shared_ptr<const fake_server> &process, bool checksTokens);

    /** The boot stopped for good. */
    void removeProcess(const fake_server &process);

    /** @p process has just handled a lease request. */
    void leaseHandled(const fake_server &process, monotonic_time trueNow);

    /** A server that does not check tokens ran a request for each of these slots. */
    void requestsRan(const server_id &server, const slot_set &slots, monotonic_time trueNow);

    /** An operator publishes @p value on top of version @p base. */
    void publishAttempted(std::uint64_t value, std::uint64_t base);
    void publishAnswered(std::uint64_t value, operator_answer answer, std::uint64_t version, monotonic_time trueNow);

    /** The process @p incarnation routes by the configuration that carries @p value. */
    void configurationInForce(const std::string &incarnation, std::uint64_t value, monotonic_time trueNow);

    /** Checks after the end of all faults that the configuration of @p incarnation contains every acknowledged publication. */
    void checkFinalConfiguration(const std::string &incarnation, std::uint64_t value, monotonic_time trueNow);

    /** The instances agree in the end that @p server is served under @p term: not less than a term that a server accepted. */
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
        std::string last;
        monotonic_time lastTime{};
        std::string before;
        monotonic_time beforeTime{};
    };

    std::vector<process> m_processes;
    std::map<server_id, home_term> m_acceptedTerms;
    std::map<std::uint64_t, publication> m_publications;
    std::map<std::string, std::uint64_t> m_inForce;
    std::map<std::string, std::vector<slot_runs>> m_runs;
    std::vector<std::string> m_violations;
};

/** Part of the server's name before the slash. */
std::string serviceOf(const server_id &server);

} // namespace sycamoretray::harness
