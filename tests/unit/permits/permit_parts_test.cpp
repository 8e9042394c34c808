#include "permits/coordinator_ranking.h"
#include "permits/instance_list_tracker.h"
#include "permits/permit_message.h"
#include "permits/permit_queue.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

const availability_zone zone("z");

std::vector<coordinator_candidate> candidates(std::size_t count)
{
    std::vector<coordinator_candidate> result;
    for (std::size_t i = 0; i < count; ++i) {
        result.push_back({ network_address("10.0.0." + std::to_string(i) + ":1"), i % 2 == 0 ? 0.1 : 0.5 });
    }
    return result;
}

} // namespace

Test(permit_queue, keys_are_served_fairly)
{
    permit_queue queue;
    const queue_ticket hot1 = queue.add(0, key_number(1), 100ms);
    const queue_ticket hot2 = queue.add(0, key_number(1), 100ms);
    const queue_ticket hot3 = queue.add(0, key_number(1), 100ms);
    const queue_ticket other = queue.add(0, key_number(2), 100ms);
    const queue_ticket urgent = queue.add(0, key_number(3), 10ms);
    cr_expect_eq(queue.takeFirst(), hot1);
    cr_expect_eq(queue.takeFirst(), other);
    cr_expect_eq(queue.takeFirst(), urgent);
    cr_expect_eq(queue.takeFirst(), hot2);
    cr_expect_eq(queue.takeFirst(), hot3);
    cr_expect(queue.empty());
}

Test(permit_queue, removed_entry_releases_its_start_tag)
{
    permit_queue queue;
    const queue_ticket first = queue.add(0, key_number(1), 100ms);
    queue.remove(queue.add(0, key_number(1), 100ms));
    const queue_ticket other = queue.add(0, key_number(2), 100ms);
    queue.takeFirst();
    const queue_ticket second = queue.add(0, key_number(1), 100ms);
    cr_expect(first < other);
    cr_expect_eq(queue.takeFirst(), other);
    cr_expect_eq(queue.takeFirst(), second);
}

Test(permit_queue, urgent_priorities_come_first)
{
    permit_queue queue;
    queue.add(2, std::nullopt, 10ms);
    const queue_ticket urgent = queue.add(0, std::nullopt, 10ms);
    cr_expect_eq(*queue.first(), urgent);
}

// Guards against queues that move to another coordinator although theirs is still running.
Test(coordinator_ranking, loss_of_an_instance_moves_only_its_queues)
{
    const coordinator_candidates before{ { zone, candidates(20) } };
    coordinator_candidates after = before;
    const network_address lost = after[zone][7].address;
    after[zone].erase(after[zone].begin() + 7);
    for (int i = 0; i < 500; ++i) {
        const std::string name = "endpoint/" + std::to_string(i);
        const auto old = rankCoordinators(before, zone, name, 2);
        const auto now = rankCoordinators(after, zone, name, 1);
        cr_expect_eq(now.front(), old.front() == lost ? old[1] : old.front());
    }
}

Test(coordinator_ranking, queues_follow_the_weights)
{
    const coordinator_candidates all{ { zone, candidates(20) } };
    int heavy = 0;
    for (int i = 0; i < 2000; ++i) {
        const auto best = rankCoordinators(all, zone, "endpoint/" + std::to_string(i), 1);
        const auto found = std::find_if(all.at(zone).begin(), all.at(zone).end(), [&](const coordinator_candidate &each) {
            return each.address == best.front();
        });
        heavy += found->weight > 0.2 ? 1 : 0;
    }
    // Five sixths of the weight; four standard deviations of the count are 67.
    cr_expect(std::abs(heavy - 1667) < 67, "%d of 2000", heavy);
}

// Load pattern: all requests of a zone for a service that is not divided by key pass one queue. Its coordinator needs more than a small
// share of a processor.
Test(coordinator_ranking, busy_queues_are_coordinated_by_strong_instances)
{
    const coordinator_candidates all{ { zone, candidates(20) },
                                      { availability_zone("even"), { { network_address("10.9.0.1:1"), 0.1 }, { network_address("10.9.0.2:1"), 0.1 } } } };
    const coordinator_candidates strongest = strongestCandidates(all);
    cr_expect_eq(strongest.at(zone).size(), 10U);
    for (const coordinator_candidate &each : strongest.at(zone)) {
        cr_expect(each.weight > 0.4);
    }
    cr_expect_eq(strongest.at(availability_zone("even")).size(), 2U);
}

Test(coordinator_ranking, zone_without_instances_is_served_by_others)
{
    const coordinator_candidates all{ { zone, candidates(3) }, { availability_zone("empty"), {} } };
    cr_expect_eq(rankCoordinators(all, availability_zone("empty"), "x", 5).size(), 3U);
    cr_expect(rankCoordinators({}, zone, "x", 5).empty());
}

