#include "key_ownership/key_assigner.h"

#include <criterion/criterion.h>

#include <deque>
#include <map>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t endpointCount = 4;
const service_id service("s");

endpoint_id nameOf(std::size_t index)
{
    return endpoint_id("e" + std::to_string(index));
}

/** An assigner of four endpoints that accept all orders at once. */
class assigner_driver
{
public:
    assigner_driver()
        : m_assigner(service, {})
        , m_endpoints(endpointCount)
    {
        m_assigner.start(std::nullopt, 1, network_address("10.0.0.1:1"), {}, m_now);
        for (std::size_t i = 0; i < endpointCount; ++i) {
            m_endpoints[i].entry.incarnation = { nameOf(i), 1, network_address("10.0.1." + std::to_string(i) + ":1") };
            m_endpoints[i].entry.service = service;
            m_endpoints[i].entry.workerSlots = 3;
        }
        m_assigner.setEndpoints(m_endpoints, m_now);
    }

    void setColdRequestRate(std::optional<request_rate> rate)
    {
        m_assigner.setColdRequestRate(rate, m_now);
    }

    /** The endpoint becomes cold, after a restart if @p restarted. */
    void setCold(std::size_t endpoint, time_span duration, bool restarted = false)
    {
        m_endpoints[endpoint].coldUntil = m_now + duration;
        m_endpoints[endpoint].entry.incarnation.startedAtMs += restarted ? 1 : 0;
        m_assigner.setEndpoints(m_endpoints, m_now);
    }

    /** Runs for @p duration with 60 requests a second of 50 ms spread over all keys. */
    void run(time_span duration, const std::map<std::size_t, request_rate> &limits)
    {
        for (const monotonic_time end = m_now + duration; m_now < end; m_now += 40ms) {
            if ((m_now - monotonic_time()) % 400ms == 0ms) {
                report(limits);
            }
            performActions();
        }
    }

    /** Share of the keys that an endpoint owns. */
    double share(std::size_t endpoint) const
    {
        double keys = 0;
        for (const key_assignment &each : m_assigner.current().assignments) {
            keys += each.owner.endpoint == nameOf(endpoint) ? each.keys.last - each.keys.first + 1 : 0;
        }
        return keys / keyCount;
    }

private:
    void report(const std::map<std::size_t, request_rate> &limits)
    {
        constexpr std::uint32_t requests = 24;
        load_report report{ instance_id("i"), service, {}, {} };
        for (std::uint32_t i = 0; i < requests; ++i) {
            report.keys.push_back({ key_number(static_cast<std::uint16_t>((m_drawn += 40503) % keyCount)), 50ms });
        }
        for (std::size_t i = 0; i < endpointCount; ++i) {
            const auto limit = limits.find(i);
            const auto answered = static_cast<std::uint32_t>(requests * share(i)) + 1;
            report.endpoints.push_back(
                { nameOf(i), answered, 50ms * answered, 50ms * answered, 0, limit == limits.end() ? std::nullopt : std::optional(limit->second) });
        }
        const auto decoded = decodeLoadReport(encodeLoadReport(report));
        cr_assert(decoded.has_value());
        m_assigner.addLoad(*decoded, m_now);
    }

    void performActions()
    {
        std::deque<assigner_action> actions;
        const auto act = [&] {
            for (assigner_action &each : m_assigner.act(true, m_now)) {
                actions.push_back(std::move(each));
            }
        };
        for (act(); !actions.empty(); actions.pop_front()) {
            if (const auto *write = std::get_if<write_record>(&actions.front())) {
                m_assigner.recordWritten(write->revision, true, m_now);
            } else if (const auto *grant = std::get_if<send_grant>(&actions.front())) {
                m_assigner.orderDone(grant->order, { order_outcome::accepted, {}, {} }, m_now);
            } else if (const auto *release = std::get_if<send_release>(&actions.front())) {
                m_assigner.orderDone(release->order, { order_outcome::accepted, {}, {} }, m_now);
            }
            act();
        }
    }

    key_assigner m_assigner;
    std::vector<listed_endpoint> m_endpoints;
    monotonic_time m_now{ 100s };
    std::uint32_t m_drawn = 0;
};

} // namespace

// Guards against keys that stay with an endpoint whose request limit refuses most of their requests, while other endpoints are idle.
Test(limited_endpoint, gives_keys_to_endpoints_without_a_limit)
{
    assigner_driver driver;
    driver.run(8s, {});
    cr_assert(driver.share(0) > 0.2, "%.2f of the keys before", driver.share(0));
    driver.run(12s, { { 0, request_rate(4) } });
    // A quarter of the keys brings 15 requests a second.
    cr_expect(driver.share(0) < 0.15, "%.2f of the keys", driver.share(0));
}

// Guards against a limit that outlasts the responses that named it.
Test(limited_endpoint, gets_keys_again_when_it_names_no_limit_any_more)
{
    assigner_driver driver;
    driver.run(8s, {});
    driver.run(12s, { { 0, request_rate(0) }, { 1, request_rate(4) }, { 2, request_rate(4) } });
    const double limited = driver.share(0) + driver.share(1) + driver.share(2);
    driver.run(12s, { { 3, request_rate(4) } });
    cr_expect(driver.share(3) < 0.2, "%.2f of the keys", driver.share(3));
    cr_expect(driver.share(0) + driver.share(1) + driver.share(2) > limited + 0.2, "%.2f of the keys before", limited);
}

// Guards against keys that stay with an endpoint that became cold without a restart, while its rate refuses most of their requests; and against one
// that gets no keys again after it has become warm.
Test(cold_endpoint, gives_keys_to_warm_endpoints_until_it_is_warm)
{
    assigner_driver driver;
    driver.setColdRequestRate(request_rate(4));
    driver.run(8s, {});
    cr_assert(driver.share(0) > 0.2, "%.2f of the keys before", driver.share(0));
    driver.setCold(0, 12s);
    driver.run(12s, {});
    const double cold = driver.share(0);
    // A quarter of the keys brings 15 requests a second.
    cr_expect(cold < 0.15, "%.2f of the keys", cold);
    driver.run(12s, {});
    cr_expect(driver.share(0) > cold + 0.05, "%.2f of the keys afterwards", driver.share(0));
}

// Guards against keys that are assigned to an endpoint that has just started and is cold, when warm ones could take them.
Test(cold_endpoint, gets_no_keys_after_a_restart)
{
    assigner_driver driver;
    driver.setColdRequestRate(request_rate(4));
    driver.run(8s, {});
    driver.setCold(0, 6s, true);
    driver.run(5s, {});
    cr_expect(driver.share(0) == 0, "%.2f of the keys", driver.share(0));
    driver.run(8s, {});
    cr_expect(driver.share(0) > 0.1, "%.2f of the keys afterwards", driver.share(0));
}

// Guards against moves among endpoints that are all cold, which slow the moved keys and relieve nobody for long.
Test(cold_endpoint, cold_endpoints_give_each_other_no_keys)
{
    assigner_driver driver;
    driver.setColdRequestRate(request_rate(30));
    driver.run(8s, {});
    const double before = driver.share(3);
    for (std::size_t i = 0; i < endpointCount; ++i) {
        driver.setCold(i, 6s);
    }
    // The limits would move keys to endpoint 3.
    driver.run(5s, { { 0, request_rate(4) }, { 1, request_rate(4) }, { 2, request_rate(4) } });
    cr_expect(driver.share(3) == before, "%.2f instead of %.2f of the keys", driver.share(3), before);
}
