#include "ownership_model.h"

#include "packed_state_set.h"

#include <algorithm>
#include <array>
#include <bit>

namespace sycamoretray::model
{
namespace
{

constexpr std::uint32_t maxInstances = 7;
/** Highest value of a 3-bit field; marks a value that is not set. */
constexpr std::uint32_t none = 7;
/** Highest value of the 4-bit field model_state::wait. */
constexpr std::uint32_t notWaiting = 15;
// Times in units of the drift margin d, on the claimant's clock.
constexpr std::uint32_t evidenceAge = 2;
constexpr std::uint32_t leaseLength = 2;
constexpr std::uint32_t evidenceAgeOnSlowClock = evidenceAge + 1;
constexpr std::uint32_t leaseOnSlowClock = leaseLength + 1;
constexpr std::uint32_t fullWait = evidenceAge + leaseLength + 2;

struct model_state {
    /** Number of records in the log that change the confirmers: confirmers_changed, confirmers_settled, and both again. */
    std::uint32_t confirmerRecords = 0;
    /** Index of home_claimed in the log, or none. */
    std::uint32_t claim = none;
    /** Number of records that each instance has applied. */
    std::array<std::uint32_t, maxInstances> position{};
    /** Age of the old home's current round of probes, or none. */
    std::uint32_t roundAge = none;
    /** Bit set of the instances that replied in this round. */
    std::uint32_t replied = 0;
    /** Age of the old home's log read in flight, or none. */
    std::uint32_t readAge = none;
    /** End of the log that this read will return. */
    std::uint32_t readEnd = 0;
    /** Age of the old home's newest evidence, or none. */
    std::uint32_t evidence = none;
    /** Age of the grant in flight to the server, or none. */
    std::uint32_t grantAge = none;
    /** Time until the server's lease expires. */
    std::uint32_t lease = 0;
    /** Time until the claimant may give the slot to another server, or notWaiting. */
    std::uint32_t wait = notWaiting;

    std::uint32_t logEnd() const
    {
        return confirmerRecords + (claim == none ? 0 : 1);
    }

    /** Number of records about the confirmers that @p instance has applied. */
    std::uint32_t appliedConfirmerRecords(std::uint32_t instance) const
    {
        return position[instance] - (knowsClaim(instance) ? 1 : 0);
    }

    bool knowsClaim(std::uint32_t instance) const
    {
        return claim != none && claim < position[instance];
    }
};

std::uint64_t pack(const model_state &s)
{
    std::uint64_t bits = 0;
    const auto add = [&bits](std::uint32_t value, unsigned width) {
        bits = (bits << width) | value;
    };
    add(s.confirmerRecords, 3);
    add(s.claim, 3);
    for (const std::uint32_t p : s.position) {
        add(p, 3);
    }
    add(s.roundAge, 3);
    add(s.replied, maxInstances);
    add(s.readAge, 3);
    add(s.readEnd, 3);
    add(s.evidence, 3);
    add(s.grantAge, 3);
    add(s.lease, 3);
    add(s.wait, 4);
    return bits;
}

model_state unpack(std::uint64_t bits)
{
    model_state s;
    const auto take = [&bits](std::uint32_t &value, unsigned width) {
        value = static_cast<std::uint32_t>(bits & ((1ULL << width) - 1));
        bits >>= width;
    };
    take(s.wait, 4);
    take(s.lease, 3);
    take(s.grantAge, 3);
    take(s.evidence, 3);
    take(s.readEnd, 3);
    take(s.readAge, 3);
    take(s.replied, maxInstances);
    take(s.roundAge, 3);
    for (auto p = s.position.rbegin(); p != s.position.rend(); ++p) {
        take(*p, 3);
    }
    take(s.claim, 3);
    take(s.confirmerRecords, 3);
    return s;
}

/** Generates the successors of a state. */
class step_generator
{
public:
    step_generator(const ownership_scenario &scenario, const ownership_rules &rules)
        : m_scenario(scenario)
        , m_rules(rules)
        , m_instances(std::max({ scenario.confirmers + (scenario.changes > 0 ? 1 : 0), scenario.home + 1, scenario.claimant + 1 }))
    {
        const std::uint32_t base = (1U << scenario.confirmers) - 1;
        const std::uint32_t added = 1U << scenario.confirmers;
        const std::uint32_t without = ~(1U << scenario.removed);
        const std::uint32_t first = scenario.addFirst ? base | added : base & without;
        m_sets = { base, first, (base | added) & without };
    }

