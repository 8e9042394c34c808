#include "gateway/endpoint_isolation_detector.h"

#include <criterion/criterion.h>

#include <array>
#include <functional>
#include <map>
#include <string>

using namespace sycamoretray;

namespace
{

using std::chrono::milliseconds;

enum class path_state {
    works,
    refuses,
    silent,
};

constexpr time_span probeTimeout = milliseconds(250);
constexpr std::array<time_span, 2> mixedRunTimes{ milliseconds(250), milliseconds(400) };

/** An instance with endpoints of two services in three zones, in virtual time. Requests use connections that are kept open. */
struct simulated_instance {
    explicit simulated_instance(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            listed_endpoint endpoint;
            endpoint.entry.incarnation = { endpoint_id("e" + std::to_string(i)), 1, network_address("10.0.0." + std::to_string(i) + ":80") };
            endpoint.entry.service = service_id(i % 2 == 0 ? "s" : "t");
            endpoint.entry.zone = availability_zone("z" + std::to_string(i % 3));
            listed[endpoint.entry.incarnation.endpoint] = endpoint;
            addresses.push_back(endpoint.entry.incarnation.address);
            newConnections[addresses.back()] = path_state::works;
            established[addresses.back()] = path_state::works;
        }
        detector.setEndpoints(listed, now);
    }

    endpoint_isolation_detector detector;
    monotonic_time now{ std::chrono::seconds(10) };
    std::map<endpoint_id, listed_endpoint> listed;
    std::vector<network_address> addresses;
    std::map<network_address, path_state> newConnections;
    std::map<network_address, path_state> established;
    std::multimap<monotonic_time, std::function<void()>> events;
    std::size_t probes = 0;
    std::size_t requests = 0;
    /** Of the requests in turn. */
    std::vector<time_span> runTimes{ milliseconds(250) };
    bool wasIsolated = false;

    void setAll(path_state opening, path_state open)
    {
        for (const network_address &address : addresses) {
            newConnections[address] = opening;
            established[address] = open;
        }
    }

    void probe(const network_address &address)
    {
        ++probes;
        const path_state path = newConnections[address];
        events.emplace(now + (path == path_state::silent ? probeTimeout : milliseconds(1)), [this, address, path] {
            path == path_state::works ? detector.connected(address, now) : detector.failed(address, now);
        });
    }

    void request()
    {
        const network_address address = addresses[requests++ * 7 % addresses.size()];
        detector.sent(address, now);
        events.emplace(now + runTimes[requests % runTimes.size()], [this, address] {
            if (established[address] == path_state::works) {
                detector.answered(address, now);
                detector.finished(address);
            } else if (established[address] == path_state::refuses) {
                detector.failed(address, now);
                detector.finished(address);
            }
        });
    }

    /** @param interval  time between requests; zero: no requests */
    void run(time_span duration, time_span interval)
    {
        const monotonic_time end = now + duration;
        monotonic_time nextRequest = interval == time_span::zero() ? monotonic_time::max() : now;
        while (now < end) {
            now += milliseconds(1);
            if (now >= nextRequest) {
                nextRequest += interval;
                request();
            }
            while (!events.empty() && events.begin()->first <= now) {
                const auto action = std::move(events.begin()->second);
                events.erase(events.begin());
                action();
            }
            while (detector.nextDue() <= now) {
                const auto due = detector.advance(now);
                for (const network_address &address : due) {
                    probe(address);
                }
                if (due.empty()) {
                    break;
                }
            }
            wasIsolated = wasIsolated || detector.isolatedSince().has_value();
        }
    }
};

constexpr time_span twelveASecond = milliseconds(83);

} // namespace

// Guards against instances that go on sending into a silent network for seconds.
Test(endpoint_isolation_detector, detects_silence_within_700_ms)
{
    for (int phase = 0; phase < 83; ++phase) {
        simulated_instance instance(20);
        instance.run(std::chrono::seconds(5) + milliseconds(phase), twelveASecond);
        cr_expect(!instance.wasIsolated);
        instance.setAll(path_state::silent, path_state::silent);
        instance.run(milliseconds(700), twelveASecond);
        cr_expect(instance.detector.isolatedSince().has_value(), "phase %d ms", phase);
    }
}

