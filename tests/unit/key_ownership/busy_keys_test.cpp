#include "key_ownership/key_assigner.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t endpointCount = 165;
constexpr std::uint32_t slots = 6;
constexpr time_span tick = 20ms;
constexpr time_span work = 200ms;
constexpr double requestsPerSlotAndTick = 0.1;

double speedOf(std::size_t endpoint)
{
    return std::array{ 0.5, 1.0, 1.0, 1.5 }[endpoint % 4];
}

std::size_t indexOf(const endpoint_id &endpoint)
{
    return std::stoul(endpoint.value().substr(1));
}

time_span runTime(std::size_t endpoint)
{
    return std::chrono::duration_cast<time_span>(work / speedOf(endpoint));
}

/** Adjacent keys that get a share of all requests. */
struct busy_keys {
    key_range keys;
    double share = 0;
};

struct load_figures {
    /** Time until the demand beyond the capacity of the owners of the keys stayed below a tenth of its first value. */
    time_span relieved{};
    /** Requests beyond capacity. */
    double beyondCapacity = 0;
    std::map<std::string, std::size_t> movesByReason;
    /** Sum over all moves of their share of all keys. */
    double movedShare = 0;
};

/** An assigner and 165 endpoints in virtual time, with random requests that need half of the capacity. */
class load_simulation
{
public:
    load_simulation()
    {
        m_assigner.start(std::nullopt, 1, network_address("10.0.0.1:1"), {}, m_now);
        std::vector<listed_endpoint> listed(endpointCount);
        for (std::size_t i = 0; i < endpointCount; ++i) {
            listed[i].entry.incarnation = { endpoint_id("e" + std::to_string(i)), 1, network_address("10.0.1." + std::to_string(i) + ":1") };
            listed[i].entry.workerSlots = slots;
            m_demand += slots * speedOf(i) / 2;
        }
        m_assigner.setEndpoints(listed, m_now);
        for (std::size_t i = 0; i < m_reports.size(); ++i) {
            m_reports[i].instance = instance_id("i" + std::to_string(i));
        }
        run(12s, {});
    }

    /** Returns the figures of this time. The requests that @p busy does not get are spread over all keys. */
    load_figures run(time_span duration, busy_keys busy)
    {
        m_busy = busy;
        m_figures = {};
        const monotonic_time started = m_now;
        const double firstExcess = excess();
        while (m_now < started + duration) {
            arrive();
            m_now += tick;
            // Each instance reports every 0.4 s; together they do in each tick.
            load_report &due = m_reports[static_cast<std::size_t>(m_now.time_since_epoch() / tick) % m_reports.size()];
            m_assigner.addLoad(due, m_now);
            due.keys.clear();
            due.endpoints.clear();
            perform();
            m_figures.beyondCapacity += excess() * requestsPerSlotAndTick;
            m_figures.relieved = excess() >= firstExcess / 10 ? m_now - started : m_figures.relieved;
        }
        return m_figures;
    }

    std::size_t ranges() const
    {
        return m_assigner.current().assignments.size();
    }

    std::size_t ownerOf(std::uint32_t key) const
    {
        return indexOf(find(m_assigner.current(), key).owner.endpoint);
    }

private:
    static key_assignment find(const ownership_record &record, std::uint32_t key)
    {
        return *std::lower_bound(record.assignments.begin(), record.assignments.end(), key, [](const key_assignment &each, std::uint32_t value) {
            return each.keys.last < value;
        });
    }

    void arrive()
    {
        const ownership_record record = m_assigner.current();
        for (auto left = std::poisson_distribution<std::uint32_t>(m_demand * requestsPerSlotAndTick)(m_random); left > 0; --left) {
            const key_range keys = std::bernoulli_distribution(m_busy.share)(m_random) ? m_busy.keys : key_range();
            const auto key = std::uniform_int_distribution<std::uint32_t>(keys.first, keys.last)(m_random);
            load_report &report = m_reports[m_random() % m_reports.size()];
            report.keys.push_back({ key_number(static_cast<std::uint16_t>(key)), work });
            const key_assignment assigned = find(record, key);
            if (assigned.settled && !assigned.owner.endpoint.value().empty()) {
                report.endpoints.push_back({ assigned.owner.endpoint, 1, runTime(indexOf(assigned.owner.endpoint)), work, 0, {} });
            }
        }
    }

