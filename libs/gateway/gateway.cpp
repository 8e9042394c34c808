#include "gateway/gateway.h"

#include "gateway/detail/gateway_state.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>

namespace sycamoretray
{

using detail::request_state;
using detail::waiting_request;

namespace
{

// A request that has less time than this left would only be cancelled at the endpoint.
constexpr time_span leastTimeLeft = std::chrono::milliseconds(15);
// A full endpoint is asked again after this time.
constexpr time_span fullRetryDelay = std::chrono::milliseconds(60);
// Requests for keys without a known owner wait for this part of their time, then are refused.
constexpr double parkedPart = 0.5;
constexpr time_span shortRetryAfter = std::chrono::milliseconds(150);
constexpr time_span usualRetryAfter = std::chrono::milliseconds(400);
constexpr time_span longestRetryAfter = std::chrono::seconds(2);
// Sending to another zone is worth it if it saves more than this many times the usual time of the request. Latency targets leave
// about twice the usual time for waiting, and bytes between zones are paid for.
constexpr double zonePenalty = 1.5;
// An attempt that is given up after this many usual times shows that its endpoint is slow.
constexpr int slowAttempt = 2;
// Wait in the own zone, in usual times, for which a permit of another zone is asked for instead.
constexpr double zoneWait = 0.3;
// Other zones that are asked for a permit before the request waits in its own.
constexpr std::uint32_t otherZonesAsked = 2;
// A request is refused at once if it is expected to take longer than this part of its latency target.
constexpr double acceptedLateness = 1.25;
// The same for requests with permits: a queue that is known as a whole predicts their time better.
constexpr double permitLateness = 1.1;

std::string milliseconds(time_span span)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

} // namespace

struct gateway::impl : detail::gateway_state {
    impl(gateway_settings givenSettings, endpoint_port &givenPort, gateway_log givenLog)
        : gateway_state(std::move(givenSettings), givenPort, std::move(givenLog))
    {
    }

    // --- arrival ---

    gateway_request_id submit(gateway_request request, std::function<void(gateway_answer)> answer, monotonic_time now)
    {
        const gateway_request_id id(++lastRequest);
        auto owned = std::make_unique<waiting_request>();
        waiting_request &subject = *owned;
        subject.id = id;
        subject.request = std::move(request);
        subject.answer = std::move(answer);
        subject.arrived = now;
        requests.emplace(id, std::move(owned));
        accept(subject, now);
        return id;
    }

    void accept(waiting_request &subject, monotonic_time now)
    {
        if (!routes) {
            refuse(subject, result_code::configuration_stale, usualRetryAfter, now);
            return;
        }
        const request_route *route = routes->find(subject.request.host, subject.request.path);
        if (route == nullptr) {
            refuse(subject, result_code::no_matching_service, std::nullopt, now);
            return;
        }
        subject.route = *route;
        subject.deadline = now + std::min(subject.request.timeLeft.value_or(route->timeout), route->timeout);
        subject.service = splits.choose(*route).service;
        const service_definition *definition = routes->service(subject.service);
        subject.byKey = definition != nullptr && definition->dividedByKey;
        allowance(subject.service).earn(now);
        if (subject.byKey && !subject.request.key) {
            refuse(subject, result_code::key_missing, std::nullopt, now);
            return;
        }
        if (requests.size() > settings.mostWaiting) {
            refuse(subject, result_code::queue_full, usualRetryAfter, now);
            return;
        }
        if (subject.byKey) {
            work.demanded(subject.service, *subject.request.key, times.of(subject.route));
        }
        wakeAt(subject, subject.deadline);
        place(subject, now);
    }

    /** Sends the request, queues it, or refuses it. */
    void place(waiting_request &subject, monotonic_time now)
    {
        withdraw(subject, now);
        unqueue(subject);
        if (now + leastTimeLeft >= subject.deadline) {
            expire(subject, now);
        } else if (subject.byKey) {
            placeByKey(subject, now);
        } else {
            placeAnywhere(subject, now);
        }
    }

