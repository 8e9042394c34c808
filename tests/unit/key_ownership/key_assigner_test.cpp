#include "ownership_simulation.h"

#include <criterion/criterion.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace sycamoretray;

namespace
{

ownership_simulation faultFreeSimulation()
{
    return ownership_simulation({ 7, 6, std::chrono::seconds(1), false });
}

} // namespace

// Guards against keys that are not assigned at the start.
Test(key_assigner, assigns_all_keys_at_start)
{
    ownership_simulation simulation = faultFreeSimulation();
    simulation.run(std::chrono::seconds(3));
    cr_expect_eq(simulation.servedKeys(), ownership_simulation::watchedKeys());
    cr_expect(simulation.violations().empty());
}

// Guards against grants that expire while the store is unavailable.
Test(key_assigner, grants_outlast_an_outage_of_the_store)
{
    ownership_simulation simulation = faultFreeSimulation();
    simulation.run(std::chrono::seconds(3));
    simulation.setStoreUnavailable(true);
    // Covers a store outage of 9 s and the group rebalance that follows.
    simulation.run(std::chrono::seconds(11));
    cr_expect_eq(simulation.servedKeys(), ownership_simulation::watchedKeys());
    cr_expect(simulation.longestUnserved() < std::chrono::milliseconds(50));
}

// Guards against keys that become unserved while their assigner is replaced.
Test(key_assigner, replacement_of_the_assigner_interrupts_nothing)
{
    ownership_simulation simulation = faultFreeSimulation();
    simulation.run(std::chrono::seconds(3));
    simulation.replaceAssigner();
    simulation.run(std::chrono::seconds(6));
    cr_expect_eq(simulation.servedKeys(), ownership_simulation::watchedKeys());
    cr_expect(simulation.longestUnserved() < std::chrono::milliseconds(50));
    cr_expect(simulation.violations().empty());
}

// Guards against waiting for the expiry of grants when a draining endpoint can be asked to release its keys.
Test(key_assigner, keys_of_a_draining_endpoint_move_at_once)
{
    ownership_simulation simulation = faultFreeSimulation();
    simulation.run(std::chrono::seconds(3));
    simulation.setDraining(2);
    simulation.run(std::chrono::seconds(1));
    cr_expect_eq(simulation.servedKeys(), ownership_simulation::watchedKeys());
    cr_expect(simulation.longestUnserved() < std::chrono::milliseconds(150));
    cr_expect(simulation.violations().empty());
}

// Guards against keys with two holders: a grant was applied, but an endpoint wrote a copy of an earlier answer, which says that it was not.
Test(key_assigner, grants_count_whatever_their_answer_says)
{
    for (const order_outcome copied : { order_outcome::superseded, order_outcome::refused, order_outcome::accepted }) {
        ownership_simulation simulation = faultFreeSimulation();
        simulation.run(std::chrono::seconds(3));
        simulation.setCopiedAnswer(2, copied);
        simulation.run(std::chrono::seconds(5));
        simulation.setDraining(2);
        simulation.run(std::chrono::seconds(5));
        cr_expect_eq(simulation.servedKeys(), ownership_simulation::watchedKeys(), "outcome %d", static_cast<int>(copied));
        cr_expect(simulation.violations().empty(), "outcome %d", static_cast<int>(copied));
    }
}

// Guards against keys of a crashed endpoint that stay unserved for longer than the expiry of its grant and their reassignment take.
Test(key_assigner, keys_of_a_crashed_endpoint_are_served_again)
{
    ownership_simulation simulation = faultFreeSimulation();
    simulation.run(std::chrono::seconds(3));
    simulation.crash(1);
    simulation.run(std::chrono::seconds(5));
    cr_expect_eq(simulation.servedKeys(), ownership_simulation::watchedKeys());
    // A renewal interval, the timeout of an order, a grant on a slow clock, and 200 ms for the decision and the new grant.
    const assigner_settings settings;
    const auto maxGrantDuration = std::chrono::duration_cast<time_span>(settings.grantLength * (1 + settings.clockDrift)) + settings.expiryMargin;
    cr_expect(simulation.longestUnserved() < settings.renewInterval + std::chrono::milliseconds(250) + maxGrantDuration + std::chrono::milliseconds(200));
    cr_expect(simulation.violations().empty());
}

