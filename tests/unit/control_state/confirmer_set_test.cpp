#include "control_state/confirmer_set.h"

#include <criterion/criterion.h>

using namespace sycamoretray;

// Guards against two majorities without a common member while a change is pending.
Test(confirmer_set, majority_of_both_sets_is_needed_while_a_change_is_pending)
{
    confirmer_set set;
    std::uint64_t number = 0;
    for (const char *name : { "a", "b", "c" }) {
        ++number;
        cr_assert(set.change(number, incarnation_id(name), true, log_offset(number)));
        cr_assert(set.settle(number));
    }
    cr_assert(set.change(4, incarnation_id("d"), true, log_offset(9)));
    cr_expect_not(set.change(5, incarnation_id("e"), true, log_offset(10)), "two changes at once");
    const auto isOneOf = [](const std::set<std::string> &names) {
        return [names](const incarnation_id &incarnation) {
            return names.contains(incarnation.value());
        };
    };
    cr_expect_not(set.hasMajority(isOneOf({ "a", "d" })));
    cr_expect_not(set.hasMajority(isOneOf({ "a", "b" })));
    cr_expect(set.hasMajority(isOneOf({ "a", "b", "d" })));
    cr_expect_not(set.settle(3));
    cr_expect(set.settle(4));
    cr_expect_not(set.hasMajority(isOneOf({ "a", "d" })));
}

// Guards against an empty set, which could never confirm anything, and against an empty set that counts as a majority.
Test(confirmer_set, last_member_cannot_be_removed_and_empty_set_has_no_majority)
{
    confirmer_set set;
    cr_expect_not(set.hasMajority([](const incarnation_id &) {
        return true;
    }));
    cr_assert(set.change(1, incarnation_id("a"), true, log_offset(1)));
    cr_assert(set.settle(1));
    cr_expect_not(set.change(2, incarnation_id("a"), false, log_offset(2)));
}