    void placeByKey(waiting_request &subject, monotonic_time now)
    {
        const key_owner owner = ownership.find(subject.service, *subject.request.key);
        detail::gate_entry *gate = owner.known && owner.settled ? gateOf(owner.owner) : nullptr;
        if (gate == nullptr || !mayUse(*gate, now)) {
            park(subject, owner, now);
            return;
        }
        enqueue(subject, detail::pool_key(owner.owner), now);
    }

    void placeAnywhere(waiting_request &subject, monotonic_time now)
    {
        enqueue(subject, detail::pool_key(subject.service), now);
    }

    void enqueue(waiting_request &subject, const detail::pool_key &pool, monotonic_time now)
    {
        if (!askForPermit(subject, pool, now)) {
            enqueueHere(subject, pool, now);
        }
    }

    // --- permits ---

    /** Returns false if no permit is needed. */
    bool askForPermit(waiting_request &subject, const detail::pool_key &pool, monotonic_time now)
    {
        if (permits == nullptr) {
            return false;
        }
        permit_request question;
        question.id = permit_id(lastPermit + 1);
        question.service = subject.service;
        question.owner = pool.endpoint;
        question.key = subject.byKey ? subject.request.key : std::nullopt;
        question.priority = subject.route.priority;
        question.usual = times.of(subject.route);
        question.useful = usefulTime(subject, permitLateness, now);
        question.tried.assign(subject.tried.begin(), subject.tried.end());
        if (!subject.byKey && !chooseZone(subject, question)) {
            return false;
        }
        if (!permits->isUsed(question)) {
            return false;
        }
        ++lastPermit;
        subject.state = request_state::asking;
        subject.permit = question.id;
        subject.askedOwner = question.owner.value_or(endpoint_life());
        asking.emplace(question.id, subject.id);
        permits->ask(question, now);
        return true;
    }

    /** Time within which an answer is worth the work. */
    static time_span usefulTime(const waiting_request &subject, double lateness, monotonic_time now)
    {
        const auto target = std::chrono::duration_cast<time_span>(subject.route.latencyTarget * lateness);
        return std::min(subject.deadline - now, target - (now - subject.arrived));
    }

    /**
     * The own zone comes first, and the others if waiting there takes long. At last the request waits in its own zone as long as the answer is of use.
     * Returns false if no zone has endpoints.
     */
    bool chooseZone(const waiting_request &subject, permit_request &question)
    {
        const std::vector<availability_zone> &zones = zonesOfService[subject.service];
        if (zones.empty()) {
            return false;
        }
        const std::size_t asked = subject.zonesAsked;
        const std::size_t turns = std::min<std::size_t>(zones.size(), 1 + otherZonesAsked);
        if (asked >= turns || zones.size() == 1) {
            question.zone = zones.front();
            return true;
        }
        question.zone = zones[asked];
        question.useful = std::min(question.useful, std::chrono::duration_cast<time_span>(question.usual * (1 + zoneWait)));
        return true;
    }

    bool mayAskOtherZone(const waiting_request &subject)
    {
        const std::size_t zones = zonesOfService[subject.service].size();
        return !subject.byKey && zones > 1 && subject.zonesAsked < std::min<std::size_t>(zones, 1 + otherZonesAsked);
    }

    /** Takes the request that waits for @p permit, or returns nullptr. */
    waiting_request *takeAsking(permit_id permit)
    {
        const auto found = asking.find(permit);
        if (found == asking.end()) {
            return nullptr;
        }
        waiting_request *subject = requests.at(found->second).get();
        asking.erase(found);
        subject->state = request_state::parked;
        return subject;
    }

    void permitGranted(permit_id permit, const endpoint_life &life, monotonic_time now)
    {
        waiting_request *subject = takeAsking(permit);
        if (subject == nullptr) {
            return;
        }
        detail::gate_entry *gate = gateOf(life);
        const bool usable = gate != nullptr && mayUse(*gate, now) && (subject->byKey || !gate->gate.entry().draining);
        if (usable) {
            send(*subject, *gate, now);
            return;
        }
        // This instance and the keeper learn of changes at different times.
        returnPermit(*subject, {}, now);
        subject->retryAt = now + fullRetryDelay;
        subject->state = request_state::delayed;
        wakeAt(*subject, subject->retryAt);
    }

