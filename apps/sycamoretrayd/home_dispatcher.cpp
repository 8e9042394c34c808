#include "sycamoretrayd/home_dispatcher.h"

#include "executor/steady_time.h"
#include "routing/hash_slots.h"
#include "sycamoretrayd/payloads.h"

#include <algorithm>
#include <utility>

namespace sycamoretray
{

namespace
{

constexpr std::uint32_t tickMilliseconds = 10;
constexpr time_span hotKeyReportInterval = std::chrono::seconds(1);
// Keys with at least this share of the requests of a server are reported; the controller decides whether to move them.
constexpr double minHotKeyShare = 1.0 / 32;
// Time after the deadline in which a server may still answer. An earlier end would free a worker slot that is still in use.
constexpr time_span answerGrace = std::chrono::seconds(1);

dispatcher_settings settingsFor(const open_dispatch &open, const service_limits &limits)
{
    dispatcher_settings settings;
    settings.workerSlots = open.endpoint.workerSlots;
    settings.queuedRequests = limits.queuedRequests;
    settings.queuedBytes = limits.queuedBytes;
    settings.seed = open.term.value();
    return settings;
}

server_client_settings clientSettingsFor(const open_dispatch &open, const service_limits &limits)
{
    server_client_settings settings;
    settings.maxConnections = limits.connectionsPerEndpoint;
    settings.workerSlots = open.endpoint.workerSlots;
    return settings;
}

std::uint64_t answerBytes(const answer_payload &answer)
{
    std::uint64_t bytes = answer.response.body.size();
    for (const http_field &field : answer.response.fields) {
        bytes += field.name.size() + field.value.size();
    }
    return bytes;
}

// A planned move takes milliseconds; entries that arrived longer before may lack requests that ran in between.
constexpr time_span importValidity = std::chrono::seconds(1);
// Requests wait this long for transferred entries, which arrive within milliseconds unless the processes are overloaded.
constexpr time_span duplicatesWaitLimit = std::chrono::milliseconds(300);
// Records that arrive within this time after their slots were gained belong to the same move.
constexpr time_span lateImportValidity = std::chrono::seconds(1);

} // namespace

home_dispatcher::home_dispatcher(serial_executor executor,
                                 home_environment environment,
                                 const open_dispatch &open,
                                 const service_id &service,
                                 const service_limits &limits)
    : m_executor(std::move(executor))
    , m_environment(std::move(environment))
    , m_server(open.server)
    , m_service(service)
    , m_term(open.term)
    , m_client(m_executor, open.endpoint.address, clientSettingsFor(open, limits))
    , m_dispatcher(settingsFor(open, limits), wallNow())
    , m_hotKeys(open.server)
    , m_ownedSlots(hashSlotCount, false)
{
    const auto table = m_environment.routing->get();
    const routed_service *routed = table->findService(m_service);
    m_dividedByKey = routed == nullptr || routed->service.dividedByKey;
}

home_dispatcher::~home_dispatcher() = default;

void home_dispatcher::start()
{
    m_executor.dispatch([self = shared_from_this()] {
        // Ids from before this home took over already count as unknown, by the start time given to the dispatcher.
        const auto table = self->m_environment.routing->get();
        std::vector<hash_slot> ignoredGains;
        if (const routed_service *routed = table->findService(self->m_service)) {
            self->updateOwnership(*routed, ignoredGains);
            self->initializeNeverUsed(*routed);
            self->updateAvailability(*routed);
        }
        // In a planned handover, the former home sends its entries when it has closed.
        self->m_dispatcher.expectDeduplicationEntries({}, steadyNow() + duplicatesWaitLimit);
        self->m_client.open();
        self->startTickTimer();
    });
}

void home_dispatcher::submit(const forward_origin &origin, dispatch_request request)
{
    m_executor.dispatch([self = shared_from_this(), origin, request = std::move(request)]() mutable {
        self->accept(origin, std::move(request));
    });
}

void home_dispatcher::cancel(const incarnation_id &entry, std::uint64_t forwardId)
{
    m_executor.dispatch([self = shared_from_this(), entry, forwardId] {
        const auto byEntry = self->m_byOrigin.find(entry);
        if (byEntry == self->m_byOrigin.end()) {
            return;
        }
        std::vector<dispatch_id> abandoned;
        for (const auto &[id, dispatchId] : byEntry->second) {
            if (forwardId == 0 || id == forwardId) {
                abandoned.push_back(dispatchId);
            }
        }
        for (const dispatch_id id : abandoned) {
            self->handle(caller_disconnected{ id });
        }
    });
}

void home_dispatcher::setValidUntil(home_term term, monotonic_time validUntil)
{
    m_executor.dispatch([self = shared_from_this(), term, validUntil] {
        if (!self->m_closed) {
            self->handle(valid_until_changed{ term, validUntil });
        }
    });
}

void home_dispatcher::hold(operation_id operation, std::vector<hash_slot> slots)
{
    m_executor.dispatch([self = shared_from_this(), operation, slots = std::move(slots)]() mutable {
        self->m_holdOperation = operation;
        self->handle(slots_held{ std::move(slots) });
    });
}

void home_dispatcher::release(std::vector<hash_slot> slots)
{
    m_executor.dispatch([self = shared_from_this(), slots = std::move(slots)]() mutable {
        self->transferSlots(slots);
        self->handle(slots_released{ std::move(slots) });
    });
}

void home_dispatcher::close(const incarnation_id &newHome)
{
    m_executor.dispatch([self = shared_from_this(), newHome] {
        if (std::exchange(self->m_closed, true)) {
            return;
        }
        self->handle(valid_until_changed{ self->m_term, monotonic_time{} });
        const std::vector<dispatch_request> queued = self->m_dispatcher.takeQueued({});
        self->transferAll(newHome);
        for (const dispatch_request &request : queued) {
            self->finishAs(request.id, result_code::wrong_home);
        }
    });
}

void home_dispatcher::transferAll(const incarnation_id &newHome)
{
    const auto table = m_environment.routing->get();
    const routed_service *routed = table->findService(m_service);
    if (newHome.value().empty() || routed == nullptr) {
        return;
    }
    for (const server_route &route : routed->servers) {
        if (route.endpoint.server == m_server && route.home == newHome) {
            m_environment.transfer(route, {}, m_dispatcher.exportDeduplicationEntries({}));
        }
    }
}

void home_dispatcher::import(std::vector<hash_slot> slots, dispatch_transfer transfer)
{
    m_executor.dispatch([self = shared_from_this(), slots = std::move(slots), transfer = std::move(transfer)] {
        dispatch_transfer merged = transfer;
        for (const hash_slot slot : slots) {
            if (self->takeRecentUnknownGain(slot)) {
                continue;
            }
            if (self->m_ownedSlots[slot.value()]) {
                // A hot key returns to its slot: for the other keys of the slot, ids stay unknown as far back as before.
                merged.knownSince = std::max(merged.knownSince, self->m_dispatcher.exportDeduplicationEntries({ slot }).knownSince);
            } else {
                self->m_importTimes[slot] = steadyNow();
            }
        }
        self->m_dispatcher.importDeduplicationEntries(merged, slots);
        self->handle(dispatch_tick{});
    });
}

void home_dispatcher::routingChanged()
{
    m_executor.dispatch([self = shared_from_this()] {
        self->applyRouting();
    });
}

void home_dispatcher::applyRouting()
{
    const auto table = m_environment.routing->get();
    const routed_service *routed = table->findService(m_service);
    if (routed == nullptr) {
        return;
    }
    if (!m_dividedByKey) {
        const bool wasAvailable = m_available;
        const bool neverUsed = m_neverUsed;
        updateAvailability(*routed);
        if (m_available && !wasAvailable) {
            neverUsed ? markNeverUsed({ hash_slot(0) }) : markUnknownBeforeNow({ hash_slot(0) });
        }
        return;
    }
    std::vector<hash_slot> gained;
    updateOwnership(*routed, gained);
    if (std::exchange(m_neverUsed, routed->neverAssigned)) {
        markNeverUsed(gained);
        return;
    }
    std::vector<hash_slot> unknown;
    for (const hash_slot slot : gained) {
        if (!takeRecentImport(slot)) {
            unknown.push_back(slot);
        }
    }
    if (!unknown.empty()) {
        markUnknownBeforeNow(unknown);
        for (const hash_slot slot : unknown) {
            m_unknownGainTimes[slot] = steadyNow();
        }
    }
}

void home_dispatcher::markUnknownBeforeNow(const std::vector<hash_slot> &slots)
{
    dispatch_transfer noRecords;
    noRecords.knownSince = wallNow();
    m_dispatcher.importDeduplicationEntries(noRecords, slots);
    m_dispatcher.expectDeduplicationEntries(slots, steadyNow() + duplicatesWaitLimit);
}

void home_dispatcher::markNeverUsed(const std::vector<hash_slot> &slots)
{
    if (!slots.empty()) {
        m_dispatcher.importDeduplicationEntries({}, slots);
    }
}

void home_dispatcher::updateAvailability(const routed_service &routed)
{
    m_available = std::any_of(routed.servers.begin(), routed.servers.end(), [&](const server_route &route) {
        return route.endpoint.server == m_server && route.up && !route.draining;
    });
    // Only for services not divided by key; applyRouting() updates it for the others.
    m_neverUsed = m_neverUsed && (m_dividedByKey || !m_available);
}

void home_dispatcher::initializeNeverUsed(const routed_service &routed)
{
    const auto route = std::find_if(routed.servers.begin(), routed.servers.end(), [&](const server_route &candidate) {
        return candidate.endpoint.server == m_server;
    });
    const bool firstHome = route != routed.servers.end() && route->firstHome && !route->up && route->term == m_term;
    m_neverUsed = m_dividedByKey ? routed.neverAssigned : firstHome;
}

bool home_dispatcher::takeRecentImport(hash_slot slot)
{
    const auto found = m_importTimes.find(slot);
    if (found == m_importTimes.end()) {
        return false;
    }
    const bool recent = steadyNow() - found->second < importValidity;
    m_importTimes.erase(found);
    return recent;
}

bool home_dispatcher::takeRecentUnknownGain(hash_slot slot)
{
    const auto found = m_unknownGainTimes.find(slot);
    if (found == m_unknownGainTimes.end()) {
        return false;
    }
    const bool recent = steadyNow() - found->second < lateImportValidity;
    m_unknownGainTimes.erase(found);
    return recent;
}

void home_dispatcher::updateOwnership(const routed_service &routed, std::vector<hash_slot> &gained)
{
    const auto isSelf = [&](std::uint16_t owner) {
        return owner != routed_service::noOwner && routed.servers[owner].endpoint.server == m_server;
    };
    for (std::size_t slot = 0; slot < routed.slotOwner.size(); ++slot) {
        const bool owned = isSelf(routed.slotOwner[slot]);
        if (owned && !m_ownedSlots[slot]) {
            gained.emplace_back(static_cast<std::uint16_t>(slot));
        }
        m_ownedSlots[slot] = owned;
    }
    std::set<std::string> keysRoutedHere;
    std::set<std::string> keysRoutedElsewhere;
    for (const auto &[key, owner] : routed.keyOwner) {
        if (isSelf(owner)) {
            keysRoutedHere.insert(key);
            if (!m_keysRoutedHere.contains(key)) {
                gained.push_back(slotOfKey(key));
            }
        } else if (isSelf(routed.slotOwner[slotOfKey(key).value()])) {
            keysRoutedElsewhere.insert(key);
        }
    }
    for (const std::string &key : m_keysRoutedElsewhere) {
        if (!keysRoutedElsewhere.contains(key) && m_ownedSlots[slotOfKey(key).value()]) {
            gained.push_back(slotOfKey(key));
        }
    }
    m_keysRoutedHere = std::move(keysRoutedHere);
    m_keysRoutedElsewhere = std::move(keysRoutedElsewhere);
}

void home_dispatcher::reportCrashes(crashes_reported report)
{
    m_executor.dispatch([self = shared_from_this(), report] {
        self->handle(report);
    });
}

void home_dispatcher::dump(std::function<void(std::string)> done)
{
    m_executor.dispatch([self = shared_from_this(), done = std::move(done)] {
        done(self->m_dispatcher.dump(steadyNow()));
    });
}

bool home_dispatcher::ownsKey(const std::string &key) const
{
    if (!m_dividedByKey) {
        return true;
    }
    const auto table = m_environment.routing->get();
    const routed_service *routed = table->findService(m_service);
    const server_route *owner = routed == nullptr ? nullptr : routing_table::findOwner(*routed, key);
    return owner != nullptr && owner->endpoint.server == m_server;
}

void home_dispatcher::accept(const forward_origin &origin, dispatch_request request)
{
    if (m_closed || !ownsKey(request.key)) {
        m_environment.answer(origin, result_code::wrong_home, nullptr);
        return;
    }
    auto &byEntry = m_byOrigin[origin.entry];
    request.id = dispatch_id(++m_lastId);
    if (!byEntry.emplace(origin.forwardId, request.id).second) {
        return;
    }
    if (m_dividedByKey) {
        m_hotKeys.count(request.key, steadyNow());
    }
    m_pending.emplace(request.id, pending_request{ origin, request.requestId, request.key, request.slot, request.payload });
    handle(std::move(request));
    startTickTimer();
}

void home_dispatcher::handle(dispatch_event event)
{
    std::vector<dispatch_action> actions = std::exchange(m_actions, {});
    m_dispatcher.handle(std::move(event), steadyNow(), wallNow(), actions);
    m_queued.store(m_dispatcher.queuedCount(), std::memory_order_relaxed);
    m_running.store(m_dispatcher.runningCount(), std::memory_order_relaxed);
    for (const dispatch_action &action : actions) {
        execute(action);
    }
    actions.clear();
    m_actions = std::move(actions);
}

void home_dispatcher::execute(const dispatch_action &action)
{
    if (const auto *send = std::get_if<send_request>(&action)) {
        executeSend(*send);
    } else if (const auto *cancel = std::get_if<cancel_request>(&action)) {
        const auto found = m_pending.find(cancel->id);
        if (found != m_pending.end()) {
            m_client.cancel(found->second.requestId);
        }
    } else if (const auto *finish = std::get_if<finish_request>(&action)) {
        executeFinish(*finish);
    } else if (std::holds_alternative<held_slots_idle>(action)) {
        if (m_holdOperation) {
            m_environment.toController(dispatch_idle{ m_server, *std::exchange(m_holdOperation, std::nullopt) });
        }
    } else if (const auto *crash = std::get_if<report_crash>(&action)) {
        m_environment.reportCrash(m_service, *crash);
    }
}

void home_dispatcher::executeSend(const send_request &send)
{
    const auto found = m_pending.find(send.id);
    if (found == m_pending.end()) {
        return;
    }
    const pending_request &pending = found->second;
    const server_request_fields fields{ pending.requestId, send.term, pending.slot, pending.key, send.timeLeft };
    m_client.send(pending.payload->request, fields, send.timeLeft + answerGrace, [weak = weak_from_this(), id = send.id](attempt_result result) {
        if (const auto self = weak.lock()) {
            self->attemptEnded(id, std::move(result));
        }
    });
}

void home_dispatcher::attemptEnded(dispatch_id id, attempt_result result)
{
    switch (result.result) {
    case attempt_result_class::answered: {
        auto answer = std::make_shared<const answer_payload>(answer_payload{ std::move(result.answer) });
        const std::uint64_t bytes = answerBytes(*answer);
        handle(server_answered{ id, std::move(answer), bytes });
        break;
    }
    case attempt_result_class::refused:
        handle(server_refused{ id });
        break;
    case attempt_result_class::failed:
        handle(attempt_failed{ id, result.sent, result.code });
        break;
    }
}

void home_dispatcher::executeFinish(const finish_request &finish)
{
    const auto found = m_pending.find(finish.id);
    if (found == m_pending.end()) {
        return;
    }
    const forward_origin origin = std::move(found->second.origin);
    removePending(origin, found);
    m_environment.answer(origin, finish.code, finish.answer);
}

void home_dispatcher::removePending(const forward_origin &origin, std::unordered_map<dispatch_id, pending_request>::iterator pending)
{
    m_pending.erase(pending);
    const auto byEntry = m_byOrigin.find(origin.entry);
    if (byEntry != m_byOrigin.end()) {
        byEntry->second.erase(origin.forwardId);
        if (byEntry->second.empty() && origin.entry != m_environment.self) {
            m_byOrigin.erase(byEntry);
        }
    }
}

void home_dispatcher::finishAs(dispatch_id id, result_code code)
{
    executeFinish({ id, code, nullptr });
}

void home_dispatcher::transferSlots(const std::vector<hash_slot> &slots)
{
    const auto table = m_environment.routing->get();
    const routed_service *routed = table->findService(m_service);
    std::vector<dispatch_request> queued = m_dispatcher.takeQueued(slots);
    if (routed == nullptr || !m_dividedByKey || m_closed) {
        resubmitOrRefuse(std::move(queued));
        return;
    }
    // Slots by their new owner. For a moved key, the entries of its whole slot are transferred.
    std::unordered_map<server_id, std::vector<hash_slot>> moved;
    for (const hash_slot slot : slots) {
        const std::uint16_t owner = routed->slotOwner[slot.value()];
        if (owner != routed_service::noOwner && routed->servers[owner].endpoint.server != m_server) {
            moved[routed->servers[owner].endpoint.server].push_back(slot);
        }
    }
    for (const auto &[key, owner] : routed->keyOwner) {
        const hash_slot slot = slotOfKey(key);
        const bool released = std::find(slots.begin(), slots.end(), slot) != slots.end();
        if (released && routed->servers[owner].endpoint.server != m_server) {
            moved[routed->servers[owner].endpoint.server].push_back(slot);
        }
    }
    for (const server_route &route : routed->servers) {
        const auto found = moved.find(route.endpoint.server);
        if (found != moved.end() && !route.home.value().empty()) {
            m_environment.transfer(route, found->second, m_dispatcher.exportDeduplicationEntries(found->second));
        }
    }
    resubmitOrRefuse(std::move(queued));
}

void home_dispatcher::resubmitOrRefuse(std::vector<dispatch_request> requests)
{
    for (dispatch_request &request : requests) {
        if (!m_closed && ownsKey(request.key)) {
            handle(std::move(request));
        } else {
            finishAs(request.id, result_code::wrong_home);
        }
    }
}

void home_dispatcher::startTickTimer()
{
    if (std::exchange(m_ticking, true)) {
        return;
    }
    m_executor.repeat(tickMilliseconds, [weak = weak_from_this()] {
        const auto self = weak.lock();
        return self && self->handleTick();
    });
}

bool home_dispatcher::handleTick()
{
    handle(dispatch_tick{});
    const monotonic_time now = steadyNow();
    if (m_dividedByKey && now >= m_nextHotKeyReport) {
        m_nextHotKeyReport = now + hotKeyReportInterval;
        for (const hot_key_report &report : m_hotKeys.report(minHotKeyShare, now)) {
            m_environment.toController(report);
        }
    }
    m_ticking = !m_pending.empty() || m_dispatcher.runningCount() > 0;
    return m_ticking;
}

} // namespace sycamoretray
