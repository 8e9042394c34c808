#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sycamoretray::model
{

/**
 * The ownership rules of docs/design.md, section 6. Each can be omitted to show that the exploration finds the resulting
 * violation. d is the drift margin, D the length of a lease and E the maximum age of evidence.
 */
struct ownership_rules {
    /** A claimant needs more than half of the confirmers, not one fewer. */
    bool majorityOverlap = true;
    /** The claimant waits E + D + 2d after a majority has applied its claim. */
    bool wait = true;
    /** confirmers_settled needs reports from more than half of the previous set. */
    bool settledNeedsMajority = true;
    /** While a change is pending, majorities of both the old and the new set are required; without the rule, only of the new set. */
    bool bothMajoritiesWhilePending = true;
    /** The age of evidence counts from the time when the probe was sent or the read was started, not from the receipt of the answer. */
    bool ageFromSend = true;
    /** A reply from a confirmer that has applied more records than the home does not count as evidence. */
    bool replyMustNotBeAhead = true;
    /** The lease counts from the challenge, not from the arrival of the grant. */
    bool leaseFromChallenge = true;
    /** A log read shows every record that was appended before the read was started (assumption about the log service). */
    bool readsNotStale = true;
    /** Units of d by which the wait of the claimant is shortened; 1 shows that the bound is tight. */
    std::uint32_t waitShortenedBy = 0;
};

/** Participants of an exploration. Instances are numbered from 0; the confirmers come first. */
struct ownership_scenario {
    std::uint32_t confirmers = 3;
    /** The old home; from confirmers + 1 on, the number is that of an instance that never becomes a confirmer. */
    std::uint32_t home = 0;
    std::uint32_t claimant = 1;
    /** Number of changes of the set of confirmers; the changes add instance number `confirmers` and remove instance `removed`. */
    std::uint32_t changes = 2;
    std::uint32_t removed = 0;
    /** Order of the two changes. */
    bool addFirst = true;
};

struct exploration_result {
    std::uint64_t states = 0;
    bool violation = false;
    /** A shortest sequence of steps that leads to the violation, in order. */
    std::vector<std::string> steps;
};

/**
 * Explores all interleavings breadth-first and searches for a state in which the claimant may give the slot to another server
 * although the lease of the first server has not expired.
 *
 * The unit of time is d; E = D = 2 d on the claimant's clock. The clocks of the old home and of the server lose d per D, which is
 * the worst case for a lease. A pause, a lost message, a partition and a log outage are
 * modelled as sequences in which the corresponding step is not taken. docs/ownership-model.md says which steps are merged and why.
 *
 * Thread safety: thread-safe.
 */
exploration_result exploreOwnership(const ownership_scenario &scenario, const ownership_rules &rules);

} // namespace sycamoretray::model