    void permitRefused(permit_id permit, time_span retryAfter, monotonic_time now)
    {
        waiting_request *subject = takeAsking(permit);
        if (subject == nullptr) {
            return;
        }
        subject->permit.reset();
        if (mayAskOtherZone(*subject)) {
            ++subject->zonesAsked;
            place(*subject, now);
            return;
        }
        refuse(*subject, result_code::deadline_unreachable, std::clamp(retryAfter, shortRetryAfter, longestRetryAfter), now);
    }

    void permitUnavailable(permit_id permit, monotonic_time now)
    {
        waiting_request *subject = takeAsking(permit);
        if (subject == nullptr) {
            return;
        }
        subject->permit.reset();
        if (!subject->byKey) {
            enqueueHere(*subject, detail::pool_key(subject->service), now);
            return;
        }
        const key_owner owner = ownership.find(subject->service, *subject->request.key);
        enqueueHere(*subject, detail::pool_key(owner.owner), now);
    }

    /** Ends the wait for a permit. */
    void withdraw(waiting_request &subject, monotonic_time now)
    {
        if (subject.state == request_state::asking) {
            asking.erase(*subject.permit);
            subject.state = request_state::parked;
        }
        returnPermit(subject, {}, now);
    }

    void returnPermit(waiting_request &subject, const permit_result &result, monotonic_time now)
    {
        if (subject.permit) {
            permits->giveBack(*subject.permit, result, now);
            subject.permit.reset();
        }
    }

    static permit_result permitResult(const endpoint_reply &reply)
    {
        return { true, reply.kind, reply.sent, reply.misdirected, reply.response.status, reply.load };
    }

    // --- queues of this instance ---

    void enqueueHere(waiting_request &subject, const detail::pool_key &pool, monotonic_time now)
    {
        const time_span wait = expectedWait(subject, pool, now);
        // Late answers are worth little, and each one makes the requests behind it late as well.
        if (wait + times.of(subject.route) > usefulTime(subject, acceptedLateness, now) && wait > time_span::zero()) {
            refuse(subject, result_code::deadline_unreachable, std::clamp(wait, shortRetryAfter, longestRetryAfter), now);
            return;
        }
        subject.state = request_state::queued;
        subject.pool = pool;
        pools[pool].insert(detail::queue_position(subject));
        pump(pool, now);
    }

    /** Time until the requests before this one have been sent. */
    time_span expectedWait(const waiting_request &subject, const detail::pool_key &pool, monotonic_time now)
    {
        const auto queue = pools.find(pool);
        std::size_t ahead = 0;
        if (queue != pools.end()) {
            ahead = static_cast<std::size_t>(std::distance(queue->second.begin(), queue->second.lower_bound(detail::queue_position(subject))));
        }
        double rate = 0;
        bool room = false;
        monotonic_time opensAt = monotonic_time::max();
        for (detail::gate_entry *gate : gatesOf(pool)) {
            if (!gate->gate.isListed() || (!subject.byKey && gate->gate.entry().draining)) {
                continue;
            }
            room = room || (ahead == 0 && gate->gate.hasRoom(now));
            opensAt = std::min(opensAt, gate->gate.blockedUntil());
            const time_span each = gate->gate.expectedTime(times.of(subject.route), now);
            rate += 1 / std::max(1.0, static_cast<double>(each.count()));
        }
        if (room || rate <= 0) {
            return time_span::zero();
        }
        const time_span untilOpen = opensAt == monotonic_time::max() ? time_span::zero() : std::max(time_span::zero(), opensAt - now);
        return std::max(untilOpen, time_span(static_cast<std::int64_t>((static_cast<double>(ahead) + 0.5) / rate)));
    }

    void park(waiting_request &subject, const key_owner &owner, monotonic_time now)
    {
        if (owner.known && !owner.settled && owner.lapse > time_span::zero()) {
            const time_span left = owner.lapse - (now - ownershipSince);
            if (now + left + times.of(subject.route) > subject.deadline) {
                refuse(subject, result_code::no_owner, std::clamp(left, shortRetryAfter, longestRetryAfter), now);
                return;
            }
        }
        if (subject.parkedUntil == monotonic_time{}) {
            subject.parkedUntil = now + std::chrono::duration_cast<time_span>((subject.deadline - now) * parkedPart);
        }
        if (now >= subject.parkedUntil) {
            refuse(subject, result_code::no_owner, shortRetryAfter, now);
            return;
        }
        subject.state = request_state::parked;
        parked.insert(subject.id);
        wakeAt(subject, subject.parkedUntil);
    }

