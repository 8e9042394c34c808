#include "key_ownership/role_eligibility.h"

#include <criterion/criterion.h>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

constexpr monotonic_time start{ 100s };

/** Updates @p role every 40 ms until @p end, and returns how often its decisions changed. */
int update(role_eligibility &role, bool assignerKnown, monotonic_time &now, monotonic_time end)
{
    int changes = 0;
    for (; now < end; now += 40ms) {
        const bool assigned = role.mayAssign();
        const bool relayed = role.mayRelay();
        role.update(assignerKnown, now);
        changes += (assigned != role.mayAssign() ? 1 : 0) + (relayed != role.mayRelay() ? 1 : 0);
    }
    return changes;
}

} // namespace

Test(role_eligibility, instance_that_is_not_isolated_takes_any_role)
{
    role_eligibility role;
    role.update(false, start);
    cr_expect(role.mayAssign());
    cr_expect(role.mayRelay());
}

// Guards against a zone whose relay changes although the assigner has a successor.
Test(role_eligibility, isolated_relay_stays_while_another_instance_assigns)
{
    role_eligibility role;
    role.setIsolated(true, start);
    cr_expect_not(role.mayAssign());
    monotonic_time now = start;
    update(role, false, now, start + 300ms);
    cr_expect(role.mayRelay());
    cr_expect_eq(update(role, true, now, start + 10s), 0);
    cr_expect(role.mayRelay());
    cr_expect_not(role.mayAssign());
}

// Guards against keys that nobody assigns, because all relays are isolated and stay relays.
Test(role_eligibility, isolated_relay_stands_aside_if_nobody_assigns)
{
    role_eligibility role;
    role.setIsolated(true, start);
    monotonic_time now = start;
    update(role, false, now, start + 500ms);
    cr_expect_not(role.mayRelay());
}

// Guards against a zone in which each instance reads the store itself, because all of them are isolated.
Test(role_eligibility, isolated_relay_takes_part_again_if_nobody_took_over)
{
    role_eligibility role;
    role.setIsolated(true, start);
    monotonic_time now = start;
    update(role, false, now, start + 3s);
    cr_expect(role.mayRelay());
    cr_expect_not(role.mayAssign());
    cr_expect_eq(update(role, false, now, start + 60s), 0, "it does not stand aside again and again");
}

// Guards against a relay that does not stand aside when the successor of the assigner becomes isolated as well.
Test(role_eligibility, isolated_relay_stands_aside_when_the_next_assigner_resigns_too)
{
    role_eligibility role;
    role.setIsolated(true, start);
    monotonic_time now = start;
    update(role, false, now, start + 3s);
    update(role, true, now, start + 5s);
    update(role, false, now, start + 5500ms);
    cr_expect_not(role.mayRelay());
}

// Guards against keys that stay unassigned after all instances were isolated.
Test(role_eligibility, stands_for_assigner_at_once_if_nobody_assigns)
{
    role_eligibility role;
    role.setIsolated(true, start);
    monotonic_time now = start;
    update(role, false, now, start + 5s);
    role.setIsolated(false, now);
    role.update(false, now);
    cr_expect(role.mayAssign());
    cr_expect_eq(update(role, true, now, now + 10s), 0, "it stays eligible when it is the assigner");
}

// Guards against an instance that changes the group of the assigner each time its path is interrupted.
Test(role_eligibility, unstable_path_does_not_change_the_group)
{
    role_eligibility role;
    monotonic_time now = start;
    int changes = 0;
    role.setIsolated(true, now);
    for (int i = 0; i < 20; ++i) {
        changes += update(role, true, now, now + 300ms);
        role.setIsolated(false, now);
        changes += update(role, true, now, now + 1s);
        role.setIsolated(true, now);
    }
    cr_expect_eq(changes, 0);
    role.setIsolated(false, now);
    update(role, true, now, now + 2100ms);
    cr_expect(role.mayAssign());
}
