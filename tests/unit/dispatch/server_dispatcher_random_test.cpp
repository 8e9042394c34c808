#include "dispatch/server_dispatcher.h"
#include "routing/hash_slots.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <iostream>
#include <map>
#include <random>
#include <set>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

/** Actual state of a request, known only to the simulated server. */
struct actual_state {
    dispatch_request request;
    bool maySent = false;
    bool ran = false;
    int finished = 0;
};

/** Simulates random callers and a random server for one dispatcher; checks the invariants after each event. */
class random_run
{
public:
    random_run(std::uint64_t seed, int steps)
        : m_random(seed)
        , m_settings{ .workerSlots = 1 + static_cast<std::uint32_t>(seed % 4),
                      .queuedRequests = 40,
                      .queuedBytes = 6000,
                      .deduplicationEntries = 60,
                      .duplicateAnswerBytes = 2000,
                      .seed = seed }
        , m_dispatcher(m_settings, m_wallNow - 1h)
    {
        handle(valid_until_changed{ home_term(1), m_now + 1s });
        for (int i = 0; i < steps; ++i) {
            step();
        }
        // The remaining requests finish when the server answers and the deadlines pass.
        handle(slots_released{ m_held });
        while (!m_running.empty()) {
            endRunning(0);
        }
        advanceTime(1h);
        for (const auto &[id, each] : m_requests) {
            require(each.finished == 1, "finished exactly once", id);
        }
        require(m_dispatcher.queuedCount() == 0 && m_dispatcher.runningCount() == 0, "empty at the end", dispatch_id());
    }

private:
    std::uint64_t draw(std::uint64_t below)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, below - 1)(m_random);
    }

    static std::string identity(const dispatch_request &request)
    {
        return request.requestId.value() + "/" + request.key;
    }

    void require(bool condition, const std::string &what, dispatch_id id)
    {
        if (!condition) {
            throw std::runtime_error(what + " violated by request " + std::to_string(id.value()));
        }
    }

    void advanceTime(time_span by)
    {
        m_now += by;
        m_wallNow += std::chrono::duration_cast<std::chrono::milliseconds>(by);
        handle(dispatch_tick{});
    }

    void step()
    {
        advanceTime(time_span(draw(3000)));
        switch (draw(20)) {
        case 0:
            handle(valid_until_changed{ home_term(1), draw(3) == 0 ? m_now : m_now + 200ms });
            break;
        case 1:
            m_held = { slotOfKey("k" + std::to_string(draw(4))) };
            handle(slots_held{ m_held });
            break;
        case 2:
            handle(slots_released{ m_held });
            break;
        case 3:
            handle(caller_disconnected{ dispatch_id(1 + draw(m_lastId + 1)) });
            break;
        case 4:
            transferQueued();
            break;
        case 5:
            handle(crashes_reported{ request_fingerprint(draw(50)), static_cast<std::uint32_t>(draw(3)), 20ms });
            break;
        default:
            if (draw(3) != 0) {
                arrive();
            } else if (!m_running.empty()) {
                endRunning(static_cast<std::size_t>(draw(m_running.size())));
            }
        }
    }

    void arrive()
    {
        actual_state actual;
        dispatch_request &request = actual.request;
        request.id = dispatch_id(++m_lastId);
        request.key = "k" + std::to_string(draw(4));
        request.slot = slotOfKey(request.key);
        request.customer = customer_id("c" + std::to_string(draw(3)));
        request.requestClass = static_cast<std::uint32_t>(draw(3));
        request.nonIdempotent = draw(2) == 0;
        request.callerSuppliedId = draw(4) != 0;
        // Few ids, so that duplicates are frequent.
        request.requestId = request_id(request.callerSuppliedId ? "id" + std::to_string(draw(300)) : "own" + std::to_string(m_lastId));
        request.created = m_wallNow - std::chrono::milliseconds(draw(50));
        request.deadline = m_now + time_span(draw(100'000));
        request.fingerprint = request_fingerprint(draw(50));
        request.bytes = draw(500);
        const dispatch_request copy = request;
        m_requests.emplace(request.id, std::move(actual));
        handle(copy);
    }

    void endRunning(std::size_t position)
    {
        const dispatch_id id = m_running[position];
        actual_state &actual = m_requests.at(id);
        m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(position));
        switch (draw(8)) {
        case 0:
            handle(server_refused{ id });
            break;
        case 1:
            handle(attempt_failed{ id, false, result_code::server_connection_lost });
            break;
        case 2:
            run(actual);
            handle(attempt_failed{ id, true, draw(2) == 0 ? result_code::answer_truncated : result_code::server_connection_lost });
            break;
        default:
            run(actual);
            handle(server_answered{ id, nullptr, draw(500) });
        }
    }

    void run(actual_state &actual)
    {
        actual.ran = true;
        const dispatch_request &request = actual.request;
        if (request.nonIdempotent) {
            const std::string id = identity(request);
            require(m_ranOnce.insert(id).second, "at most once", request.id);
            const auto lastIdBefore = m_answeredNotRun.find(id);
            require(lastIdBefore == m_answeredNotRun.end() || request.id.value() > lastIdBefore->second,
                    "an id answered not run runs only for a later duplicate",
                    request.id);
        }
    }

    void transferQueued()
    {
        const std::vector<hash_slot> slots = draw(2) == 0 ? m_held : std::vector<hash_slot>{};
        for (const dispatch_request &each : m_dispatcher.takeQueued(slots)) {
            actual_state &actual = m_requests.at(each.id);
            require(!actual.ran, "only requests that did not run are handed over", each.id);
            require(++actual.finished == 1, "finished exactly once", each.id);
        }
    }

    void handle(dispatch_event event)
    {
        std::vector<dispatch_action> actions;
        m_dispatcher.handle(std::move(event), m_now, m_wallNow, actions);
        for (const dispatch_action &each : actions) {
            if (const auto *sent = std::get_if<send_request>(&each)) {
                require(m_requests.at(sent->id).finished == 0, "no send after the outcome", sent->id);
                m_running.push_back(sent->id);
            } else if (const auto *finished = std::get_if<finish_request>(&each)) {
                check(*finished);
            }
        }
        require(m_running.size() == m_dispatcher.runningCount() && m_running.size() <= m_settings.workerSlots, "limit of running requests", dispatch_id());
        require(m_dispatcher.queuedCount() <= m_settings.queuedRequests + m_settings.workerSlots, "limit of queued requests", dispatch_id());
        require(
            m_dispatcher.exportDeduplicationEntries({}).duplicates.size() <= m_settings.deduplicationEntries, "limit of deduplication entries", dispatch_id());
    }

    void check(const finish_request &finished)
    {
        actual_state &actual = m_requests.at(finished.id);
        require(++actual.finished == 1, "finished exactly once", finished.id);
        const bool running = std::find(m_running.begin(), m_running.end(), finished.id) != m_running.end();
        if (outcomeClass(finished.code) == request_outcome_class::not_run) {
            require(!actual.ran && !running, "not run is correct", finished.id);
            if (actual.request.nonIdempotent) {
                require(!m_ranOnce.contains(identity(actual.request)), "not run is correct for the id", finished.id);
                m_answeredNotRun[identity(actual.request)] = m_lastId;
            }
        }
        if (finished.code == result_code::ok && !actual.ran) {
            require(m_ranOnce.contains(identity(actual.request)), "answers come from a run", finished.id);
        }
    }

    std::mt19937_64 m_random;
    dispatcher_settings m_settings;
    monotonic_time m_now{ 100s };
    wall_time m_wallNow{ 2'000'000s };
    server_dispatcher m_dispatcher;
    std::vector<hash_slot> m_held;
    std::uint64_t m_lastId = 0;
    std::map<dispatch_id, actual_state> m_requests;
    std::vector<dispatch_id> m_running;
    std::set<std::string> m_ranOnce;
    /** For an id answered "not run", the last request that had arrived by then. */
    std::map<std::string, std::uint64_t> m_answeredNotRun;
};

} // namespace

// Guards against missing or repeated outcomes, a wrong "not run", second runs of an id and unbounded queues.
Test(server_dispatcher, invariants_hold_in_random_runs)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        try {
            random_run(seed, 2000);
        } catch (const std::exception &failure) {
            cr_expect_fail("seed %lu: %s", static_cast<unsigned long>(seed), failure.what());
        }
    }
    std::cout << "seeds 1 to 300, 2000 steps each\n";
}

// Guards against the same faults; rapidcheck shrinks a failing run to a short one.
Test(server_dispatcher, invariants_hold_in_generated_runs)
{
    cr_expect(rc::check("invariants hold", [](std::uint32_t seed) {
        const int steps = *rc::gen::inRange(1, 400);
        random_run(seed, steps);
    }));
}