    // --- sending ---

    void pump(const detail::pool_key &pool, monotonic_time now)
    {
        while (true) {
            const auto queue = pools.find(pool);
            if (queue == pools.end()) {
                return;
            }
            if (queue->second.empty()) {
                pools.erase(queue);
                return;
            }
            waiting_request &next = *requests.at(queue->second.begin()->id);
            detail::gate_entry *gate = chooseGate(next, pool, now);
            if (gate == nullptr) {
                wakePool(pool, now);
                return;
            }
            queue->second.erase(queue->second.begin());
            send(next, *gate, now);
        }
    }

    detail::gate_entry *chooseGate(const waiting_request &subject, const detail::pool_key &pool, monotonic_time now)
    {
        detail::gate_entry *best = nullptr;
        time_span bestCost{};
        const time_span usual = times.of(subject.route);
        for (detail::gate_entry *gate : gatesOf(pool)) {
            const bool usable = subject.byKey ? mayUse(*gate, now) && gate->gate.hasRoom(now) : gate->gate.takesNewWork(now);
            if (!usable) {
                continue;
            }
            time_span cost = gate->gate.expectedTime(usual, now);
            if (gate->gate.entry().zone != settings.zone) {
                cost += std::chrono::duration_cast<time_span>(usual * zonePenalty);
            }
            if (subject.tried.contains(gate->gate.entry().life.endpoint)) {
                cost += usual * 4;
            }
            if (best == nullptr || cost < bestCost) {
                best = gate;
                bestCost = cost;
            }
        }
        return best;
    }

    void send(waiting_request &subject, detail::gate_entry &gate, monotonic_time now)
    {
        if (now + leastTimeLeft >= subject.deadline) {
            subject.state = request_state::parked;
            expire(subject, now);
            return;
        }
        subject.state = request_state::in_flight;
        subject.attempt = endpoint_attempt_id(++lastAttempt);
        subject.sentAt = now;
        subject.endpoint = gate.gate.entry().life;
        ++subject.attempts;
        subject.tried.insert(subject.endpoint.endpoint);
        attempts.emplace(subject.attempt, subject.id);
        gate.gate.sent();
        port.send(subject.attempt, gate.gate.entry(), subject.request, subject.deadline - now);
    }

    // --- replies ---

    void replied(endpoint_attempt_id attempt, endpoint_reply reply, monotonic_time now)
    {
        const auto found = attempts.find(attempt);
        if (found == attempts.end()) {
            return;
        }
        waiting_request &subject = *requests.at(found->second);
        attempts.erase(found);
        const endpoint_life endpoint = subject.endpoint;
        returnPermit(subject, permitResult(reply), now);
        noteReply(subject, reply, now);
        settleReply(subject, std::move(reply), now);
        pump(detail::pool_key(endpoint), now);
        if (const detail::gate_entry *gate = gateOf(endpoint)) {
            pump(detail::pool_key(gate->gate.entry().service), now);
        }
        forgetUnlisted();
    }

    void noteReply(const waiting_request &subject, const endpoint_reply &reply, monotonic_time now)
    {
        detail::gate_entry *gate = gateOf(subject.endpoint);
        const time_span taken = now - subject.sentAt;
        if (reply.kind != reply_kind::answered) {
            if (gate != nullptr) {
                gate->gate.failed(reply, now);
            }
            work.failed(subject.service, subject.endpoint.endpoint);
            return;
        }
        const time_span usual = times.of(subject.route);
        if (gate != nullptr) {
            gate->gate.answered(reply, taken, usual, now);
        }
        if (reply.response.status >= 500) {
            work.failed(subject.service, subject.endpoint.endpoint);
        } else {
            work.answered(subject.service, subject.endpoint.endpoint, taken, usual);
            times.answered(subject.route.name, taken);
        }
    }

