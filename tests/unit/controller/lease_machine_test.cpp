#include "controller/lease_machine.h"

#include <criterion/criterion.h>

using namespace sycamoretray;

// Guards against a grant while another lease may be in force.
Test(lease_machine, possible_other_lease_delays_grants)
{
    lease_machine machine(true);
    cr_expect(machine.phase() == lease_phase::contacting);
    machine.process(lease_event::other_lease_possible);
    cr_expect(machine.phase() == lease_phase::waiting);
    machine.process(lease_event::no_other_lease);
    cr_expect(machine.phase() == lease_phase::waiting);
    machine.process(lease_event::wait_over);
    cr_expect(machine.phase() == lease_phase::granting);
    machine.process(lease_event::boot_changed);
    cr_expect(machine.phase() == lease_phase::waiting);
}

// Guards against renewals while server_lost is queued for the log, and against grants to a lost server without a new server_up.
Test(lease_machine, lost_server_grants_again_only_when_marked_up)
{
    lease_machine machine(true);
    machine.process(lease_event::no_other_lease);
    machine.process(lease_event::loss_decided);
    cr_expect(machine.phase() == lease_phase::declared_lost);
    machine.process(lease_event::no_other_lease);
    cr_expect(machine.phase() == lease_phase::declared_lost);
    machine.process(lease_event::marked_lost);
    cr_expect(machine.phase() == lease_phase::down);
    machine.process(lease_event::no_other_lease);
    cr_expect(machine.phase() == lease_phase::down);
    machine.process(lease_event::marked_up);
    cr_expect(machine.phase() == lease_phase::granting);
}
