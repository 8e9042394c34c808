#include "ownership_world.h"

#include <algorithm>
#include <iostream>
#include <utility>

namespace sycamoretray
{

namespace
{

constexpr std::size_t watched = 48;
constexpr time_span tick = std::chrono::milliseconds(10);
constexpr time_span orderTimeout = std::chrono::milliseconds(250);
constexpr time_span memberTimeToLive = std::chrono::seconds(1);
constexpr time_span joinInterval = std::chrono::milliseconds(350);

std::uint32_t watchedKey(std::size_t index)
{
    return static_cast<std::uint32_t>(index * (keyCount / watched) + 17);
}

} // namespace

ownership_world::ownership_world(world_options options)
    : m_options(options)
    , m_random(options.seed)
    , m_lastServed(watched)
{
    for (std::size_t i = 0; i < m_options.endpoints; ++i) {
        process each;
        each.life = { endpoint_id("e" + std::to_string(i)), ++m_lives, network_address("10.0.0." + std::to_string(i + 1) + ":80") };
        each.clockRate = 1 - 0.02 * static_cast<double>(i % 3) / 2;
        each.keys.resize(watched);
        each.listedLife = each.life;
        m_processes.push_back(std::move(each));
    }
    m_nextFault = m_now + std::chrono::seconds(4);
    replaceAssigner();
}

ownership_world::~ownership_world() = default;

std::size_t ownership_world::watchedKeys()
{
    return watched;
}

bool ownership_world::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

time_span ownership_world::between(time_span least, time_span most)
{
    return time_span(std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(m_random));
}

void ownership_world::at(monotonic_time when, task what)
{
    m_tasks.emplace(when, std::move(what));
}

ownership_world::process *ownership_world::at(const network_address &address)
{
    const auto found = std::find_if(m_processes.begin(), m_processes.end(), [&](const process &each) {
        return each.life.address == address;
    });
    return found == m_processes.end() ? nullptr : &*found;
}

void ownership_world::run(time_span duration)
{
    const monotonic_time end = m_now + duration;
    while (m_now < end) {
        step();
    }
}

void ownership_world::step()
{
    m_now += tick;
    while (!m_tasks.empty() && m_tasks.begin()->first <= m_now) {
        const task next = std::move(m_tasks.begin()->second);
        m_tasks.erase(m_tasks.begin());
        next();
        check();
    }
    if (m_options.faults && m_now >= m_nextFault) {
        injectFault();
        m_nextFault = m_now + between(m_options.faultInterval / 4, m_options.faultInterval * 2);
    }
    for (const auto &each : m_assigners) {
        act(*each);
    }
    check();
}

void ownership_world::act(assigner_process &subject)
{
    if (!subject.assigner || m_now < subject.frozenUntil) {
        return;
    }
    const bool newest = subject.epoch == m_storeEpoch;
    if (newest && !m_storeAway) {
        subject.confirmed = m_now;
    }
    if (m_now - subject.confirmed > assigner_settings().unconfirmedValidity) {
        return;
    }
    for (const assigner_action &action : subject.assigner->act(m_now - subject.confirmed < memberTimeToLive, m_now)) {
        perform(subject, action);
    }
}

void ownership_world::perform(assigner_process &subject, const assigner_action &action)
{
    if (const auto *grant = std::get_if<send_grant>(&action)) {
        order(subject, grant->order, grant->endpoint, grant->keys, grant->token.value(), grant->length);
    } else if (const auto *release = std::get_if<send_release>(&action)) {
        order(subject, release->order, release->endpoint, release->keys, release->token.value(), std::nullopt);
    } else if (const auto *probe = std::get_if<probe_endpoint>(&action)) {
        const process *target = at(probe->endpoint.address);
        const bool answers = target != nullptr && target->up && !target->cut;
        subject.assigner->orderDone(probe->order, answers ? order_outcome::accepted : order_outcome::unsent, {}, m_now);
    } else if (const auto *record = std::get_if<write_record>(&action)) {
        write(subject, *record);
    } else if (const auto *note = std::get_if<note_decision>(&action)) {
        trace(*note);
    }
}

void ownership_world::trace(const note_decision &note) const
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

void ownership_world::write(assigner_process &subject, const write_record &action)
{
    at(m_now + between(std::chrono::milliseconds(4), std::chrono::milliseconds(20)), [this, &subject, action] {
        if (subject.epoch != m_storeEpoch) {
            subject.assigner.reset();
            return;
        }
        if (m_storeAway) {
            // Repeated until the store answers, like an append without a reply.
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

void ownership_world::order(assigner_process &subject,
                            order_id id,
                            const endpoint_life &target,
                            key_range keys,
                            std::uint64_t token,
                            std::optional<time_span> length)
{
    const auto done = [this, &subject, id](order_outcome outcome, time_span after) {
        at(m_now + after, [this, &subject, id, outcome] {
            if (subject.assigner && m_now >= subject.frozenUntil) {
                subject.assigner->orderDone(id, outcome, "handover", m_now);
            } else if (subject.assigner) {
                at(subject.frozenUntil, [this, &subject, id, outcome] {
                    if (subject.assigner) {
                        subject.assigner->orderDone(id, outcome, "handover", m_now);
                    }
                });
            }
        });
    };
    process *receiver = at(target.address);
    if (receiver == nullptr || !receiver->up || receiver->cut) {
        // A connection that was kept from before takes the order and is reset; new ones do not come about.
        const bool kept = receiver != nullptr && std::exchange(receiver->connected, false);
        done(kept ? order_outcome::unanswered : order_outcome::unsent, orderTimeout);
        return;
    }
    receiver->connected = true;
    const monotonic_time arrival = m_now + between(std::chrono::milliseconds(1), std::chrono::milliseconds(15));
    const std::uint64_t incarnation = receiver->life.startedAtMs;
    const bool late = m_options.faults && chance(0.1);
    const monotonic_time applied = late ? arrival + between(std::chrono::seconds(2), std::chrono::seconds(12)) : arrival;
    const network_address address = target.address;
    at(applied, [this, address, incarnation, keys, token, length, arrival, late, done] {
        process *present = at(address);
        if (!present->up || present->life.startedAtMs != incarnation) {
            return;
        }
        const order_outcome outcome = apply(*present, keys, token, length, arrival);
        if (!late) {
            done(outcome, std::chrono::milliseconds(2));
        }
    });
    if (late) {
        done(order_outcome::unanswered, orderTimeout);
    }
}

order_outcome ownership_world::apply(process &target, key_range keys, std::uint64_t token, std::optional<time_span> length, monotonic_time arrival)
{
    for (std::size_t i = 0; i < watched; ++i) {
        const bool inside = watchedKey(i) >= keys.first && watchedKey(i) <= keys.last;
        if (inside && length && target.keys[i].seenToken > token) {
            return order_outcome::superseded;
        }
    }
    for (std::size_t i = 0; i < watched; ++i) {
        if (watchedKey(i) < keys.first || watchedKey(i) > keys.last) {
            continue;
        }
        held_key &held = target.keys[i];
        held.seenToken = std::max(held.seenToken, token);
        held.token = length ? token : 0;
        held.until = length ? arrival + std::chrono::duration_cast<time_span>(*length / target.clockRate) : monotonic_time{};
    }
    return order_outcome::accepted;
}

void ownership_world::publishDirectory()
{
    std::vector<listed_endpoint> listed;
    for (const process &each : m_processes) {
        if (each.listedLife) {
            listed_endpoint entry;
            entry.entry.life = *each.listedLife;
            entry.entry.workerSlots = 2;
            entry.entry.draining = each.draining;
            entry.stateSince = each.stateSince;
            listed.push_back(entry);
        }
    }
    for (const auto &each : m_assigners) {
        if (each->assigner) {
            each->assigner->setEndpoints(listed, m_now);
        }
    }
}

void ownership_world::check()
{
    for (std::size_t i = 0; i < watched; ++i) {
        std::vector<std::string> holders;
        for (const process &each : m_processes) {
            if (each.up && each.keys[i].token != 0 && each.keys[i].until > m_now) {
                holders.push_back(each.life.endpoint.value() + "/" + std::to_string(each.life.startedAtMs) + " token " + std::to_string(each.keys[i].token));
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

std::size_t ownership_world::servedKeys() const
{
    std::size_t served = 0;
    for (std::size_t i = 0; i < watched; ++i) {
        served += std::any_of(m_processes.begin(),
                              m_processes.end(),
                              [&](const process &each) {
                                  return each.up && !each.cut && each.keys[i].token != 0 && each.keys[i].until > m_now;
                              })
            ? 1
            : 0;
    }
    return served;
}

void ownership_world::crash(std::size_t endpoint)
{
    process &subject = m_processes[endpoint];
    subject.up = false;
    const endpoint_life life = subject.life;
    at(m_now + between(std::chrono::milliseconds(1800), std::chrono::milliseconds(2600)), [this, endpoint, life] {
        process &present = m_processes[endpoint];
        if (present.listedLife == life) {
            present.listedLife.reset();
            publishDirectory();
        }
    });
}

void ownership_world::restart(std::size_t endpoint, time_span registerAfter)
{
    process &subject = m_processes[endpoint];
    const std::uint64_t lives = ++m_lives;
    // Some come back under the id that they had, most under another one.
    const endpoint_id id = chance(0.3) ? subject.life.endpoint : endpoint_id("e" + std::to_string(endpoint) + "-" + std::to_string(lives));
    subject.life = { id, lives, subject.life.address };
    subject.up = true;
    subject.draining = false;
    subject.keys.assign(watched, {});
    const endpoint_life life = subject.life;
    at(m_now + registerAfter, [this, endpoint, life] {
        process &present = m_processes[endpoint];
        if (present.life == life && present.up) {
            present.listedLife = life;
            present.stateSince = m_now;
            publishDirectory();
        }
    });
}

void ownership_world::setCut(std::size_t endpoint, bool cut)
{
    m_processes[endpoint].cut = cut;
}

void ownership_world::setDraining(std::size_t endpoint)
{
    m_processes[endpoint].draining = true;
    m_processes[endpoint].stateSince = m_now;
    publishDirectory();
}

void ownership_world::setStoreAway(bool away)
{
    m_storeAway = away;
}

void ownership_world::replaceAssigner()
{
    if (!m_assigners.empty()) {
        loseLeadership(*m_assigners.back());
    }
    auto next = std::make_unique<assigner_process>();
    next->assigner = std::make_unique<key_assigner>(service_id("service"), assigner_settings());
    next->epoch = ++m_storeEpoch;
    next->confirmed = m_now;
    next->assigner->start(m_stored, next->epoch, network_address("10.1.0.1:80"), assigner_settings().unconfirmedValidity, m_now);
    m_assigners.push_back(std::move(next));
    publishDirectory();
}

/** A connected assigner learns with its next join that it was replaced; one that is cut off was silent for its time to live. */
void ownership_world::loseLeadership(assigner_process &subject)
{
    if (chance(0.5)) {
        at(m_now + between(std::chrono::milliseconds(10), joinInterval), [&subject] {
            subject.assigner.reset();
        });
    } else {
        subject.confirmed = std::min(subject.confirmed, m_now - memberTimeToLive);
    }
}

void ownership_world::calm()
{
    m_options.faults = false;
    m_storeAway = false;
    for (std::size_t i = 0; i < m_processes.size(); ++i) {
        m_processes[i].cut = false;
        if (!m_processes[i].up) {
            restart(i, std::chrono::seconds(1));
        }
    }
}

void ownership_world::injectFault()
{
    const auto endpoint = std::uniform_int_distribution<std::size_t>(0, m_processes.size() - 1)(m_random);
    process &subject = m_processes[endpoint];
    switch (std::uniform_int_distribution<int>(0, 7)(m_random)) {
    case 0:
    case 1:
        if (subject.up) {
            crash(endpoint);
        } else {
            restart(endpoint, between(std::chrono::milliseconds(50), std::chrono::milliseconds(1500)));
        }
        break;
    case 2:
        setCut(endpoint, !subject.cut);
        break;
    case 3:
        // Its entry lapses although it lives.
        subject.listedLife.reset();
        publishDirectory();
        break;
    case 4:
        if (subject.up) {
            subject.listedLife = subject.life;
            publishDirectory();
        }
        break;
    case 5:
        if (!m_storeAway) {
            replaceAssigner();
        }
        break;
    case 6:
        m_assigners.back()->frozenUntil = m_now + between(std::chrono::milliseconds(100), std::chrono::seconds(5));
        break;
    default:
        m_storeAway = !m_storeAway;
        break;
    }
}

} // namespace sycamoretray