    void settleReply(waiting_request &subject, endpoint_reply reply, monotonic_time now)
    {
        subject.state = request_state::parked;
        if (reply.kind == reply_kind::answered) {
            if (reply.response.status >= 500 && subject.route.idempotent && mayRepeat(subject, now)) {
                logAttempt(subject, reply, "repeat", now);
                place(subject, now);
                return;
            }
            gateway_answer answer;
            answer.response = std::move(reply.response);
            finish(subject, std::move(answer), now);
            return;
        }
        if (reply.kind == reply_kind::failed) {
            settleFailure(subject, reply, now);
        } else {
            settleNotRun(subject, reply, now);
        }
    }

    void settleFailure(waiting_request &subject, const endpoint_reply &reply, monotonic_time now)
    {
        subject.mayHaveRun = true;
        if (subject.route.idempotent && mayRepeat(subject, now)) {
            logAttempt(subject, reply, "repeat", now);
            place(subject, now);
            return;
        }
        logAttempt(subject, reply, "give_up", now);
        gateway_answer answer;
        answer.code = reply.code;
        finish(subject, std::move(answer), now);
    }

    void settleNotRun(waiting_request &subject, const endpoint_reply &reply, monotonic_time now)
    {
        // What was never sent costs no endpoint anything, so that it needs no allowance.
        const bool repeat = reply.sent ? hasTimeFor(subject, now) && allowance(subject.service).spend(now) : hasTimeFor(subject, now);
        logAttempt(subject, reply, repeat ? "repeat" : "give_up", now);
        const bool hadRoom = refusedWithRoom(reply);
        if (!repeat) {
            refuse(subject, result_code::refused_by_server, hadRoom ? shortRetryAfter : usualRetryAfter, now);
            return;
        }
        if (reply.misdirected && subject.byKey) {
            // The endpoint no longer holds the key: the record that says who does is on its way.
            subject.retryAt = now + fullRetryDelay;
        } else if (subject.byKey && !hadRoom) {
            subject.retryAt = now + (reply.sent ? fullRetryDelay : fullRetryDelay / 2);
        } else {
            place(subject, now);
            return;
        }
        subject.state = request_state::delayed;
        wakeAt(subject, subject.retryAt);
    }

    bool hasTimeFor(const waiting_request &subject, monotonic_time now) const
    {
        return now + times.of(subject.route) / 2 < subject.deadline;
    }

    bool mayRepeat(const waiting_request &subject, monotonic_time now)
    {
        return subject.attempts < subject.route.maxAttempts && hasTimeFor(subject, now) && allowance(subject.service).spend(now);
    }

    // --- ends ---

    void expire(waiting_request &subject, monotonic_time now)
    {
        if (subject.state == request_state::in_flight) {
            abandon(subject, now);
            gateway_answer answer;
            answer.code = result_code::deadline_while_running;
            finish(subject, std::move(answer), now);
            return;
        }
        refuse(subject, result_code::deadline_unreachable, shortRetryAfter, now);
    }

    /** Ends a request without an answer of an endpoint. */
    void refuse(waiting_request &subject, result_code code, std::optional<time_span> retryAfter, monotonic_time now)
    {
        gateway_answer answer;
        if (subject.mayHaveRun && outcomeClass(code) == request_outcome_class::not_run) {
            answer.code = result_code::server_connection_lost;
        } else {
            answer.code = code;
            answer.retryAfter = retryAfter;
        }
        finish(subject, std::move(answer), now);
    }

    void finish(waiting_request &subject, gateway_answer answer, monotonic_time now)
    {
        if (!answer.response) {
            log("request_refused",
                { { "id", subject.request.id.value() },
                  { "route", subject.route.name },
                  { "service", subject.service.value() },
                  { "key", subject.request.key ? std::to_string(subject.request.key->value()) : "" },
                  { "code", std::string(resultName(answer.code)) },
                  { "endpoint", subject.endpoint.endpoint.value() },
                  { "attempts", std::to_string(subject.attempts) },
                  { "held_ms", milliseconds(now - subject.arrived) },
                  { "config", routes ? std::to_string(routes->version()) : "" } });
        }
        withdraw(subject, now);
        const auto answerFunction = std::move(subject.answer);
        remove(subject);
        answerFunction(std::move(answer));
    }

