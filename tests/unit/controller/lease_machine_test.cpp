#include "controller/lease_machine.h"

#include <criterion/criterion.h>

using namespace sycamoretray;

// Guards against a grant while another lease may be in force.
Test(lease_machine, unsafe_contact_waits_before_it_grants)
{
    lease_machine machine(true);
    cr_expect(machine.phase() == lease_phase::contacting);
    machine.process(lease_event::contact_unsafe);
    cr_expect(machine.phase() == lease_phase::waiting);
    machine.process(lease_event::contact_safe);
    cr_expect(machine.phase() == lease_phase::waiting);
    machine.process(lease_event::wait_over);
    cr_expect(machine.phase() == lease_phase::granting);
    machine.process(lease_event::boot_changed);
    cr_expect(machine.phase() == lease_phase::waiting);
}

// Guards against renewals while server_lost is on its way, and against a return without a new server_up.
Test(lease_machine, lost_server_grants_again_only_when_marked_up)
{
    lease_machine machine(true);
    machine.process(lease_event::contact_safe);
    machine.process(lease_event::loss_decided);
    cr_expect(machine.phase() == lease_phase::declared_lost);
    machine.process(lease_event::contact_safe);
    cr_expect(machine.phase() == lease_phase::declared_lost);
    machine.process(lease_event::marked_lost);
    cr_expect(machine.phase() == lease_phase::down);
    machine.process(lease_event::contact_safe);
    cr_expect(machine.phase() == lease_phase::down);
    machine.process(lease_event::marked_up);
    cr_expect(machine.phase() == lease_phase::granting);
}
