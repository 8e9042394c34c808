#include "dispatch/server_dispatcher.h"

#include "dispatch/server_dispatcher_impl.h"
#include "documents/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sycamoretray
{

server_dispatcher::server_dispatcher(dispatcher_settings settings, wall_time startedAt)
    : d(std::make_unique<impl>(settings, startedAt))
{
}

server_dispatcher::~server_dispatcher() = default;
server_dispatcher::server_dispatcher(server_dispatcher &&) noexcept = default;
server_dispatcher &server_dispatcher::operator=(server_dispatcher &&) noexcept = default;

void server_dispatcher::handle(dispatch_event event, monotonic_time now, wall_time wallNow, std::vector<dispatch_action> &actions)
{
    d->now = now;
    d->wallNow = wallNow;
    d->actions = &actions;
    d->processDue();
    std::visit(
        [this](auto &&each) {
            d->on(std::forward<decltype(each)>(each));
        },
        std::move(event));
    d->dispatch();
    d->actions = nullptr;
}

std::vector<dispatch_request> server_dispatcher::takeQueued(const std::vector<hash_slot> &slots)
{
    std::vector<pending_request *> waiting;
    d->backlog.collect(waiting);
    std::sort(waiting.begin(), waiting.end(), [](const pending_request *a, const pending_request *b) {
        return a->sequence < b->sequence;
    });
    std::vector<dispatch_request> result = d->awaitingTransfer.take(slots);
    for (pending_request *each : waiting) {
        if (!slots.empty() && std::find(slots.begin(), slots.end(), each->request.slot) == slots.end()) {
            continue;
        }
        d->backlog.remove(*each);
        if (each->mayHaveRun) {
            each->state = pending_state::duplicate_wait; // a state without a container, until the next event finishes the request
            d->backlog.addDuplicate(*each);
            d->untransferred.push_back(each);
            continue;
        }
        if (impl::isDeduplicated(each->request)) {
            d->duplicates.remove(each->request);
        }
        d->deadlines.erase(d->deadlines.iterator_to(*each));
        result.push_back(each->request);
        for (pending_request *duplicate : each->waitingDuplicates) {
            d->backlog.remove(*duplicate);
            d->deadlines.erase(d->deadlines.iterator_to(*duplicate));
            result.push_back(duplicate->request);
            d->release(*duplicate);
        }
        d->release(*each);
    }
    return result;
}

dispatch_transfer server_dispatcher::exportDeduplicationEntries(const std::vector<hash_slot> &slots) const
{
    return d->duplicates.exportSlots(slots);
}

void server_dispatcher::importDeduplicationEntries(const dispatch_transfer &transfer, const std::vector<hash_slot> &slots)
{
    d->duplicates.importSlots(transfer, slots);
    d->awaitingTransfer.arrived(slots);
}

void server_dispatcher::expectDeduplicationEntries(const std::vector<hash_slot> &slots, monotonic_time until)
{
    d->awaitingTransfer.expect(slots, until);
}

time_span server_dispatcher::expectedDelay(std::uint32_t requestClass) const
{
    return d->expectedDelay(requestClass, nullptr);
}

std::uint32_t server_dispatcher::queuedCount() const noexcept
{
    return d->backlog.count();
}

std::uint32_t server_dispatcher::runningCount() const noexcept
{
    return d->slots.runningCount();
}

std::uint32_t server_dispatcher::longCount() const noexcept
{
    const pending_list &running = d->slots.running();
    const auto runningLong = std::count_if(running.begin(), running.end(), [](const pending_request &each) {
        return each.isLong;
    });
    return static_cast<std::uint32_t>(d->backlog.queue(true).size()) + static_cast<std::uint32_t>(runningLong);
}

std::string server_dispatcher::dump(monotonic_time now) const
{
    const bool valid = now < d->validUntil;
    const bool idle = queuedCount() == 0 && runningCount() == 0;
    const char *stopped = idle ? "drained" : "suspended";
    const char *serving = d->slots.limit() < d->slots.total() ? "cold" : "warm";
    nlohmann::json running = nlohmann::json::array();
    for (const pending_request &each : d->slots.running()) {
        running.push_back({ { "request_id", each.request.requestId.value() },
                            { "class", each.request.requestClass },
                            { "long", each.isLong },
                            { "alone", each.runsAlone },
                            { "attempts", each.attempts },
                            { "running_us", (now - each.sentAt).count() } });
    }
    const nlohmann::json result{ { "state", valid ? serving : stopped },
                                 { "home_term", d->term.value() },
                                 { "worker_slots", d->slots.total() },
                                 { "slot_limit", d->slots.limit() },
                                 { "queued", queuedCount() },
                                 { "queued_bytes", d->backlog.bytes() },
                                 { "queued_short", d->backlog.queue(false).size() },
                                 { "queued_long", d->backlog.queue(true).size() },
                                 { "awaiting_memory", d->awaitingTransfer.size() },
                                 { "remembered_ids", d->duplicates.size() },
                                 { "remembered_answer_bytes", d->duplicates.answerBytes() },
                                 { "crash_suspects", d->suspects.size() },
                                 { "running", running } };
    return toJsonText(result);
}

} // namespace sycamoretray