// Guards against a late decision when all connections are refused at once, which shows after a few milliseconds.
Test(endpoint_isolation_detector, detects_refused_connections_at_once)
{
    simulated_instance instance(20);
    instance.run(std::chrono::seconds(1), twelveASecond);
    instance.setAll(path_state::refuses, path_state::refuses);
    instance.detector.failed(instance.addresses[0], instance.now);
    instance.run(milliseconds(10), twelveASecond);
    cr_expect(instance.detector.isolatedSince().has_value());
}

// Guards against an instance that fails each request that needs a new connection because answers arrive on those it has.
Test(endpoint_isolation_detector, detects_that_new_connections_fail_beside_established_ones)
{
    simulated_instance instance(20);
    instance.run(std::chrono::seconds(1), twelveASecond);
    instance.setAll(path_state::refuses, path_state::works);
    instance.detector.failed(instance.addresses[0], instance.now);
    instance.run(milliseconds(100), twelveASecond);
    cr_expect(instance.detector.isolatedSince().has_value());
    instance.run(std::chrono::seconds(3), twelveASecond);
    cr_expect(instance.detector.isolatedSince().has_value());
}

// Guards against an instance that stays isolated, or is taken for reached, after the network works again.
Test(endpoint_isolation_detector, ends_when_endpoints_accept_connections)
{
    simulated_instance instance(20);
    instance.setAll(path_state::silent, path_state::silent);
    instance.run(std::chrono::seconds(4), twelveASecond);
    cr_expect(instance.detector.isolatedSince().has_value());
    instance.setAll(path_state::works, path_state::works);
    instance.run(milliseconds(300), twelveASecond);
    cr_expect(!instance.detector.isolatedSince());
    cr_expect(!instance.detector.isSuspicious());
}

// Guards against an instance that stays isolated because all endpoints but one are down.
Test(endpoint_isolation_detector, ends_with_one_endpoint_up)
{
    for (std::size_t up = 0; up < 20; ++up) {
        simulated_instance instance(20);
        instance.setAll(path_state::refuses, path_state::silent);
        instance.run(std::chrono::seconds(4), twelveASecond);
        cr_expect(instance.detector.isolatedSince().has_value());
        instance.newConnections[instance.addresses[up]] = path_state::works;
        // Four endpoints are probed every 0.25 s.
        instance.run(milliseconds(1250 + 2 * 250 + 10), twelveASecond);
        cr_expect_not(instance.detector.isolatedSince(), "%zu", up);
    }
}

// Guards against endpoints that have just started and are probed last.
Test(endpoint_isolation_detector, restarted_endpoints_are_probed_first_while_isolated)
{
    for (std::size_t first = 0; first < 58; ++first) {
        simulated_instance instance(60);
        instance.setAll(path_state::silent, path_state::silent);
        instance.run(std::chrono::seconds(6), twelveASecond);
        cr_expect(instance.detector.isolatedSince().has_value());
        for (const std::size_t i : { first, first + 2 }) {
            instance.listed[endpoint_id("e" + std::to_string(i))].entry.incarnation.startedAtMs = 2;
            instance.newConnections[instance.addresses[i]] = path_state::works;
        }
        instance.detector.setEndpoints(instance.listed, instance.now);
        // Probes of the former processes may be open.
        instance.run(milliseconds(250 + 250 + 10), twelveASecond);
        cr_expect_not(instance.detector.isolatedSince(), "%zu", first);
    }
}

// Guards against an instance that takes the crash of one service, or of one zone's endpoints, for its own isolation.
Test(endpoint_isolation_detector, crash_of_a_service_or_a_zone_is_not_isolation)
{
    for (const path_state state : { path_state::refuses, path_state::silent }) {
        simulated_instance service(24);
        simulated_instance zone(24);
        for (std::size_t i = 0; i < 24; ++i) {
            if (i % 2 == 0) {
                service.newConnections[service.addresses[i]] = state;
                service.established[service.addresses[i]] = state;
            }
            if (i % 3 != 1) {
                zone.newConnections[zone.addresses[i]] = state;
                zone.established[zone.addresses[i]] = state;
            }
        }
        service.run(std::chrono::seconds(30), twelveASecond);
        zone.run(std::chrono::seconds(30), twelveASecond);
        cr_expect(!service.wasIsolated);
        cr_expect(!zone.wasIsolated);
    }
}