    void perform()
    {
        for (; !m_orders.empty() && m_orders.begin()->first <= m_now; m_orders.erase(m_orders.begin())) {
            m_assigner.orderDone(m_orders.begin()->second, { order_outcome::accepted, {}, {} }, m_now);
        }
        for (const assigner_action &action : m_assigner.act(true, m_now)) {
            if (const auto *write = std::get_if<write_record>(&action)) {
                m_assigner.recordWritten(write->revision, true, m_now);
            } else if (const auto *grant = std::get_if<send_grant>(&action)) {
                m_orders.emplace(m_now + tick, grant->order);
            } else if (const auto *release = std::get_if<send_release>(&action)) {
                m_orders.emplace(m_now + runTime(indexOf(release->endpoint.endpoint)), release->order);
            } else if (const auto *note = std::get_if<log_decision>(&action); note != nullptr && note->event == "keys_moved") {
                const std::string &keys = note->fields[0].second;
                m_figures.movedShare += (std::stod(keys.substr(keys.find('-') + 1)) - std::stod(keys) + 1) / keyCount;
                ++m_figures.movesByReason[note->fields[3].second];
            }
        }
    }

    double demand(key_range keys) const
    {
        const double first = std::max(keys.first, m_busy.keys.first);
        const double last = std::min(keys.last, m_busy.keys.last);
        const double busy = std::max(0.0, last - first + 1) / (m_busy.keys.last - m_busy.keys.first + 1);
        return m_demand * (m_busy.share * busy + (1 - m_busy.share) * (keys.last - keys.first + 1) / keyCount);
    }

    double excess() const
    {
        std::array<double, endpointCount> demands{};
        for (const key_assignment &each : m_assigner.current().assignments) {
            if (each.settled && !each.owner.endpoint.value().empty()) {
                demands[indexOf(each.owner.endpoint)] += demand(each.keys);
            }
        }
        double result = 0;
        for (std::size_t i = 0; i < endpointCount; ++i) {
            result += std::max(0.0, demands[i] - slots * speedOf(i));
        }
        return result;
    }

    double m_demand = 0;
    key_assigner m_assigner{ service_id("s"), {} };
    monotonic_time m_now{ 100s };
    busy_keys m_busy;
    std::array<load_report, 20> m_reports;
    std::multimap<monotonic_time, order_id> m_orders;
    std::mt19937_64 m_random{ 7 };
    load_figures m_figures;
};

} // namespace

// Guards against a load of 5 s that ends before it is spread (2,300 requests beyond capacity with one part of a range in each plan), and
// against ranges that stay after it.
Test(busy_keys, two_hundred_adjacent_keys_are_spread_in_time)
{
    load_simulation simulation;
    const load_figures figures = simulation.run(5s, { { 30000, 30199 }, 0.35 });
    cr_expect(figures.relieved <= 2s, "%ld us", figures.relieved.count());
    cr_expect(figures.beyondCapacity < 1000, "%.0f requests", figures.beyondCapacity);
    cr_expect(figures.movedShare < 0.13, "%.3f of the keys", figures.movedShare);
    simulation.run(20s, {});
    cr_expect_leq(simulation.ranges(), 2 * endpointCount + 16);
}

// Guards against parts that are too large to spread keys of which each needs half an endpoint.
Test(busy_keys, sixty_adjacent_keys_are_spread_in_time)
{
    load_simulation simulation;
    const load_figures figures = simulation.run(4s, { { 30000, 30059 }, 0.35 });
    cr_expect(figures.relieved <= 2400ms, "%ld us", figures.relieved.count());
    cr_expect(figures.beyondCapacity < 1000, "%.0f requests", figures.beyondCapacity);
}

// Guards against spreading both loads anew each time, and against a number of ranges that grows with each load.
Test(busy_keys, alternating_ranges_stay_spread)
{
    load_simulation simulation;
    double moved = 0;
    double beyond = 0;
    for (std::uint32_t i = 0; i < 6; ++i) {
        const std::uint32_t first = i % 2 == 0 ? 10000 : 50000;
        const load_figures figures = simulation.run(5s, { { first, first + 199 }, 0.35 });
        moved += figures.movedShare;
        beyond += figures.beyondCapacity;
    }
    // One part in each plan moved 0.44 of the keys, with 4,900 requests beyond capacity.
    cr_expect(moved < 0.44, "%.3f of the keys", moved);
    cr_expect(beyond < 2500, "%.0f requests", beyond);
    simulation.run(20s, {});
    cr_expect_leq(simulation.ranges(), 2 * endpointCount + 40);
}

// Guards against a key that overloads its owner while a faster endpoint exists, and that moves again and again because it overloads that one, too.
Test(busy_keys, overloaded_key_moves_to_a_fast_endpoint_once)
{
    load_simulation simulation;
    std::uint32_t key = 30000;
    while (speedOf(simulation.ownerOf(key)) > 1) {
        key += 100;
    }
    const load_figures figures = simulation.run(12s, { { key, key }, 0.16 });
    cr_expect_eq(figures.movesByReason.at("fast_owner"), 1U);
    cr_expect_eq(speedOf(simulation.ownerOf(key)), 1.5);
}