// Guards against two holders of a key after a restart: a process accepts a grant that was sent to its predecessor at the same
// address, and the keys are then reassigned at once because the predecessor has terminated.
Test(key_assigner, successor_at_an_address_is_asked_to_release_what_it_was_granted)
{
    ownership_simulation simulation = faultFreeSimulation();
    simulation.run(std::chrono::seconds(3));
    simulation.crash(1);
    simulation.run(std::chrono::milliseconds(300));
    // The directory still lists the old process when the new one answers, and the new one registers late.
    simulation.restart(1, std::chrono::milliseconds(1400));
    simulation.run(std::chrono::seconds(8));
    cr_expect(simulation.violations().empty(), "%s", simulation.violations().empty() ? "" : simulation.violations().front().c_str());
    cr_expect_eq(simulation.servedKeys(), ownership_simulation::watchedKeys());
}

// Guards against keys that become unserved when an endpoint closes the connection after each grant, so that each renewal needs a new token and
// the reserved tokens of a range are used up.
Test(key_assigner, grants_outlast_connections_that_close_after_each_grant)
{
    simulation_options options;
    options.seed = 7;
    options.faults = false;
    options.checkTokens = true;
    options.connectionLoss = 1;
    ownership_simulation simulation(options);
    const auto renewals = static_cast<std::int64_t>(tokensPerAssignment) + 20;
    simulation.run(assigner_settings().renewInterval * renewals);
    cr_expect_eq(simulation.servedKeys(), ownership_simulation::watchedKeys());
    cr_expect(simulation.longestUnserved() < std::chrono::milliseconds(50));
    cr_expect(simulation.violations().empty(), "%s", simulation.violations().empty() ? "" : simulation.violations().front().c_str());
}

// Guards against keys that wait for the expiry of their grant although another process answers at the address of their holder.
Test(key_assigner, keys_of_a_replaced_endpoint_move_without_waiting_for_its_grant)
{
    simulation_options options;
    options.seed = 7;
    options.faults = false;
    options.checkTokens = true;
    options.endpointsCheckId = true;
    ownership_simulation simulation(options);
    simulation.run(std::chrono::seconds(3));
    simulation.crashUnnoticed(1);
    simulation.run(std::chrono::milliseconds(50));
    simulation.restart(1, std::chrono::seconds(4), false);
    simulation.run(std::chrono::seconds(3));
    cr_expect_eq(simulation.servedKeys(), ownership_simulation::watchedKeys());
    // A renewal that is lost with its connection, the retry that the other process rejects, and 200 ms for the decision and the new grant.
    const assigner_settings settings;
    cr_expect(simulation.longestUnserved() < settings.renewInterval + std::chrono::milliseconds(250) + settings.retryInterval + std::chrono::milliseconds(200));
    cr_expect(simulation.violations().empty(), "%s", simulation.violations().empty() ? "" : simulation.violations().front().c_str());
}

// Guards against grants that expire because the store is lost while the record that replaces them is being written.
Test(key_assigner, replaced_grants_outlast_an_outage_of_the_store)
{
    ownership_simulation simulation = faultFreeSimulation();
    simulation.run(std::chrono::seconds(3));
    simulation.setStoreUnavailable(true);
    simulation.setDraining(2);
    // The outage that an assigner has to bridge.
    for (int second = 1; second <= 9; ++second) {
        simulation.run(std::chrono::seconds(1));
        cr_expect_eq(simulation.servedKeys(), ownership_simulation::watchedKeys(), "after %d s: %zu", second, simulation.servedKeys());
    }
}

