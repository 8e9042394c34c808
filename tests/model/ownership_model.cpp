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
constexpr std::uint32_t none = 7;
constexpr std::uint32_t notWaiting = 15;
// In units of d, on the claimant's clock.
constexpr std::uint32_t evidenceAge = 2;
constexpr std::uint32_t leaseLength = 2;
constexpr std::uint32_t evidenceAgeOnSlowClock = evidenceAge + 1;
constexpr std::uint32_t leaseOnSlowClock = leaseLength + 1;
constexpr std::uint32_t fullWait = evidenceAge + leaseLength + 2;

struct model_state {
    /** Records confirmers_changed 1, confirmers_settled 1, confirmers_changed 2, confirmers_settled 2 in the log so far. */
    std::uint32_t chain = 0;
    /** Index of home_claimed in the log, or none. */
    std::uint32_t claim = none;
    /** Number of records that each instance has applied. */
    std::array<std::uint32_t, maxInstances> position{};
    /** Age of the old home's current round of probes, or none. */
    std::uint32_t roundAge = none;
    std::uint32_t replied = 0;
    /** Age of the old home's log read in flight, or none, and the end of the log that it will show. */
    std::uint32_t readAge = none;
    std::uint32_t readEnd = 0;
    /** Age of the old home's newest evidence, or none. */
    std::uint32_t evidence = none;
    /** Age of the grant in flight to the server, or none. */
    std::uint32_t grantAge = none;
    /** Time until the server's lease lapses. */
    std::uint32_t lease = 0;
    /** Time until the claimant may give the slot away, or notWaiting. */
    std::uint32_t wait = notWaiting;

    std::uint32_t logEnd() const
    {
        return chain + (claim == none ? 0 : 1);
    }

    /** Number of chain records that @p instance has applied. */
    std::uint32_t appliedChain(std::uint32_t instance) const
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
    add(s.chain, 3);
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
    take(s.chain, 3);
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

    /** Calls @p visit with the name and the state of every step that is possible in @p s. */
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
                visit(i == m_scenario.home ? "old home applies a record" : "an instance applies a record", homeStopped(next));
            }
        }
        if (s.claim == none) {
            model_state next = s;
            next.claim = s.logEnd();
            visit("home_claimed is appended", next);
        }
        if (s.chain < 2 * m_scenario.changes && mayAppendChain(s)) {
            model_state next = s;
            next.chain += 1;
            visit(s.chain % 2 == 0 ? "confirmers_changed is appended" : "confirmers_settled is appended", next);
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
        std::uint32_t past = 0;
        for (std::uint32_t i = 0; i < m_instances; ++i) {
            past |= s.knowsClaim(i) ? 1U << i : 0U;
        }
        if (hasMajority(past, s.appliedChain(m_scenario.claimant), m_rules.majorityOverlap)) {
            model_state next = s;
            next.wait = m_rules.wait ? fullWait - m_rules.waitShortenedBy : 0;
            visit("the claimant has its majority and starts to wait", next);
        }
    }

    model_state afterTick(model_state s) const
    {
        // Without the rule, a round stays usable however late its replies come.
        const std::uint32_t ageLimit = evidenceAgeOnSlowClock;
        const auto older = [](std::uint32_t age, std::uint32_t limit, bool keep) {
            return age == none ? none : age < limit ? age + 1 : keep ? limit : none;
        };
        s.roundAge = older(s.roundAge, ageLimit, !m_rules.ageFromSend);
        s.replied = s.roundAge == none ? 0 : s.replied;
        s.readAge = older(s.readAge, ageLimit, !m_rules.ageFromSend);
        s.readEnd = s.readAge == none ? 0 : s.readEnd;
        s.evidence = older(s.evidence, ageLimit, false);
        s.grantAge = older(s.grantAge, leaseOnSlowClock, !m_rules.leaseFromChallenge);
        s.lease -= s.lease > 0 ? 1 : 0;
        s.wait -= s.wait != notWaiting && s.wait > 0 ? 1 : 0;
        return s;
    }

    model_state withRoundEvidence(model_state s) const
    {
        if (hasMajority(s.replied, s.appliedChain(m_scenario.home), true)) {
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
        return homeStopped(s);
    }

    /** An old home that knows of the claim sends no more grants. */
    model_state homeStopped(model_state s) const
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

    bool mayAppendChain(const model_state &s) const
    {
        if (s.chain % 2 == 0 || !m_rules.settledNeedsMajority) {
            return true;
        }
        const std::uint32_t change = s.chain / 2;
        std::uint32_t past = 0;
        for (std::uint32_t i = 0; i < m_instances; ++i) {
            past |= s.appliedChain(i) >= s.chain ? 1U << i : 0U;
        }
        return isMajority(past, m_sets[change], true);
    }

    /** @p chain tells which sets count for an instance that has applied so many chain records. */
    bool hasMajority(std::uint32_t members, std::uint32_t chain, bool strict) const
    {
        const std::uint32_t current = chain / 2;
        if (chain % 2 == 0) {
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

std::vector<std::string> stepsTo(const step_generator &generator, const packed_state_set &seen, std::size_t index)
{
    std::vector<std::string> steps;
    while (index != 0) {
        const packed_state_set::entry &entry = seen.at(index);
        const char *name = "";
        generator.forEachStep(unpack(seen.at(entry.predecessor).state), [&](const char *step, const model_state &next) {
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
    packed_state_set seen;
    seen.insert(pack(model_state{}), 0);
    exploration_result result;
    for (std::size_t i = 0; i < seen.size(); ++i) {
        const model_state current = unpack(seen.at(i).state);
        if (current.wait == 0 && current.lease > 0) {
            result.violation = true;
            result.steps = stepsTo(generator, seen, i);
            break;
        }
        generator.forEachStep(current, [&seen, i](const char *, const model_state &next) {
            seen.insert(pack(next), static_cast<std::uint32_t>(i));
        });
    }
    result.states = seen.size();
    return result;
}

} // namespace sycamoretray::model
