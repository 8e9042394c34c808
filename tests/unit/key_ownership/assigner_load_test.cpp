#include "key_ownership/key_assigner.h"

#include <criterion/criterion.h>

#include <set>
#include <string>
#include <type_traits>
#include <variant>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t endpointCount = 570;
constexpr time_span usualWork = 260ms;
const service_id serviceName("s");

endpoint_id nameOf(std::size_t endpoint)
{
    return endpoint_id("e" + std::to_string(endpoint));
}

/** An assigner whose store acknowledges every record and whose endpoints accept every order at once. */
class obeyed_assigner
{
public:
    obeyed_assigner()
        : m_assigner(serviceName, assigner_settings())
    {
        m_assigner.start(std::nullopt, 1, network_address("10.0.0.1:1"), time_span::zero(), m_now);
        std::vector<listed_endpoint> endpoints;
        for (std::size_t i = 0; i < endpointCount; ++i) {
            listed_endpoint endpoint;
            endpoint.entry.life = { nameOf(i), 1, network_address("10.1." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":80") };
            endpoint.entry.service = serviceName;
            endpoint.entry.workerSlots = 2;
            endpoint.stateSince = m_now;
            endpoints.push_back(endpoint);
        }
        m_assigner.setEndpoints(endpoints, m_now);
    }

    /** Work is asked of all keys alike. Endpoints in @p slow answer after @p slowness usual times. */
    void run(time_span duration, const std::set<std::size_t> &slow, double slowness)
    {
        constexpr time_span step = 20ms;
        const monotonic_time end = m_now + duration;
        while (m_now < end) {
            if (m_now >= m_nextReport) {
                m_nextReport = m_now + 400ms;
                report(slow, slowness);
            }
            for (const assigner_action &action : m_assigner.act(true, m_now)) {
                std::visit(
                    [this](const auto &each) {
                        obey(each);
                    },
                    action);
            }
            m_now += step;
        }
    }

    /** Share of the keys that the endpoints hold or are about to hold. */
    double shareOf(const std::set<std::size_t> &endpoints) const
    {
        std::set<endpoint_id> names;
        for (const std::size_t each : endpoints) {
            names.insert(nameOf(each));
        }
        double keys = 0;
        for (const key_assignment &each : m_assigner.current().assignments) {
            keys += names.contains(each.owner.endpoint) ? each.keys.last - each.keys.first + 1 : 0;
        }
        return keys / keyCount;
    }

private:
    void report(const std::set<std::size_t> &slow, double slowness)
    {
        load_report demand{ instance_id("i"), serviceName, {}, {} };
        // 44 % of what the endpoints can do at usual speed.
        const double perReport = endpointCount * 2 * 0.44 * 0.4;
        for (std::uint32_t key = 0; key < keyCount; key += 16) {
            const std::chrono::duration<double> work(perReport * 16 / keyCount);
            demand.keys.push_back({ key_number(static_cast<std::uint16_t>(key)), std::chrono::duration_cast<time_span>(work) });
        }
        for (std::size_t i = 0; i < endpointCount; ++i) {
            const double factor = slow.contains(i) ? slowness : 1;
            demand.endpoints.push_back({ nameOf(i), 1, std::chrono::duration_cast<time_span>(usualWork * factor), usualWork, 0 });
        }
        m_assigner.addLoad(demand, m_now);
    }

    void obey(const write_record &action)
    {
        m_assigner.recordWritten(action.revision, true, m_now);
    }
    void obey(const note_decision & /*action*/)
    {
    }
    template<class Order>
    void obey(const Order &action)
    {
        m_assigner.orderDone(action.order, order_outcome::accepted, "handover", m_now);
    }

    monotonic_time m_now{ 100s };
    monotonic_time m_nextReport{};
    key_assigner m_assigner;
};

} // namespace

// Load pattern: two fifths of 570 endpoints become so slow that they end nothing in time, and the others have room. Half of the keys
// of the slow ones have moved within five seconds.
Test(assigner_load, keys_leave_many_slow_endpoints_within_seconds)
{
    std::set<std::size_t> slow;
    for (std::size_t i = 0; i < endpointCount; ++i) {
        if (i % 5 < 2) {
            slow.insert(i);
        }
    }
    obeyed_assigner assigner;
    assigner.run(6s, {}, 1);
    const double before = assigner.shareOf(slow);
    cr_assert(before > 0.3 && before < 0.5, "%.3f of the keys", before);
    assigner.run(5s, slow, 5.8);
    const double after = assigner.shareOf(slow);
    cr_expect(after < before / 2, "%.3f of the keys before, %.3f after", before, after);
}