    void logAttempt(const waiting_request &subject, const endpoint_reply &reply, std::string_view decision, monotonic_time now)
    {
        log("attempt_failed",
            { { "id", subject.request.id.value() },
              { "endpoint", subject.endpoint.endpoint.value() },
              { "code", std::string(resultName(reply.code)) },
              { "status", std::to_string(reply.response.status) },
              { "sent", reply.sent ? "true" : "false" },
              { "attempt", std::to_string(subject.attempts) },
              { "taken_ms", milliseconds(now - subject.sentAt) },
              { "decision", std::string(decision) } });
    }

    void cancel(gateway_request_id id, monotonic_time now)
    {
        const auto found = requests.find(id);
        if (found == requests.end()) {
            return;
        }
        waiting_request &subject = *found->second;
        const bool inFlight = subject.state == request_state::in_flight;
        const endpoint_life endpoint = subject.endpoint;
        if (inFlight) {
            abandon(subject, now);
        }
        withdraw(subject, now);
        remove(subject);
        if (inFlight) {
            pumpAfter(endpoint, now);
        }
    }

    /** Gives up the attempt that is under way. */
    void abandon(waiting_request &subject, monotonic_time now)
    {
        const time_span taken = now - subject.sentAt;
        const time_span usual = times.of(subject.route);
        if (taken > usual * slowAttempt) {
            // It would have taken longer still; without this, an endpoint that ends nothing in time would pass for one without requests.
            work.answered(subject.service, subject.endpoint.endpoint, taken, usual);
        }
        returnPermit(subject, {}, now);
        attempts.erase(subject.attempt);
        port.abort(subject.attempt);
        if (detail::gate_entry *gate = gateOf(subject.endpoint)) {
            gate->gate.aborted({}, {});
        }
    }

    void pumpAfter(const endpoint_life &endpoint, monotonic_time now)
    {
        pump(detail::pool_key(endpoint), now);
        if (const detail::gate_entry *gate = gateOf(endpoint)) {
            pump(detail::pool_key(gate->gate.entry().service), now);
        }
    }

    // --- time ---

    void advance(monotonic_time now)
    {
        while (!timers.empty() && timers.begin()->first <= now) {
            const detail::timer due = timers.begin()->second;
            timers.erase(timers.begin());
            if (due.pool) {
                poolTimers.erase(*due.pool);
                pump(*due.pool, now);
                continue;
            }
            const auto found = requests.find(due.request);
            if (found != requests.end()) {
                wake(*found->second, now);
            }
        }
    }

    void wake(waiting_request &subject, monotonic_time now)
    {
        if (now >= subject.deadline) {
            const bool inFlight = subject.state == request_state::in_flight;
            const endpoint_life endpoint = subject.endpoint;
            expire(subject, now);
            if (inFlight) {
                pumpAfter(endpoint, now);
            }
            return;
        }
        const bool retryDue = subject.state == request_state::delayed && now >= subject.retryAt;
        const bool parkedTooLong = subject.state == request_state::parked && subject.parkedUntil != monotonic_time{} && now >= subject.parkedUntil;
        if (retryDue || parkedTooLong) {
            place(subject, now);
        }
    }

