#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sycamoretray::model
{

/** The rules of docs/design.md, section 6. Each can be left out to show that the exploration finds the resulting violation. */
struct ownership_rules {
    /** A claimant needs more than half of the confirmers, not one fewer. */
    bool majorityOverlap = true;
    /** The claimant waits E + D + 2d after its majority. */
    bool wait = true;
    /** confirmers_settled needs reports from more than half of the previous set. */
    bool settledNeedsMajority = true;
    /** While a change is pending, the old and the new majority count; otherwise only the new one. */
    bool bothMajoritiesWhilePending = true;
    /** Evidence is dated from the time the probe was sent or the read was started, not from the receipt of the answer. */
    bool ageFromSend = true;
    /** A reply from a confirmer that is ahead does not count as evidence. */
    bool replyMustNotBeAhead = true;
    /** The lease counts from the challenge, not from the arrival of the grant. */
    bool leaseFromChallenge = true;
    /** A log read shows every record that was appended before the read was started (assumption about the log service). */
    bool readsNotStale = true;
    /** Taken off the wait of the claimant; 1 shows that the bound is tight. */
    std::uint32_t waitShortenedBy = 0;
};

/** Who takes part. Instances are numbered from 0; the confirmers are the first ones. */
struct ownership_scenario {
    std::uint32_t confirmers = 3;
    /** The old home; a number that is not below confirmers + 1 is an instance that is no confirmer. */
    std::uint32_t home = 0;
    std::uint32_t claimant = 1;
    /** Number of changes of the set; the changes add instance number `confirmers` and remove instance `removed`. */
    std::uint32_t changes = 2;
    std::uint32_t removed = 0;
    bool addFirst = true;
};

struct exploration_result {
    std::uint64_t states = 0;
    bool violation = false;
    /** Steps that lead to the violation, in order; a shortest such sequence. */
    std::vector<std::string> steps;
};

/**
 * Explores all interleavings breadth-first and looks for a state in which the claimant gives the slot to another server
 * while the lease of the first server has not lapsed.
 *
 * One unit of time is the drift margin d; E = D = 2 on the claimant's clock, and the clocks of the old home and of the server
 * are slow by d per D, which is the worst case for a lease. A pause, a lost message, a partition and a log outage are
 * sequences in which the corresponding step is not taken. docs/ownership-model.md says which steps are merged and why.
 *
 * Thread safety: thread-safe.
 */
exploration_result exploreOwnership(const ownership_scenario &scenario, const ownership_rules &rules);

} // namespace sycamoretray::model