// Guards against an instance that takes endpoints that crash together for its own isolation, if it learns of all of them before it can probe one.
Test(endpoint_isolation_detector, crashes_of_several_endpoints_are_not_isolation)
{
    for (const bool connecting : { false, true }) {
        simulated_instance instance(60);
        instance.run(std::chrono::seconds(5), twelveASecond);
        for (std::size_t i = 0; i < 8; ++i) {
            const network_address &address = instance.addresses[i];
            instance.newConnections[address] = path_state::refuses;
            instance.established[address] = path_state::refuses;
            connecting ? instance.detector.failed(address, instance.now) : instance.detector.lost(address, instance.now);
        }
        cr_expect_not(instance.detector.advance(instance.now).empty(), "probes other endpoints");
        cr_expect_not(instance.detector.isolatedSince());
        instance.run(std::chrono::seconds(10), twelveASecond);
        cr_expect_not(instance.wasIsolated);
    }
}

// Guards against a probe that counts as failed because an older connection to the same endpoint was lost meanwhile.
Test(endpoint_isolation_detector, lost_connections_do_not_decide_probes)
{
    simulated_instance instance(2);
    instance.detector.lost(instance.addresses[0], instance.now);
    for (int round = 0; round < 3; ++round) {
        for (const network_address &address : instance.detector.advance(instance.now)) {
            instance.detector.lost(address, instance.now);
        }
        instance.now += milliseconds(100);
    }
    cr_expect_not(instance.detector.isolatedSince());
}

// Guards against isolation, and constant probes, while all endpoints are slow or there is no traffic.
Test(endpoint_isolation_detector, slow_answers_and_no_traffic_are_not_isolation)
{
    simulated_instance instance(20);
    instance.run(std::chrono::seconds(10), time_span::zero());
    cr_expect_eq(instance.probes, 0U);
    instance.setAll(path_state::works, path_state::silent);
    instance.run(std::chrono::seconds(10), twelveASecond);
    cr_expect(!instance.wasIsolated);
    cr_expect_leq(instance.probes, 30U);
}

// Guards against new connections on a calm day, which endpoints are charged with, at instances with few requests.
Test(endpoint_isolation_detector, few_requests_cause_few_probes)
{
    for (const time_span interval : { milliseconds(300), milliseconds(1000) }) {
        simulated_instance instance(20);
        instance.runTimes.assign(mixedRunTimes.begin(), mixedRunTimes.end());
        instance.run(std::chrono::seconds(60), interval);
        cr_expect_leq(instance.probes, 10U, "%zu probes for %zu requests", instance.probes, instance.requests);
        cr_expect_not(instance.wasIsolated);
    }
}

// Guards against an isolation that shows late because few requests are open.
Test(endpoint_isolation_detector, detects_silence_within_1500_ms_at_few_requests)
{
    for (int phase = 0; phase < 300; phase += 10) {
        simulated_instance instance(20);
        instance.runTimes.assign(mixedRunTimes.begin(), mixedRunTimes.end());
        instance.run(std::chrono::seconds(10) + milliseconds(phase), milliseconds(300));
        instance.setAll(path_state::silent, path_state::silent);
        instance.run(milliseconds(1500), milliseconds(300));
        cr_expect(instance.detector.isolatedSince().has_value(), "phase %d ms", phase);
    }
}

// Guards against a site with few endpoints that never, or always, counts as unreachable.
Test(endpoint_isolation_detector, few_endpoints)
{
    simulated_instance instance(3);
    instance.run(std::chrono::seconds(1), twelveASecond);
    instance.newConnections[instance.addresses[0]] = path_state::refuses;
    instance.newConnections[instance.addresses[1]] = path_state::refuses;
    instance.detector.failed(instance.addresses[0], instance.now);
    instance.run(std::chrono::seconds(3), twelveASecond);
    cr_expect(!instance.wasIsolated);
    instance.newConnections[instance.addresses[2]] = path_state::refuses;
    instance.detector.failed(instance.addresses[0], instance.now);
    instance.run(std::chrono::seconds(1), twelveASecond);
    cr_expect(instance.wasIsolated);
    instance.detector.setEndpoints({}, instance.now);
    cr_expect(!instance.detector.isolatedSince());
}
