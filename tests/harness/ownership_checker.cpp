#include "ownership_checker.h"

#include <algorithm>

namespace sycamoretray::harness
{

namespace
{

// A planned move of a slot and its return take two batches with their appends. A slot that returns faster than this was run by two
// servers in turn.
constexpr time_span minReturnTime = std::chrono::milliseconds(50);

} // namespace

std::string serviceOf(const server_id &server)
{
    return server.value().substr(0, server.value().find('/'));
}

void ownership_checker::addProcess(const std::shared_ptr<const fake_server> &process, bool checksTokens)
{
    m_processes.push_back({ process, checksTokens });
}

void ownership_checker::removeProcess(const fake_server &process)
{
    std::erase_if(m_processes, [&process](const auto &each) {
        return each.server.get() == &process;
    });
}

void ownership_checker::leaseHandled(const fake_server &process, monotonic_time trueNow)
{
    if (!process.holdsLease(trueNow)) {
        return;
    }
    home_term &accepted = m_acceptedTerms[process.server()];
    accepted = std::max(accepted, process.term());
    const auto self = std::find_if(m_processes.begin(), m_processes.end(), [&process](const auto &each) {
        return each.server.get() == &process;
    });
    if (self == m_processes.end() || !self->checksTokens) {
        return;
    }
    for (const auto &other : m_processes) {
        if (other.server.get() == &process || !other.checksTokens || !other.server->holdsLease(trueNow)
            || serviceOf(other.server->server()) != serviceOf(process.server())) {
            continue;
        }
        if (const auto common = process.commonKey(*other.server)) {
            report("two owners of " + *common + ": " + process.bootId() + " term " + std::to_string(process.term().value()) + " and " + other.server->bootId()
                       + " term " + std::to_string(other.server->term().value()),
                   trueNow);
        }
    }
}

void ownership_checker::requestsExecuted(const server_id &server, const slot_set &slots, monotonic_time trueNow)
{
    std::vector<slot_runs> &runs = m_runs[serviceOf(server)];
    runs.resize(hashSlotCount);
    for (std::size_t slot = slots._Find_first(); slot < slots.size(); slot = slots._Find_next(slot)) {
        slot_runs &each = runs[slot];
        if (each.lastServer != server.value()) {
            if (each.previousServer == server.value() && trueNow - each.previousTime < minReturnTime) {
                report("two servers run slot " + std::to_string(slot) + " in turn: " + each.lastServer + " and " + server.value(), trueNow);
                return;
            }
            each.previousServer = each.lastServer;
            each.previousTime = each.lastTime;
            each.lastServer = server.value();
        }
        each.lastTime = trueNow;
    }
}

void ownership_checker::publishAttempted(std::uint64_t value, std::uint64_t base)
{
    m_publications[value].base = base;
}

void ownership_checker::publishAnswered(std::uint64_t value, operator_answer answer, std::uint64_t version, monotonic_time trueNow)
{
    publication &published = m_publications[value];
    published.answer = answer;
    published.version = version;
    for (const auto &[otherValue, other] : m_publications) {
        if (otherValue != value && answer == operator_answer::published && other.answer == answer && other.base == published.base) {
            report("two publications on the same base version were acknowledged: " + std::to_string(value) + " and " + std::to_string(otherValue), trueNow);
        }
    }
}

void ownership_checker::configurationInForce(const std::string &incarnation, std::uint64_t value, monotonic_time trueNow)
{
    const auto published = m_publications.find(value);
    if (published == m_publications.end()) {
        report(incarnation + " routes by a configuration that was never published: " + std::to_string(value), trueNow);
        return;
    }
    if (published->second.answer == operator_answer::refused) {
        report(incarnation + " routes by publication " + std::to_string(value) + " that was refused", trueNow);
    }
    // The base versions of effective publications increase, so a lower one means that the configuration reverted.
    std::uint64_t &highest = m_inForce.try_emplace(incarnation, 0).first->second;
    if (published->second.base < highest) {
        report("the configuration of " + incarnation + " reverted to publication " + std::to_string(value), trueNow);
    }
    highest = std::max(highest, published->second.base);
}

void ownership_checker::checkFinalConfiguration(const std::string &incarnation, std::uint64_t value, monotonic_time trueNow)
{
    configurationInForce(incarnation, value, trueNow);
    const publication &inForce = m_publications[value];
    for (const auto &[otherValue, other] : m_publications) {
        if (otherValue != value && other.answer == operator_answer::published && other.version > inForce.base) {
            report("the acknowledged publication " + std::to_string(otherValue) + " is lost at " + incarnation, trueNow);
        }
    }
}

void ownership_checker::checkFinalTerm(const server_id &server, home_term term, monotonic_time trueNow)
{
    const auto accepted = m_acceptedTerms.find(server);
    if (accepted != m_acceptedTerms.end() && term < accepted->second) {
        report("the term of " + server.value() + " fell from " + std::to_string(accepted->second.value()) + " to " + std::to_string(term.value()), trueNow);
    }
}

void ownership_checker::report(const std::string &violation, monotonic_time trueNow)
{
    m_violations.push_back(std::to_string(trueNow.time_since_epoch().count() / 1000) + " ms: " + violation);
}

const std::vector<std::string> &ownership_checker::violations() const
{
    return m_violations;
}

} // namespace sycamoretray::harness
