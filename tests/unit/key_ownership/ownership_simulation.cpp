#include "ownership_simulation.h"

#include <algorithm>
#include <iostream>
#include <utility>

namespace sycamoretray
{

namespace
{

constexpr std::size_t watchedKeyCount = 48;
constexpr time_span tickInterval = std::chrono::milliseconds(10);
constexpr time_span orderTimeout = std::chrono::milliseconds(250);
constexpr time_span memberTimeToLive = std::chrono::seconds(1);
constexpr time_span joinInterval = std::chrono::milliseconds(350);

std::uint32_t watchedKey(std::size_t index)
{
    return static_cast<std::uint32_t>(index * (keyCount / watchedKeyCount) + 17);
}

} // namespace

ownership_simulation::ownership_simulation(simulation_options options)
    : m_options(options)
    , m_random(options.seed)
    , m_acceptedTokens(watchedKeyCount)
    , m_lastServed(watchedKeyCount)
{
    for (std::size_t i = 0; i < m_options.endpoints; ++i) {
        process each;
        each.incarnation = { endpoint_id("e" + std::to_string(i)), ++m_lastStartedAtMs, network_address("10.0.0." + std::to_string(i + 1) + ":80") };
        each.clockRate = 1 - 0.02 * static_cast<double>(i % 3) / 2;
        each.keys.resize(watchedKeyCount);
        each.listedIncarnation = each.incarnation;
        m_processes.push_back(std::move(each));
    }
    m_nextFault = m_now + std::chrono::seconds(4);
    replaceAssigner();
}

ownership_simulation::~ownership_simulation() = default;

std::size_t ownership_simulation::watchedKeys()
{
    return watchedKeyCount;
}

bool ownership_simulation::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

time_span ownership_simulation::randomSpan(time_span least, time_span most)
{
    return time_span(std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(m_random));
}

void ownership_simulation::schedule(monotonic_time when, task what)
{
    m_tasks.emplace(when, std::move(what));
}

ownership_simulation::process *ownership_simulation::processAt(const network_address &address)
{
    const auto found = std::find_if(m_processes.begin(), m_processes.end(), [&](const process &each) {
        return each.incarnation.address == address;
    });
    return found == m_processes.end() ? nullptr : &*found;
}

void ownership_simulation::run(time_span duration)
{
    const monotonic_time end = m_now + duration;
    while (m_now < end) {
        step();
    }
}

void ownership_simulation::step()
{
    m_now += tickInterval;
    while (!m_tasks.empty() && m_tasks.begin()->first <= m_now) {
        const task next = std::move(m_tasks.begin()->second);
        m_tasks.erase(m_tasks.begin());
        next();
        checkInvariants();
    }
    if (m_options.faults && m_now >= m_nextFault) {
        injectFault();
        m_nextFault = m_now + randomSpan(m_options.faultInterval / 4, m_options.faultInterval * 2);
    }
    for (const auto &each : m_assigners) {
        act(*each);
    }
    checkInvariants();
}

void ownership_simulation::act(assigner_process &subject)
{
    if (!subject.assigner || m_now < subject.suspendedUntil) {
        return;
    }
    const bool newest = subject.epoch == m_storeEpoch;
    if (newest && !m_storeUnavailable) {
        subject.confirmed = m_now;
    }
    if (m_now - subject.confirmed > assigner_settings().unconfirmedLeadershipLimit) {
        return;
    }
    for (const assigner_action &action : subject.assigner->act(m_now - subject.confirmed < memberTimeToLive, m_now)) {
        perform(subject, action);
    }
}

void ownership_simulation::perform(assigner_process &subject, const assigner_action &action)
{
    if (const auto *grant = std::get_if<send_grant>(&action)) {
        sendGrant(subject, *grant);
    } else if (const auto *release = std::get_if<send_release>(&action)) {
        sendRelease(subject, *release);
    } else if (const auto *probe = std::get_if<probe_endpoint>(&action)) {
        const process *target = processAt(probe->endpoint.address);
        const bool answers = target != nullptr && target->up && !target->unreachable;
        // Health checks name the endpoint that answers.
        const bool own = answers && target->incarnation.endpoint == probe->endpoint.endpoint;
        const order_outcome answered = own ? order_outcome::accepted : order_outcome::misdirected;
        report(subject,
               probe->order,
               { answers ? answered : order_outcome::unsent, {}, {} },
               randomSpan(std::chrono::milliseconds(1), std::chrono::milliseconds(15)));
    } else if (const auto *record = std::get_if<write_record>(&action)) {
        write(subject, *record);
    } else if (const auto *note = std::get_if<log_decision>(&action)) {
        trace(*note);
    }
}

void ownership_simulation::trace(const log_decision &note) const
{
    if (!m_options.trace) {
        return;
    }
    std::cerr << m_now.time_since_epoch().count() / 1000 << " ms " << note.event;
    for (const auto &[name, value] : note.fields) {
        std::cerr << ' ' << name << '=' << value;
    }
    std::cerr << '\n';
}

void ownership_simulation::write(assigner_process &subject, const write_record &action)
{
    schedule(m_now + randomSpan(std::chrono::milliseconds(4), std::chrono::milliseconds(20)), [this, &subject, action] {
        if (subject.epoch != m_storeEpoch) {
            subject.assigner.reset();
            return;
        }
        if (m_storeUnavailable) {
            // Retried until the store answers, as an append without a reply is.
            write(subject, action);
            return;
        }
        for (const keyed_value &each : subject.writer.changes(action.record)) {
            if (isPartKey(each.key)) {
                m_view.applyPart(decodeOwnershipPart(each.value).value());
            } else {
                m_view.applyHeader(decodeOwnershipHeader(each.value).value());
            }
        }
        subject.writer.written(action.record);
        m_stored = *m_view.record(action.record.service);
        if (subject.assigner) {
            subject.assigner->recordWritten(action.revision, true, m_now);
        }
    });
}

const ownership_simulation::connection *ownership_simulation::connectionFor(assigner_process &subject, const send_grant &grant)
{
    const process *receiver = processAt(grant.endpoint.address);
    const bool reachable = receiver != nullptr && receiver->up && !receiver->unreachable;
    const auto known = subject.connections.find(grant.endpoint);
    const bool required = grant.connection.has_value();
    if (required && (known == subject.connections.end() || !(known->second.number == *grant.connection))) {
        report(subject, grant.order, { order_outcome::connection_lost, {}, {} }, time_span::zero());
        return nullptr;
    }
    if (known != subject.connections.end() && (!reachable || known->second.startedAtMs != receiver->incarnation.startedAtMs)) {
        const bool noticed = receiver != nullptr && !receiver->unreachable && chance(0.5);
        const order_outcome noticedOutcome = required ? order_outcome::connection_lost : order_outcome::unsent;
        subject.connections.erase(known);
        report(subject, grant.order, { noticed ? noticedOutcome : order_outcome::unanswered, {}, {} }, noticed ? time_span::zero() : orderTimeout);
        return nullptr;
    }
    if (known != subject.connections.end()) {
        return &known->second;
    }
    if (!reachable) {
        report(subject, grant.order, { order_outcome::unsent, {}, {} }, orderTimeout);
        return nullptr;
    }
    return &(subject.connections[grant.endpoint] = { connection_number(++m_lastConnection), receiver->incarnation.startedAtMs });
}

void ownership_simulation::sendGrant(assigner_process &subject, const send_grant &grant)
{
    const connection *chosen = connectionFor(subject, grant);
    if (chosen == nullptr) {
        return;
    }
    deliver(subject, grant.order, grant.endpoint.address, chosen->startedAtMs, chosen->number, [this, grant](process &target, monotonic_time arrival) {
        if (m_options.endpointsCheckId && !(target.incarnation.endpoint == grant.endpoint.endpoint)) {
            return order_outcome::misdirected;
        }
        const order_outcome outcome = apply(target, grant.keys, grant.token.value(), grant.length, arrival);
        return target.copiedAnswer.value_or(outcome);
    });
    if (m_options.connectionLoss > 0 && chance(m_options.connectionLoss)) {
        subject.connections.erase(grant.endpoint);
    }
}

void ownership_simulation::sendRelease(assigner_process &subject, const send_release &release)
{
    const process *receiver = processAt(release.endpoint.address);
    if (receiver == nullptr || !receiver->up || receiver->unreachable) {
        report(subject, release.order, { chance(0.5) ? order_outcome::unanswered : order_outcome::unsent, {}, {} }, orderTimeout);
        return;
    }
    const std::uint64_t startedAtMs = receiver->incarnation.startedAtMs;
    deliver(subject, release.order, release.endpoint.address, startedAtMs, {}, [this, release](process &target, monotonic_time arrival) {
        if (m_options.endpointsCheckId && !(target.incarnation.endpoint == release.endpoint.endpoint)) {
            return order_outcome::misdirected;
        }
        return apply(target, release.keys, release.token.value(), std::nullopt, arrival);
    });
}

void ownership_simulation::deliver(assigner_process &subject,
                                   order_id id,
                                   const network_address &address,
                                   std::uint64_t startedAtMs,
                                   connection_number number,
                                   std::function<order_outcome(process &target, monotonic_time arrival)> execute)
{
    const monotonic_time arrival = m_now + randomSpan(std::chrono::milliseconds(1), std::chrono::milliseconds(15));
    const bool late = m_options.faults && chance(0.1);
    const monotonic_time applied = late ? arrival + randomSpan(std::chrono::seconds(2), std::chrono::seconds(12)) : arrival;
    schedule(applied, [this, &subject, id, address, startedAtMs, number, arrival, late, execute = std::move(execute)] {
        process *present = processAt(address);
        if (!present->up || present->incarnation.startedAtMs != startedAtMs) {
            if (!late) {
                report(subject, id, { order_outcome::unanswered, {}, number }, std::chrono::milliseconds(2));
            }
            return;
        }
        const order_outcome outcome = execute(*present, arrival);
        if (!late) {
            report(subject, id, { outcome, "handover", number }, std::chrono::milliseconds(2));
        }
    });
    if (late) {
        report(subject, id, { order_outcome::unanswered, {}, number }, orderTimeout);
    }
}

void ownership_simulation::report(assigner_process &subject, order_id id, order_reply reply, time_span after)
{
    schedule(m_now + after, [this, &subject, id, reply = std::move(reply)] {
        if (subject.assigner && m_now >= subject.suspendedUntil) {
            subject.assigner->orderDone(id, reply, m_now);
        } else if (subject.assigner) {
            schedule(subject.suspendedUntil, [this, &subject, id, reply] {
                if (subject.assigner) {
                    subject.assigner->orderDone(id, reply, m_now);
                }
            });
        }
    });
}

order_outcome ownership_simulation::apply(process &target, key_range keys, std::uint64_t token, std::optional<time_span> length, monotonic_time arrival)
{
    for (std::size_t i = 0; i < watchedKeyCount; ++i) {
        const bool inside = watchedKey(i) >= keys.first && watchedKey(i) <= keys.last;
        if (inside && length && target.keys[i].seenToken > token) {
            return order_outcome::superseded;
        }
    }
    for (std::size_t i = 0; i < watchedKeyCount; ++i) {
        if (watchedKey(i) < keys.first || watchedKey(i) > keys.last) {
            continue;
        }
        held_key &held = target.keys[i];
        held.seenToken = std::max(held.seenToken, token);
        held.token = length ? token : 0;
        held.until = length ? arrival + std::chrono::duration_cast<time_span>(*length / target.clockRate) : monotonic_time{};
        if (held.until > m_now) {
            checkToken(target, i, token);
        }
    }
    return order_outcome::accepted;
}

void ownership_simulation::checkToken(const process &target, std::size_t key, std::uint64_t token)
{
    accepted_token &highest = m_acceptedTokens[key];
    if (m_options.checkTokens && token <= highest.token && !(target.incarnation == highest.incarnation)) {
        m_violations.push_back("key " + std::to_string(watchedKey(key)) + " at " + std::to_string(m_now.time_since_epoch().count() / 1000)
                               + " ms: " + target.incarnation.endpoint.value() + "/" + std::to_string(target.incarnation.startedAtMs) + " accepted token "
                               + std::to_string(token) + ", " + highest.incarnation.endpoint.value() + "/" + std::to_string(highest.incarnation.startedAtMs)
                               + " had it with token " + std::to_string(highest.token));
    }
    if (token >= highest.token) {
        highest = { token, target.incarnation };
    }
}

void ownership_simulation::publishDirectory()
{
    std::vector<listed_endpoint> listed;
    for (const process &each : m_processes) {
        if (each.listedIncarnation) {
            listed_endpoint entry;
            entry.entry.incarnation = *each.listedIncarnation;
            entry.entry.workerSlots = 2;
            entry.entry.draining = each.draining;
            entry.stateSince = each.stateSince;
            entry.evacuatedSince = each.evacuatedSince;
            listed.push_back(entry);
        }
    }
    for (const auto &each : m_assigners) {
        if (each->assigner) {
            each->assigner->setEndpoints(listed, m_now);
        }
    }
}

void ownership_simulation::checkInvariants()
{
    for (std::size_t i = 0; i < watchedKeyCount; ++i) {
        std::vector<std::string> holders;
        for (const process &each : m_processes) {
            if (each.up && each.keys[i].token != 0 && each.keys[i].until > m_now) {
                holders.push_back(each.incarnation.endpoint.value() + "/" + std::to_string(each.incarnation.startedAtMs) + " token "
                                  + std::to_string(each.keys[i].token));
            }
        }
        if (holders.size() > 1) {
            m_violations.push_back("key " + std::to_string(watchedKey(i)) + " at " + std::to_string(m_now.time_since_epoch().count() / 1000)
                                   + " ms: " + holders[0] + " and " + holders[1]);
        }
        if (!holders.empty()) {
            m_lastServed[i] = m_now;
        } else if (m_lastServed[i] != monotonic_time{}) {
            m_longestUnserved = std::max(m_longestUnserved, m_now - m_lastServed[i]);
        }
    }
}

std::size_t ownership_simulation::servedKeys() const
{
    std::size_t served = 0;
    for (std::size_t i = 0; i < watchedKeyCount; ++i) {
        served += std::any_of(m_processes.begin(),
                              m_processes.end(),
                              [&](const process &each) {
                                  return each.up && !each.unreachable && each.keys[i].token != 0 && each.keys[i].until > m_now;
                              })
            ? 1
            : 0;
    }
    return served;
}

std::size_t ownership_simulation::heldKeys(bool evacuated) const
{
    std::size_t held = 0;
    for (const process &each : m_processes) {
        if (each.up && each.evacuatedSince.has_value() == evacuated) {
            held += static_cast<std::size_t>(std::count_if(each.keys.begin(), each.keys.end(), [&](const held_key &key) {
                return key.token != 0 && key.until > m_now;
            }));
        }
    }
    return held;
}

std::size_t ownership_simulation::rememberedIncarnations() const
{
    return m_assigners.back()->assigner->rememberedIncarnations();
}

void ownership_simulation::crash(std::size_t endpoint)
{
    process &subject = m_processes[endpoint];
    subject.up = false;
    const endpoint_incarnation incarnation = subject.incarnation;
    schedule(m_now + randomSpan(std::chrono::milliseconds(1800), std::chrono::milliseconds(2600)), [this, endpoint, incarnation] {
        process &present = m_processes[endpoint];
        if (present.listedIncarnation == incarnation) {
            present.listedIncarnation.reset();
            publishDirectory();
        }
    });
}

void ownership_simulation::crashUnnoticed(std::size_t endpoint)
{
    m_processes[endpoint].up = false;
}

void ownership_simulation::restart(std::size_t endpoint, time_span registerAfter)
{
    // Some processes keep the id of their predecessor; most get a new one.
    restart(endpoint, registerAfter, chance(0.3));
}

void ownership_simulation::restart(std::size_t endpoint, time_span registerAfter, bool keepId)
{
    process &subject = m_processes[endpoint];
    const std::uint64_t startedAtMs = ++m_lastStartedAtMs;
    const endpoint_id id = keepId ? subject.incarnation.endpoint : endpoint_id("e" + std::to_string(endpoint) + "-" + std::to_string(startedAtMs));
    subject.incarnation = { id, startedAtMs, subject.incarnation.address };
    subject.up = true;
    subject.draining = false;
    subject.keys.assign(watchedKeyCount, {});
    const endpoint_incarnation incarnation = subject.incarnation;
    schedule(m_now + registerAfter, [this, endpoint, incarnation] {
        process &present = m_processes[endpoint];
        if (present.incarnation == incarnation && present.up) {
            present.listedIncarnation = incarnation;
            present.stateSince = m_now;
            publishDirectory();
        }
    });
}

void ownership_simulation::setUnreachable(std::size_t endpoint, bool unreachable)
{
    m_processes[endpoint].unreachable = unreachable;
}

void ownership_simulation::setDraining(std::size_t endpoint)
{
    m_processes[endpoint].draining = true;
    m_processes[endpoint].stateSince = m_now;
    publishDirectory();
}

void ownership_simulation::setEvacuated(std::size_t endpoint, bool evacuated)
{
    m_processes[endpoint].evacuatedSince = evacuated ? std::optional(m_now) : std::nullopt;
    publishDirectory();
}

void ownership_simulation::setCopiedAnswer(std::size_t endpoint, order_outcome answer)
{
    m_processes[endpoint].copiedAnswer = answer;
}

void ownership_simulation::setStoreUnavailable(bool unavailable)
{
    m_storeUnavailable = unavailable;
}

void ownership_simulation::replaceAssigner()
{
    if (!m_assigners.empty()) {
        loseLeadership(*m_assigners.back());
    }
    auto next = std::make_unique<assigner_process>();
    next->assigner = std::make_unique<key_assigner>(service_id("service"), assigner_settings());
    next->epoch = ++m_storeEpoch;
    next->confirmed = m_now;
    next->assigner->start(m_stored, next->epoch, network_address("10.1.0.1:80"), assigner_settings().unconfirmedLeadershipLimit, m_now);
    m_assigners.push_back(std::move(next));
    publishDirectory();
}

/**
 * Simulates how an assigner learns that it was replaced: a connected one with its next join; a disconnected one was already
 * unconfirmed for its time to live when its replacement started.
 */
void ownership_simulation::loseLeadership(assigner_process &subject)
{
    if (chance(0.5)) {
        schedule(m_now + randomSpan(std::chrono::milliseconds(10), joinInterval), [&subject] {
            subject.assigner.reset();
        });
    } else {
        subject.confirmed = std::min(subject.confirmed, m_now - memberTimeToLive);
    }
}

void ownership_simulation::endFaults()
{
    m_options.faults = false;
    m_storeUnavailable = false;
    for (std::size_t i = 0; i < m_processes.size(); ++i) {
        m_processes[i].unreachable = false;
        if (!m_processes[i].up) {
            restart(i, std::chrono::seconds(1));
        }
    }
}

void ownership_simulation::injectFault()
{
    const auto endpoint = std::uniform_int_distribution<std::size_t>(0, m_processes.size() - 1)(m_random);
    process &subject = m_processes[endpoint];
    switch (std::uniform_int_distribution<int>(0, 7)(m_random)) {
    case 0:
    case 1:
        if (subject.up) {
            crash(endpoint);
        } else {
            restart(endpoint, randomSpan(std::chrono::milliseconds(50), std::chrono::milliseconds(1500)));
        }
        break;
    case 2:
        setUnreachable(endpoint, !subject.unreachable);
        break;
    case 3:
        // The directory entry expires although the process is running.
        subject.listedIncarnation.reset();
        publishDirectory();
        break;
    case 4:
        if (subject.up) {
            subject.listedIncarnation = subject.incarnation;
            publishDirectory();
        }
        break;
    case 5:
        if (!m_storeUnavailable) {
            replaceAssigner();
        }
        break;
    case 6:
        m_assigners.back()->suspendedUntil = m_now + randomSpan(std::chrono::milliseconds(100), std::chrono::seconds(5));
        break;
    default:
        m_storeUnavailable = !m_storeUnavailable;
        break;
    }
}

} // namespace sycamoretray
