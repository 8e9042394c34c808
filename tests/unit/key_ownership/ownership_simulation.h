#pragma once

#include "key_ownership/key_assigner.h"
#include "key_ownership/ownership_view.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sycamoretray
{

struct simulation_options {
    std::uint64_t seed = 1;
    std::size_t endpoints = 6;
    /** Interval between injected faults; drawn between a quarter and twice this value. */
    time_span faultInterval = std::chrono::milliseconds(700);
    bool faults = true;
    /** Also reports keys that an incarnation accepts with a token that is not above those with which other incarnations had them. */
    bool checkTokens = false;
    /** Endpoints reject orders that name another endpoint. */
    bool endpointsCheckId = false;
    /** Fraction of grants after which the endpoint closes the connection. */
    double connectionLoss = 0;
    /** Prints decisions to standard error, to debug a seed. */
    bool trace = false;
};

/**
 * Simulates endpoints, a store and the assigners in virtual time, with fault injection.
 *
 * Endpoints measure grants on clocks that run up to 2 % slow, apply unanswered orders up to 12 s late, crash, restart as new
 * incarnations at the same address, and become unreachable. Assigners are suspended, replaced and cut off from the store.
 */
class ownership_simulation
{
public:
    explicit ownership_simulation(simulation_options options);
    ~ownership_simulation();

    void run(time_span duration);

    /** Stops fault injection, restores connections and the store, and restarts crashed endpoints. */
    void endFaults();

    /** Descriptions of the moments at which two endpoints held the same watched key, or accepted it with tokens in the wrong order. */
    const std::vector<std::string> &violations() const noexcept
    {
        return m_violations;
    }

    /** Number of watched keys that a reachable endpoint holds now. */
    std::size_t servedKeys() const;
    /** Number of watched keys that are held by endpoints of evacuated zones, or by the others. */
    std::size_t heldKeys(bool evacuated) const;
    /** Of the newest assigner; see key_assigner::rememberedIncarnations(). */
    std::size_t rememberedIncarnations() const;
    static std::size_t watchedKeys();

    /** Longest time for which no endpoint held a watched key, between the first assignment and now. */
    time_span longestUnserved() const noexcept
    {
        return m_longestUnserved;
    }

    // Faults that tests inject themselves.
    void crash(std::size_t endpoint);
    /** Like crash(), but the endpoint's entry stays in the directory until its successor registers. */
    void crashUnnoticed(std::size_t endpoint);
    /** Starts a new process at the address of a crashed endpoint. It registers after @p registerAfter. */
    void restart(std::size_t endpoint, time_span registerAfter);
    void restart(std::size_t endpoint, time_span registerAfter, bool keepId);
    void setUnreachable(std::size_t endpoint, bool unreachable);
    void setDraining(std::size_t endpoint);
    void setEvacuated(std::size_t endpoint, bool evacuated);
    /** The endpoint applies grants, but writes a copy of an earlier answer instead of its own. */
    void setCopiedAnswer(std::size_t endpoint, order_outcome answer);
    /** Replaces the assigner. The old one continues for some time without knowing. */
    void replaceAssigner();
    void setStoreUnavailable(bool unavailable);

private:
    struct held_key {
        std::uint64_t seenToken = 0;
        std::uint64_t token = 0;
        monotonic_time until{};
    };
    struct process {
        endpoint_incarnation incarnation;
        bool up = true;
        bool unreachable = false;
        bool draining = false;
        std::optional<monotonic_time> evacuatedSince;
        std::optional<order_outcome> copiedAnswer;
        double clockRate = 1;
        std::vector<held_key> keys;
        monotonic_time stateSince{};
        std::optional<endpoint_incarnation> listedIncarnation;
    };
    /** A connection of an assigner to a process. */
    struct connection {
        connection_number number;
        std::uint64_t startedAtMs = 0;
    };
    /** Highest token with which an incarnation accepted a key. */
    struct accepted_token {
        std::uint64_t token = 0;
        endpoint_incarnation incarnation;
    };
    struct assigner_process {
        std::unique_ptr<key_assigner> assigner;
        std::uint64_t epoch = 0;
        monotonic_time confirmed{};
        monotonic_time suspendedUntil{};
        bool leads = true;
        ownership_record_writer writer;
        std::map<endpoint_incarnation, connection> connections;
    };
    using task = std::function<void()>;

    void schedule(monotonic_time when, task what);
    void step();
    void act(assigner_process &subject);
    void perform(assigner_process &subject, const assigner_action &action);
    void trace(const log_decision &note) const;
    void write(assigner_process &subject, const write_record &action);
    /** Chooses the connection of a grant; if there is none, reports the outcome and returns nullptr. */
    const connection *connectionFor(assigner_process &subject, const send_grant &grant);
    void sendGrant(assigner_process &subject, const send_grant &grant);
    void sendRelease(assigner_process &subject, const send_release &release);
    /** Applies an order at the process that @p startedAtMs names, and reports the outcome, or applies it late and reports none. */
    void deliver(assigner_process &subject,
                 order_id id,
                 const network_address &address,
                 std::uint64_t startedAtMs,
                 connection_number number,
                 std::function<order_outcome(process &target, monotonic_time arrival)> execute);
    void report(assigner_process &subject, order_id id, order_reply reply, time_span after);
    order_outcome apply(process &target, key_range keys, std::uint64_t token, std::optional<time_span> length, monotonic_time arrival);
    void publishDirectory();
    void checkInvariants();
    void checkToken(const process &target, std::size_t key, std::uint64_t token);
    void injectFault();
    void loseLeadership(assigner_process &subject);
    process *processAt(const network_address &address);
    bool chance(double probability);
    time_span randomSpan(time_span least, time_span most);

    simulation_options m_options;
    std::mt19937_64 m_random;
    monotonic_time m_now{ std::chrono::seconds(100) };
    std::multimap<monotonic_time, task> m_tasks;
    std::vector<process> m_processes;
    std::vector<std::unique_ptr<assigner_process>> m_assigners;
    std::optional<ownership_record> m_stored;
    /** Ownership as readers of the store see it. */
    ownership_view m_view;
    std::uint64_t m_storeEpoch = 0;
    bool m_storeUnavailable = false;
    std::uint64_t m_lastConnection = 0;
    std::uint64_t m_lastStartedAtMs = 0;
    monotonic_time m_nextFault{};
    std::vector<std::string> m_violations;
    std::vector<accepted_token> m_acceptedTokens;
    std::vector<monotonic_time> m_lastServed;
    time_span m_longestUnserved{};
};

} // namespace sycamoretray