    /** Calls @p visit with the name and the resulting state of every step that is possible in @p s. */
    template<class Visit>
    void forEachStep(const model_state &s, Visit visit) const
    {
        visitTimeAndLog(s, visit);
        if (!s.knowsClaim(m_scenario.home)) {
            visitEvidence(s, visit);
        }
        visitGrantArrival(s, visit);
        visitWait(s, visit);
    }

private:
    template<class Visit>
    void visitTimeAndLog(const model_state &s, Visit &visit) const
    {
        visit("time advances by d", afterTick(s));
        for (std::uint32_t i = 0; i < m_instances; ++i) {
            if (s.position[i] < s.logEnd()) {
                model_state next = s;
                next.position[i] += 1;
                visit(i == m_scenario.home ? "old home applies a record" : "an instance applies a record", withHomeStopped(next));
            }
        }
        if (s.claim == none) {
            model_state next = s;
            next.claim = s.logEnd();
            visit("home_claimed is appended", next);
        }
        if (s.confirmerRecords < 2 * m_scenario.changes && mayAppendConfirmerRecord(s)) {
            model_state next = s;
            next.confirmerRecords += 1;
            visit(s.confirmerRecords % 2 == 0 ? "confirmers_changed is appended" : "confirmers_settled is appended", next);
        }
    }

    template<class Visit>
    void visitEvidence(const model_state &s, Visit &visit) const
    {
        model_state round = s;
        round.roundAge = 0;
        round.replied = 1U << m_scenario.home;
        round.readAge = none;
        round.readEnd = 0;
        visit("old home sends probes", withRoundEvidence(round));
        visitReplies(s, visit);
        for (std::uint32_t end = m_rules.readsNotStale ? s.logEnd() : 0; end <= s.logEnd(); ++end) {
            model_state read = s;
            read.roundAge = none;
            read.replied = 0;
            read.readAge = 0;
            read.readEnd = end;
            visit("old home starts a log read", read);
        }
        if (s.readAge != none) {
            visit("the log read ends", afterRead(s));
        }
        if (s.evidence != none) {
            model_state grant = s;
            grant.grantAge = 0;
            visit("old home checks its evidence and sends a grant", grant);
        }
    }

    template<class Visit>
    void visitReplies(const model_state &s, Visit &visit) const
    {
        for (std::uint32_t i = 0; s.roundAge != none && i < m_instances; ++i) {
            const bool mayCount = !m_rules.replyMustNotBeAhead || s.position[i] <= s.position[m_scenario.home];
            if ((s.replied & (1U << i)) == 0 && mayCount) {
                model_state next = s;
                next.replied |= 1U << i;
                visit("a confirmer replies to the old home", withRoundEvidence(next));
            }
        }
    }

    template<class Visit>
    void visitGrantArrival(const model_state &s, Visit &visit) const
    {
        if (s.grantAge != none) {
            model_state next = s;
            const std::uint32_t age = m_rules.leaseFromChallenge ? s.grantAge : 0;
            next.lease = std::max(s.lease, leaseOnSlowClock - std::min(age, leaseOnSlowClock));
            next.grantAge = none;
            visit("the grant reaches the server", next);
        }
    }

    template<class Visit>
    void visitWait(const model_state &s, Visit &visit) const
    {
        if (s.wait != notWaiting || !s.knowsClaim(m_scenario.claimant)) {
            return;
        }
        std::uint32_t appliedBy = 0;
        for (std::uint32_t i = 0; i < m_instances; ++i) {
            appliedBy |= s.knowsClaim(i) ? 1U << i : 0U;
        }
        if (hasMajority(appliedBy, s.appliedConfirmerRecords(m_scenario.claimant), m_rules.majorityOverlap)) {
            model_state next = s;
            next.wait = m_rules.wait ? fullWait - m_rules.waitShortenedBy : 0;
            visit("the claimant has its majority and starts to wait", next);
        }
    }

    model_state afterTick(model_state s) const
    {
        // Without the rule ageFromSend, a round and a read stay usable regardless of their age.
        const std::uint32_t ageLimit = evidenceAgeOnSlowClock;
        const auto increasedAge = [](std::uint32_t age, std::uint32_t limit, bool keep) {
            return age == none ? none : age < limit ? age + 1 : keep ? limit : none;
        };
        s.roundAge = increasedAge(s.roundAge, ageLimit, !m_rules.ageFromSend);
        s.replied = s.roundAge == none ? 0 : s.replied;
        s.readAge = increasedAge(s.readAge, ageLimit, !m_rules.ageFromSend);
        s.readEnd = s.readAge == none ? 0 : s.readEnd;
        s.evidence = increasedAge(s.evidence, ageLimit, false);
        s.grantAge = increasedAge(s.grantAge, leaseOnSlowClock, !m_rules.leaseFromChallenge);
        s.lease -= s.lease > 0 ? 1 : 0;
        s.wait -= s.wait != notWaiting && s.wait > 0 ? 1 : 0;
        return s;
    }