Test(instance_list_tracker, publishes_growth_earlier_than_losses)
{
    instance_list_tracker tracker;
    monotonic_time now(100s);
    tracker.start({}, now);
    for (const coordinator_candidate &each : candidates(10)) {
        tracker.recordSeen(each.address, each.weight, now);
    }
    auto published = tracker.takeListToPublish({}, now);
    cr_assert(published && published->size() == 10);
    cr_expect_not(tracker.takeListToPublish(*published, now + 1s).has_value(), "nothing changed");
    now += 2s;
    for (const coordinator_candidate &each : candidates(20)) {
        tracker.recordSeen(each.address, each.weight, now);
    }
    published = tracker.takeListToPublish(*published, now);
    cr_assert(published && published->size() == 20, "twice as many");
    tracker.recordSeen(candidates(1).front().address, 0, now);
    cr_expect_not(tracker.takeListToPublish(*published, now + 1s).has_value(), "one left; the record is not worth it yet");
    const auto later = tracker.takeListToPublish(*published, now + 4500ms);
    cr_assert(later && later->size() == 19);
    // The others have not been seen since.
    cr_expect_eq(tracker.takeListToPublish(*later, now + 9s)->size(), 0U);
}

// Guards against a new relay that publishes a list of only those instances that it has already seen.
Test(instance_list_tracker, new_relay_starts_from_the_published_list)
{
    instance_list_tracker tracker;
    const monotonic_time now(100s);
    tracker.start(candidates(20), now);
    tracker.recordSeen(candidates(1).front().address, candidates(1).front().weight, now + 1s);
    cr_expect_not(tracker.takeListToPublish(candidates(20), now + 1s).has_value());
}

Test(permit_message, is_unchanged_by_encoding_and_decoding)
{
    permit_request request;
    request.id = permit_id(1ULL << 40);
    request.service = service_id("s");
    request.owner = endpoint_incarnation{ endpoint_id("e"), 1234567890123, {} };
    request.zone = zone;
    request.key = key_number(65535);
    request.priority = 2;
    request.typicalRunTime = 260ms;
    request.maxAnswerTime = -5ms;
    request.triedEndpoints = { endpoint_id("f"), endpoint_id("g") };
    request.ownerLimit = known_request_limit{ request_rate(1.5), 20ms };
    request.role = limit_role::further_coordinator;
    const auto decoded = decodePermitMessage(encodePermitMessage(permit_request_message{ request }));
    cr_assert(decoded && std::holds_alternative<permit_request_message>(*decoded));
    const permit_request &read = std::get<permit_request_message>(*decoded).request;
    cr_expect(read.id == request.id && read.service == request.service && *read.owner == *request.owner && read.zone == request.zone);
    cr_expect(read.key == request.key && read.priority == 2 && read.typicalRunTime == request.typicalRunTime && read.maxAnswerTime == request.maxAnswerTime
              && read.triedEndpoints == request.triedEndpoints);
    cr_expect(read.ownerLimit && read.ownerLimit->rate == request_rate(1.5) && read.ownerLimit->age == 20ms && read.role == request.role);
    const permit_result result{ true, reply_kind::not_run, true, false, 503, endpoint_load{ 1, 2, 3 }, request_rate(11.5) };
    const auto returned = decodePermitMessage(encodePermitMessage(permit_return{ permit_id(7), result }));
    cr_assert(returned && std::holds_alternative<permit_return>(*returned));
    cr_expect_eq(std::get<permit_return>(*returned).result.load->waiting, 2U);
    cr_expect(std::get<permit_return>(*returned).result.requestLimit == request_rate(11.5));
}

// A malformed datagram must not terminate the process. Decodes 20,000 mutations of valid messages, with a fixed seed.
Test(permit_message, malformed_messages_are_refused)
{
    std::mt19937 random(11);
    const std::vector<permit_message> messages{
        permit_request_message{}, permit_return{}, permit_grant{ permit_id(3), endpoint_id("e"), 4 }, permit_refusal{ permit_id(5), 1s }
    };
    for (int i = 0; i < 20000; ++i) {
        std::string data = encodePermitMessage(messages[random() % messages.size()]);
        const unsigned changes = 1 + random() % 4;
        for (unsigned change = 0; change < changes && !data.empty(); ++change) {
            if (random() % 8 == 0) {
                data.resize(random() % data.size());
            } else {
                data[random() % data.size()] = static_cast<char>(random());
            }
        }
        decodePermitMessage(data);
        decodeCandidates(data);
    }
    cr_expect_not(decodePermitMessage("").has_value());
    cr_expect_not(decodePermitMessage("\x82\x18\x63\x01").has_value(), "unknown kind");
}
