#include "control_state/slot_table.h"

#include <criterion/criterion.h>

#include <csignal>

using namespace sycamoretray;

// Guards against changed owners when a server is added or removed that precedes others in the sorted list.
Test(slot_table, servers_added_and_removed_do_not_change_owners)
{
    slot_table table;
    table.addServer(server_id("b"));
    table.addServer(server_id("d"));
    table.assign(hash_slot(1), server_id("b"), fencing_token(1));
    table.assign(hash_slot(2), server_id("d"), fencing_token(2));
    table.addServer(server_id("a"));
    table.addServer(server_id("c"));
    cr_expect(table.ownerOf(hash_slot(1)) == server_id("b"));
    cr_expect(table.ownerOf(hash_slot(2)) == server_id("d"));
    table.removeServer(server_id("a"));
    table.removeServer(server_id("c"));
    cr_expect(table.ownerOf(hash_slot(1)) == server_id("b"));
    cr_expect(table.ownerOf(hash_slot(2)) == server_id("d"));
    cr_expect(table.unownedCount() == hashSlotCount - 2);
}

// Guards against a fencing token that does not grow: a server could accept requests of an earlier owner.
Test(slot_table, token_that_does_not_grow_terminates, .signal = SIGABRT)
{
    slot_table table;
    table.addServer(server_id("a"));
    table.assign(hash_slot(1), server_id("a"), fencing_token(5));
    table.assign(hash_slot(1), server_id("a"), fencing_token(5));
}

// Guards against a corrupt snapshot that refers to slots or servers outside of the table.
Test(slot_table, inconsistent_encodings_are_refused)
{
    slot_table table;
    table.addServer(server_id("a"));
    table.assign(hash_slot(1), server_id("a"), fencing_token(5));
    pb::StateSnapshot::SlotTable encoded;
    table.encode(encoded);
    cr_expect(slot_table().decode(encoded));
    pb::StateSnapshot::SlotTable owner = encoded;
    owner.set_run_owners(1, 7);
    cr_expect_not(slot_table().decode(owner));
    pb::StateSnapshot::SlotTable length = encoded;
    length.set_run_lengths(2, 20000);
    cr_expect_not(slot_table().decode(length));
    pb::StateSnapshot::SlotTable missing = encoded;
    missing.mutable_run_tokens()->RemoveLast();
    cr_expect_not(slot_table().decode(missing));
}