// Guards against two holders of a key: the process at the address of a lost endpoint has applied a grant for it, and names another id in its
// health check.
Test(key_assigner, health_check_with_another_id_does_not_end_a_grant)
{
    monotonic_time now{ std::chrono::seconds(100) };
    const monotonic_time lostAt = now + std::chrono::seconds(1);
    const assigner_settings settings;
    key_assigner assigner(service_id("s"), settings);
    std::vector<listed_endpoint> endpoints(4);
    ownership_record record;
    record.service = service_id("s");
    record.epoch = 1;
    record.grantLength = settings.grantLength;
    constexpr std::uint32_t keysOfEach = keyCount / 4;
    for (std::uint32_t i = 0; i < endpoints.size(); ++i) {
        endpoints[i].entry.incarnation = { endpoint_id("e" + std::to_string(i)), 1, network_address("10.0.0." + std::to_string(i + 1) + ":1") };
        endpoints[i].entry.workerSlots = 2;
        record.assignments.push_back({ { i * keysOfEach, (i + 1) * keysOfEach - 1 }, endpoints[i].entry.incarnation, fencing_token(i + 1), {}, {}, true, {} });
    }
    record.nextToken = 100;
    assigner.start(record, 2, network_address("10.0.0.1:1"), time_span::zero(), now);
    assigner.setEndpoints(endpoints, now);
    std::multimap<monotonic_time, std::function<void()>> tasks;
    const auto reply = [&](order_id order, order_outcome outcome, time_span after) {
        tasks.emplace(now + after, [&, order, outcome] {
            assigner.orderDone(order, { outcome, {}, connection_number(1) }, now);
        });
    };
    monotonic_time lastGrantToLost{};
    bool probed = false;
    std::optional<monotonic_time> grantedToOther;
    for (; now < lostAt + std::chrono::seconds(5); now += std::chrono::milliseconds(10)) {
        while (!tasks.empty() && tasks.begin()->first <= now) {
            const auto task = std::move(tasks.extract(tasks.begin()).mapped());
            task();
        }
        for (const assigner_action &action : assigner.act(true, now)) {
            if (const auto *grant = std::get_if<send_grant>(&action)) {
                const bool lost = now >= lostAt && grant->endpoint.endpoint.value() == "e0";
                lastGrantToLost = lost ? now : lastGrantToLost;
                if (now >= lostAt && !lost && grant->keys.first < keysOfEach && !grantedToOther) {
                    grantedToOther = now;
                }
                reply(grant->order, lost ? order_outcome::unanswered : order_outcome::accepted, std::chrono::milliseconds(lost ? 250 : 5));
            } else if (const auto *release = std::get_if<send_release>(&action)) {
                reply(release->order, order_outcome::unanswered, std::chrono::seconds(3));
            } else if (const auto *probe = std::get_if<probe_endpoint>(&action)) {
                probed = true;
                reply(probe->order, order_outcome::misdirected, std::chrono::milliseconds(5));
            } else if (const auto *write = std::get_if<write_record>(&action)) {
                tasks.emplace(now + std::chrono::milliseconds(10), [&, revision = write->revision] {
                    assigner.recordWritten(revision, true, now);
                });
            }
        }
    }
    cr_expect(probed);
    cr_assert(grantedToOther.has_value());
    cr_expect(*grantedToOther >= lastGrantToLost + settings.grantLength);
}

// Guards against memory that grows with each restart of an endpoint.
Test(key_assigner, forgets_incarnations_that_have_been_replaced)
{
    ownership_simulation simulation = faultFreeSimulation();
    simulation.run(std::chrono::seconds(3));
    for (int restart = 0; restart < 60; ++restart) {
        simulation.crash(1);
        simulation.run(std::chrono::milliseconds(200));
        simulation.restart(1, std::chrono::milliseconds(300), restart % 2 == 0);
        simulation.run(std::chrono::seconds(4));
    }
    // Each of the six endpoints, and a few for the last restart.
    cr_expect_leq(simulation.rememberedIncarnations(), 12U);
    cr_expect_eq(simulation.servedKeys(), ownership_simulation::watchedKeys());
}
