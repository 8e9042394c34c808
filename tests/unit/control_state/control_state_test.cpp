#include "control_state/replay_log.h"
#include "control_state/routing_builder.h"

#include <criterion/criterion.h>

#include <csignal>

using namespace sycamoretray;

namespace
{

replay_log logWithThreeServers()
{
    replay_log log;
    log.join("a#1");
    log.join("b#1");
    log.publish("a#1", 3);
    for (int i = 0; i < 3; ++i) {
        log.bringUp("a#1", i);
    }
    return log;
}

} // namespace

// Guards against two homes of one server: of two claims with the same previous term only the first in the log takes effect.
Test(control_state, second_claim_of_the_same_term_is_ignored)
{
    replay_log log = logWithThreeServers();
    const home_term previous = log.term(0);
    cr_expect(log.add("b#1", homeClaimedRecord(log.server(0), previous)).verdict == record_verdict::applied);
    cr_expect(log.add("a#1", homeClaimedRecord(log.server(0), previous)).verdict == record_verdict::ignored);
    cr_expect(log.state.servers().at(log.server(0)).home == incarnation_id("b#1"));
    cr_expect(log.state.servers().at(log.server(0)).previousTerm == previous);
    cr_expect(log.add("a#1", serverLostRecord(log.server(0), previous, {})).verdict == record_verdict::ignored);
}

// Guards against a retried append that takes effect twice, for example a drain that was cleared in between.
Test(control_state, second_copy_of_a_record_has_no_effect)
{
    replay_log log = logWithThreeServers();
    log.add("a#1", endpointDrainRecord(log.server(1), true, "op"));
    const std::string copy = log.records().back();
    log.add("b#1", endpointDrainRecord(log.server(1), false, "op"));
    cr_expect(log.addRaw(copy).verdict == record_verdict::duplicate);
    cr_expect_not(log.state.servers().at(log.server(1)).draining);
}

// Guards against a replay that stops at a record that it cannot decode, or applies such a record.
Test(control_state, corrupt_records_only_advance_the_position)
{
    replay_log log = logWithThreeServers();
    const std::uint64_t position = log.state.position().value();
    cr_expect(log.addRaw("\xff\xff\xff").verdict == record_verdict::corrupt);
    cr_expect(log.addRaw("").verdict == record_verdict::corrupt);
    std::string cut = log.records().front();
    cut.resize(cut.size() / 2);
    cr_expect(log.addRaw(cut).verdict != record_verdict::applied);
    cr_expect(log.state.position().value() == position + 3);
}

// Guards against slots without owner after a start, and against the loss of a server that moves the slots of others.
Test(control_state, first_server_gets_all_slots_and_its_loss_moves_only_those)
{
    replay_log log = logWithThreeServers();
    cr_expect(log.table().slotCount(log.server(0)) == hashSlotCount);
    const hash_slot slot(9);
    cr_expect(log.add("a#1", slotsMovedRecord(service_id("t.s"), log.server(0), log.term(0), log.server(1), { slot })).verdict == record_verdict::applied);
    const fencing_token token = log.table().tokenOf(slot);
    log.add("a#1", serverLostRecord(log.server(0), log.term(0), { log.server(2) }));
    cr_expect(log.table().tokenOf(slot) == token);
    cr_expect(log.table().slotCount(log.server(1)) == hashSlotCount, "the server to avoid got slots although another was up");
    cr_expect(log.table().tokenOf(hash_slot(10)).value() == log.state.position().value() - 1);
}