    model_state withRoundEvidence(model_state s) const
    {
        if (hasMajority(s.replied, s.appliedConfirmerRecords(m_scenario.home), true)) {
            const std::uint32_t age = m_rules.ageFromSend ? s.roundAge : 0;
            s.evidence = s.evidence == none ? age : std::min(s.evidence, age);
        }
        return s;
    }

    model_state afterRead(model_state s) const
    {
        const std::uint32_t age = m_rules.ageFromSend ? s.readAge : 0;
        s.position[m_scenario.home] = std::max(s.position[m_scenario.home], s.readEnd);
        s.evidence = s.evidence == none ? age : std::min(s.evidence, age);
        s.readAge = none;
        s.readEnd = 0;
        return withHomeStopped(s);
    }

    /** Resets the evidence of an old home that knows of the claim, so that it sends no more grants. */
    model_state withHomeStopped(model_state s) const
    {
        if (s.knowsClaim(m_scenario.home)) {
            s.roundAge = none;
            s.replied = 0;
            s.readAge = none;
            s.readEnd = 0;
            s.evidence = none;
        }
        return s;
    }

    bool mayAppendConfirmerRecord(const model_state &s) const
    {
        if (s.confirmerRecords % 2 == 0 || !m_rules.settledNeedsMajority) {
            return true;
        }
        const std::uint32_t change = s.confirmerRecords / 2;
        std::uint32_t appliedBy = 0;
        for (std::uint32_t i = 0; i < m_instances; ++i) {
            appliedBy |= s.appliedConfirmerRecords(i) >= s.confirmerRecords ? 1U << i : 0U;
        }
        return isMajority(appliedBy, m_sets[change], true);
    }

    /**
     * Returns whether @p members has a majority of the sets that count for an instance which has applied @p confirmerRecords
     * records about the confirmers. Without @p strict, one member fewer is enough.
     */
    bool hasMajority(std::uint32_t members, std::uint32_t confirmerRecords, bool strict) const
    {
        const std::uint32_t current = confirmerRecords / 2;
        if (confirmerRecords % 2 == 0) {
            return isMajority(members, m_sets[current], strict);
        }
        return (!m_rules.bothMajoritiesWhilePending || isMajority(members, m_sets[current], strict)) && isMajority(members, m_sets[current + 1], strict);
    }

    static bool isMajority(std::uint32_t members, std::uint32_t set, bool strict)
    {
        return std::popcount(members & set) >= std::popcount(set) / 2 + (strict ? 1 : 0);
    }

    ownership_scenario m_scenario;
    ownership_rules m_rules;
    std::uint32_t m_instances;
    std::array<std::uint32_t, 3> m_sets{};
};

std::vector<std::string> stepsTo(const step_generator &generator, const packed_state_set &visited, std::size_t index)
{
    std::vector<std::string> steps;
    while (index != 0) {
        const packed_state_set::entry &entry = visited.at(index);
        const char *name = "";
        generator.forEachStep(unpack(visited.at(entry.predecessor).state), [&](const char *step, const model_state &next) {
            name = pack(next) == entry.state ? step : name;
        });
        steps.emplace_back(name);
        index = entry.predecessor;
    }
    std::reverse(steps.begin(), steps.end());
    return steps;
}

} // namespace

exploration_result exploreOwnership(const ownership_scenario &scenario, const ownership_rules &rules)
{
    const step_generator generator(scenario, rules);
    packed_state_set visited;
    visited.insert(pack(model_state{}), 0);
    exploration_result result;
    for (std::size_t i = 0; i < visited.size(); ++i) {
        const model_state current = unpack(visited.at(i).state);
        if (current.wait == 0 && current.lease > 0) {
            result.violation = true;
            result.steps = stepsTo(generator, visited, i);
            break;
        }
        generator.forEachStep(current, [&visited, i](const char *, const model_state &next) {
            visited.insert(pack(next), static_cast<std::uint32_t>(i));
        });
    }
    result.states = visited.size();
    return result;
}

} // namespace sycamoretray::model
