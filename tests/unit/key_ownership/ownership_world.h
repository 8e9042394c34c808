#pragma once

#include "key_ownership/key_assigner.h"
#include "key_ownership/ownership_view.h"

#include <cstdint>
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

struct world_options {
    std::uint64_t seed = 1;
    std::size_t endpoints = 6;
    /** Faults are injected with this mean interval. */
    time_span faultInterval = std::chrono::milliseconds(700);
    bool faults = true;
    /** Prints decisions to the standard error stream, to trace a seed. */
    bool trace = false;
};

/**
 * Endpoints, a store and up to two assigners in virtual time, with faults between them.
 *
 * Endpoints keep grants on clocks that run up to 2 % slow, apply unanswered orders up to 12 s late, crash, come back as other
 * lives at the same address, and are cut off. Assigners are frozen, replaced and cut off from the store.
 */
class ownership_world
{
public:
    explicit ownership_world(world_options options);
    ~ownership_world();

    void run(time_span duration);

    /** Stops faults and lets everything recover. */
    void calm();

    /** Moments at which two endpoints held one of the watched keys. */
    const std::vector<std::string> &violations() const noexcept
    {
        return m_violations;
    }

    /** Watched keys that an endpoint holds now. */
    std::size_t servedKeys() const;
    static std::size_t watchedKeys();

    /** Longest time for which a watched key was held by nobody, between the first assignment and now. */
    time_span longestUnserved() const noexcept
    {
        return m_longestUnserved;
    }

    // Faults for tests that choose them.
    void crash(std::size_t endpoint);
    /** Another process starts at the address of a crashed endpoint; it registers after @p registerAfter. */
    void restart(std::size_t endpoint, time_span registerAfter);
    void setCut(std::size_t endpoint, bool cut);
    void setDraining(std::size_t endpoint);
    /** The assigner is replaced; the old one goes on without knowing it. */
    void replaceAssigner();
    void setStoreAway(bool away);

private:
    struct held_key {
        std::uint64_t seenToken = 0;
        std::uint64_t token = 0;
        monotonic_time until{};
    };
    struct process {
        endpoint_life life;
        bool up = true;
        bool cut = false;
        bool draining = false;
        bool connected = false;
        double clockRate = 1;
        std::vector<held_key> keys;
        monotonic_time stateSince{};
        std::optional<endpoint_life> listedLife;
    };
    struct assigner_process {
        std::unique_ptr<key_assigner> assigner;
        std::uint64_t epoch = 0;
        monotonic_time confirmed{};
        monotonic_time frozenUntil{};
        bool leads = true;
        ownership_record_writer writer;
    };
    using task = std::function<void()>;

    void at(monotonic_time when, task what);
    void step();
    void act(assigner_process &subject);
    void perform(assigner_process &subject, const assigner_action &action);
    void trace(const note_decision &note) const;
    void write(assigner_process &subject, const write_record &action);
    void order(assigner_process &subject, order_id id, const endpoint_life &target, key_range keys, std::uint64_t token, std::optional<time_span> length);
    order_outcome apply(process &target, key_range keys, std::uint64_t token, std::optional<time_span> length, monotonic_time arrival);
    void publishDirectory();
    void check();
    void injectFault();
    void loseLeadership(assigner_process &subject);
    process *at(const network_address &address);
    bool chance(double probability);
    time_span between(time_span least, time_span most);

    world_options m_options;
    std::mt19937_64 m_random;
    monotonic_time m_now{ std::chrono::seconds(100) };
    std::multimap<monotonic_time, task> m_tasks;
    std::vector<process> m_processes;
    std::vector<std::unique_ptr<assigner_process>> m_assigners;
    std::optional<ownership_record> m_stored;
    /** What the store passes on to readers. */
    ownership_view m_view;
    std::uint64_t m_storeEpoch = 0;
    bool m_storeAway = false;
    std::uint64_t m_lives = 0;
    monotonic_time m_nextFault{};
    std::vector<std::string> m_violations;
    std::vector<monotonic_time> m_lastServed;
    time_span m_longestUnserved{};
};

} // namespace sycamoretray
