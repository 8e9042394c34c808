#include "exploration.h"
#include "ownership_checker.h"

#include <criterion/criterion.h>

using namespace sycamoretray;
using namespace sycamoretray::harness;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t seedsPerRun = 12;

send_lease leaseRequest(const fake_server &server, std::uint64_t term, const std::string &challenge)
{
    send_lease request;
    request.server = server.server();
    request.term = home_term(term);
    request.challenge = challenge;
    request.length = 400ms;
    request.ownershipVersion = 1;
    auto ownership = std::make_shared<ownership_set>();
    ownership->version = 1;
    ownership->slots = { hash_slot(7) };
    request.ownership = ownership;
    return request;
}

} // namespace

// Guards against a checker that misses two servers with unexpired leases for the same slot.
Test(ownership_checker, reports_overlapping_leases)
{
    ownership_checker checker;
    const auto first = std::make_shared<fake_server>(server_id("t.tracking/a"), "a@1", drifting_clock());
    const auto second = std::make_shared<fake_server>(server_id("t.tracking/b"), "b@1", drifting_clock());
    checker.addProcess(first, true);
    checker.addProcess(second, true);
    const monotonic_time start(10s);
    const std::string firstChallenge = first->handleLease(leaseRequest(*first, 5, ""), start).challenge;
    const std::string secondChallenge = second->handleLease(leaseRequest(*second, 6, ""), start + 100ms).challenge;
    first->handleLease(leaseRequest(*first, 5, firstChallenge), start + 10ms);
    checker.leaseHandled(*first, start + 10ms);
    cr_expect(checker.violations().empty());
    second->handleLease(leaseRequest(*second, 6, secondChallenge), start + 399ms);
    checker.leaseHandled(*second, start + 399ms);
    cr_expect_eq(checker.violations().size(), 1);
    // The first lease is counted from its challenge and has expired.
    second->handleLease(leaseRequest(*second, 6, secondChallenge), start + 401ms);
    checker.leaseHandled(*second, start + 401ms);
    cr_expect_eq(checker.violations().size(), 1);
}

// Guards against a checker that accepts a configuration that reverts to an older one, or one whose publication was refused.
Test(ownership_checker, reports_reverted_and_refused_configuration)
{
    ownership_checker checker;
    checker.publishAttempted(1000, 0);
    checker.publishAnswered(1000, operator_answer::published, 5, monotonic_time(1s));
    checker.publishAttempted(1001, 5);
    checker.publishAnswered(1001, operator_answer::published, 9, monotonic_time(2s));
    checker.configurationInForce("i1#1", 1000, monotonic_time(1s));
    checker.configurationInForce("i1#1", 1001, monotonic_time(2s));
    cr_expect(checker.violations().empty());
    checker.configurationInForce("i1#1", 1000, monotonic_time(3s));
    cr_expect_eq(checker.violations().size(), 1);
    checker.checkFinalConfiguration("i2#1", 1000, monotonic_time(4s));
    cr_expect_eq(checker.violations().size(), 2);
    checker.publishAttempted(1002, 9);
    checker.publishAnswered(1002, operator_answer::refused, 9, monotonic_time(5s));
    checker.configurationInForce("i1#1", 1002, monotonic_time(6s));
    cr_expect_eq(checker.violations().size(), 3);
}

// Guards against sequences of tolerated faults that give a key two owners, lose an acknowledged record or leave keys unserved.
Test(ownership_harness, invariants_hold_under_random_faults)
{
    for (std::uint64_t seed = 1; seed <= seedsPerRun; ++seed) {
        const seed_result result = exploreSeed(seed, {}, {});
        for (const std::string &violation : result.violations) {
            cr_expect(false, "seed %lu: %s", static_cast<unsigned long>(seed), violation.c_str());
        }
    }
}

// Guards against a checker that never fails: leases without a drift margin, and a takeover without its wait, give a key two owners.
Test(ownership_harness, deliberate_defects_are_detected)
{
    cr_expect_not(exploreSeed(5, faultNamed("no_drift_margin"), {}).violations.empty());
    cr_expect_not(exploreSeed(12, faultNamed("takeover_without_wait"), {}).violations.empty());
}
