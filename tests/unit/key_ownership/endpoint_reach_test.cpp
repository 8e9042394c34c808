#include "key_ownership/key_assigner.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

const service_id service("s");

listed_endpoint endpointAt(std::size_t index)
{
    listed_endpoint endpoint;
    endpoint.entry.incarnation = { endpoint_id("e" + std::to_string(index)), 1000, network_address("10.0.0." + std::to_string(index) + ":1") };
    endpoint.entry.service = service;
    endpoint.entry.workerSlots = 2;
    return endpoint;
}

std::vector<listed_endpoint> endpoints(std::size_t count)
{
    std::vector<listed_endpoint> result;
    for (std::size_t i = 0; i < count; ++i) {
        result.push_back(endpointAt(i));
    }
    return result;
}

/** Lets the assigner act for @p duration; the endpoints from index @p firstSilent on answer nothing. */
monotonic_time run(key_assigner &assigner, monotonic_time now, time_span duration, std::size_t firstSilent)
{
    const auto answers = [&](const endpoint_incarnation &incarnation) {
        return std::stoul(incarnation.endpoint.value().substr(1)) < firstSilent;
    };
    for (const monotonic_time end = now + duration; now < end; now += 40ms) {
        for (const assigner_action &action : assigner.act(true, now)) {
            if (const auto *write = std::get_if<write_record>(&action)) {
                assigner.recordWritten(write->revision, true, now);
            } else if (const auto *grant = std::get_if<send_grant>(&action)) {
                assigner.orderDone(grant->order, { answers(grant->endpoint) ? order_outcome::accepted : order_outcome::unsent, {}, {} }, now);
            } else if (const auto *probe = std::get_if<probe_endpoint>(&action)) {
                assigner.orderDone(probe->order, { answers(probe->endpoint) ? order_outcome::accepted : order_outcome::unsent, {}, {} }, now);
            }
        }
    }
    return now;
}

} // namespace

// Guards against an outage in which nobody can tell that the assigner reaches no endpoints and that grants have lapsed for this reason.
Test(endpoint_reach, tells_unreachable_endpoints_from_lapsed_keys)
{
    key_assigner assigner(service, {});
    const monotonic_time start(100s);
    assigner.start(std::nullopt, 1, network_address("10.0.1.1:1"), 0s, start);
    assigner.setEndpoints(endpoints(4), start);
    monotonic_time now = run(assigner, start, 4s, 4);
    cr_expect(assigner.reach(now).unresponsive.empty());
    cr_expect_eq(assigner.reach(now).lapsedKeys, 0U);
    now = run(assigner, now, 1200ms, 1);
    cr_expect_eq(assigner.reach(now).unresponsive.size(), 3U);
    cr_expect(assigner.reach(now).isMostlyUnresponsive());
    cr_expect_eq(assigner.reach(now).lapsedKeys, 0U, "grants last 2.5 s");
    now = run(assigner, now, 3s, 1);
    cr_expect(assigner.reach(now).lapsedKeys > 0);
    now = run(assigner, now, 3s, 4);
    cr_expect(assigner.reach(now).unresponsive.empty());
    cr_expect_eq(assigner.reach(now).lapsedKeys, 0U);
}

// Guards against probes of endpoints that are shut down in an evacuated zone, and against counting them as a lost path.
Test(endpoint_reach, endpoints_without_keys_in_an_evacuated_zone_are_left_alone)
{
    key_assigner assigner(service, {});
    const monotonic_time start(100s);
    assigner.start(std::nullopt, 1, network_address("10.0.1.1:1"), 0s, start);
    std::vector<listed_endpoint> listed = endpoints(4);
    assigner.setEndpoints(listed, start);
    monotonic_time now = run(assigner, run(assigner, start, 4s, 4), 1200ms, 1);
    cr_expect_eq(assigner.reach(now).unresponsive.size(), 3U);
    for (std::size_t i = 1; i < 4; ++i) {
        listed[i].evacuatedSince = now;
    }
    assigner.setEndpoints(listed, now);
    now = run(assigner, now, 12s, 1);
    cr_expect_eq(assigner.reach(now).endpoints, 1U);
    cr_expect_not(assigner.reach(now).isMostlyUnresponsive());
    for (const monotonic_time end = now + 3s; now < end; now += 40ms) {
        for (const assigner_action &action : assigner.act(true, now)) {
            cr_expect_not(std::holds_alternative<probe_endpoint>(action));
            if (const auto *grant = std::get_if<send_grant>(&action)) {
                cr_expect(grant->endpoint.endpoint == endpoint_id("e0"));
                assigner.orderDone(grant->order, { order_outcome::accepted, {}, {} }, now);
            }
        }
    }
}