// Guards against a move that takes slots from a server that no longer owns them.
Test(control_state, moves_need_current_owner_term_and_receiver)
{
    replay_log log = logWithThreeServers();
    const service_id service("t.s");
    cr_expect(log.add("a#1", slotsMovedRecord(service, log.server(1), log.term(1), log.server(2), { hash_slot(1) })).verdict == record_verdict::ignored);
    cr_expect(log.add("b#1", slotsMovedRecord(service, log.server(0), log.term(0), log.server(1), { hash_slot(1) })).verdict == record_verdict::ignored);
    cr_expect(log.add("a#1", keyMovedRecord(service, "k", log.server(0), log.term(0), log.server(1))).verdict == record_verdict::applied);
    cr_expect(log.table().ownerOfKey("k") == log.server(1));
    cr_expect(log.add("a#1", keyMovedRecord(service, "k", log.server(0), log.term(0), log.server(2))).verdict == record_verdict::ignored);
    log.add("a#1", serverLostRecord(log.server(1), log.term(1), {}));
    cr_expect(log.table().ownerOfKey("k") == log.server(0));
}

// Guards against a server that is dropped from the configuration while it may still run requests for its slots.
Test(control_state, removed_server_stays_until_it_owns_nothing)
{
    replay_log log = logWithThreeServers();
    const std::uint64_t version = log.state.configuration().find(document_kind::parameter_set, "t")->version;
    std::vector<hash_slot> all;
    for (std::uint32_t slot = 0; slot < hashSlotCount; ++slot) {
        all.emplace_back(static_cast<std::uint16_t>(slot));
    }
    log.add("a#1", slotsMovedRecord(service_id("t.s"), log.server(0), log.term(0), log.server(2), all));
    log.publishEndpoints("b#1", 2, version);
    cr_assert_not_null(log.state.findServer(log.server(2)));
    cr_expect(log.state.servers().at(log.server(2)).removed);
    cr_expect(buildRoutingTable(log.state)->services().front().servers.size() == 3);
    log.add("a#1", slotsMovedRecord(service_id("t.s"), log.server(2), log.term(2), log.server(0), all));
    cr_expect_null(log.state.findServer(log.server(2)));
    cr_expect(log.table().slotCount(log.server(0)) == hashSlotCount);
}

// Guards against records that an instance writes after it was declared left.
Test(control_state, records_of_an_instance_that_left_are_ignored)
{
    replay_log log = logWithThreeServers();
    log.add("b#1", instanceLeftRecord(incarnation_id("a#1"), "silent"));
    cr_expect(log.state.servers().at(log.server(0)).home == incarnation_id());
    cr_expect(log.add("a#1", homeClaimedRecord(log.server(0), log.term(0))).verdict == record_verdict::ignored);
    cr_expect(log.add("nobody#1", homeClaimedRecord(log.server(0), log.term(0))).verdict == record_verdict::ignored);
}

// Guards against a snapshot that omits part of the state: instances that start from it would differ from the others.
Test(control_state, snapshot_and_later_records_reach_the_same_digest)
{
    replay_log log = logWithThreeServers();
    log.add("a#1", confirmersChangedRecord(1, incarnation_id("a#1"), true));
    log.add("a#1", keyMovedRecord(service_id("t.s"), "k", log.server(0), log.term(0), log.server(1)));
    std::optional<control_state> copy = control_state::decode(log.state.encode());
    cr_assert(copy.has_value());
    cr_expect(copy->digest() == log.state.digest());
    log.add("a#1", serverLostRecord(log.server(0), log.term(0), {}));
    copy->apply(log.records().back());
    cr_expect(copy->digest() == log.state.digest());
    cr_expect(copy->position() == log.state.position());
    std::string broken = log.state.encode();
    broken.resize(broken.size() - 5);
    cr_expect_not(control_state::decode(broken).has_value());
}

// Guards against a snapshot that replaces the state although an acknowledged assignment is missing in it.
Test(control_state, lost_assignment_terminates, .signal = SIGABRT)
{
    replay_log log = logWithThreeServers();
    const std::string before = log.state.encode();
    log.add("a#1", slotsMovedRecord(service_id("t.s"), log.server(0), log.term(0), log.server(1), { hash_slot(1) }));
    pb::StateSnapshot snapshot;
    snapshot.ParseFromString(before);
    snapshot.set_next_offset(log.state.position().value());
    log.state.requireNotNewerThan(*control_state::decode(snapshot.SerializeAsString()));
}