    /** Places again what waits for keys, after the owners or the endpoints changed. */
    void replaceWaiting(monotonic_time now)
    {
        std::vector<gateway_request_id> waiting(parked.begin(), parked.end());
        for (const auto &[pool, queue] : pools) {
            const detail::gate_entry *gate = pool.endpoint ? gateOf(*pool.endpoint) : nullptr;
            for (const detail::queue_position &position : queue) {
                const waiting_request &subject = *requests.at(position.id);
                const key_owner owner = subject.byKey ? ownership.find(subject.service, *subject.request.key) : key_owner{};
                if (subject.byKey && (gate == nullptr || !owner.settled || !(owner.owner == *pool.endpoint) || !mayUse(*gate, now))) {
                    waiting.push_back(position.id);
                }
            }
        }
        for (const auto &[permit, id] : asking) {
            const waiting_request &subject = *requests.at(id);
            if (subject.byKey) {
                const key_owner owner = ownership.find(subject.service, *subject.request.key);
                const detail::gate_entry *gate = owner.settled ? gateOf(owner.owner) : nullptr;
                if (gate == nullptr || !(owner.owner == subject.askedOwner) || !mayUse(*gate, now)) {
                    waiting.push_back(id);
                }
            }
        }
        for (const gateway_request_id &id : waiting) {
            // Placing one request can send others of the same queue.
            const auto found = requests.find(id);
            const bool waits = found != requests.end()
                && (found->second->state == request_state::parked || found->second->state == request_state::queued
                    || found->second->state == request_state::asking);
            if (waits) {
                place(*found->second, now);
            }
        }
        std::vector<detail::pool_key> open;
        for (const auto &[pool, queue] : pools) {
            open.push_back(pool);
        }
        for (const detail::pool_key &pool : open) {
            pump(pool, now);
        }
    }
};

gateway::gateway(gateway_settings settings, endpoint_port &port, gateway_log log)
    : d(std::make_unique<impl>(std::move(settings), port, std::move(log)))
{
}

gateway::~gateway() = default;

void gateway::setPermits(permit_source &source)
{
    d->permits = &source;
}

void gateway::permitGranted(permit_id permit, const endpoint_id &endpoint, std::uint64_t startedAtMs, monotonic_time now)
{
    d->permitGranted(permit, { endpoint, startedAtMs, {} }, now);
}

void gateway::permitRefused(permit_id permit, time_span retryAfter, monotonic_time now)
{
    d->permitRefused(permit, retryAfter, now);
}

void gateway::permitUnavailable(permit_id permit, monotonic_time now)
{
    d->permitUnavailable(permit, now);
}

void gateway::setInstances(std::uint32_t count)
{
    d->knownInstances = count;
    d->setInstances(std::max(d->instances, count));
}

void gateway::setRoutes(std::shared_ptr<const request_routes> routes, monotonic_time /*now*/)
{
    d->routes = std::move(routes);
}

void gateway::setEndpoints(const std::map<endpoint_id, listed_endpoint> &endpoints, monotonic_time now)
{
    d->updateGates(endpoints);
    d->replaceWaiting(now);
}

void gateway::setOwnership(const ownership_view &ownership, monotonic_time now)
{
    d->ownership = ownership;
    d->ownershipSince = now;
    for (const auto &[service, record] : ownership.records()) {
        d->setInstances(std::max(record.instances, d->knownInstances));
    }
    d->replaceWaiting(now);
}

gateway_request_id gateway::submit(gateway_request request, std::function<void(gateway_answer)> answer, monotonic_time now)
{
    return d->submit(std::move(request), std::move(answer), now);
}

void gateway::cancel(gateway_request_id request, monotonic_time now)
{
    d->cancel(request, now);
}

void gateway::replied(endpoint_attempt_id attempt, endpoint_reply reply, monotonic_time now)
{
    d->replied(attempt, std::move(reply), now);
}

void gateway::advance(monotonic_time now)
{
    d->advance(now);
}

monotonic_time gateway::nextDue() const
{
    return d->timers.empty() ? monotonic_time::max() : d->timers.begin()->first;
}

void gateway::finishAll(monotonic_time now)
{
    std::vector<gateway_request_id> ids;
    for (const auto &[id, request] : d->requests) {
        ids.push_back(id);
    }
    for (const gateway_request_id &id : ids) {
        const auto found = d->requests.find(id);
        if (found == d->requests.end()) {
            continue;
        }
        waiting_request &subject = *found->second;
        if (subject.state == request_state::in_flight) {
            d->expire(subject, now);
        } else {
            d->refuse(subject, result_code::instance_stopping, shortRetryAfter, now);
        }
    }
}

std::size_t gateway::unfinished() const noexcept
{
    return d->requests.size();
}

std::vector<load_report> gateway::takeLoadReports()
{
    return d->work.take(d->settings.instance);
}

std::string gateway::dump(monotonic_time now) const
{
    return d->dump(now);
}

} // namespace sycamoretray
