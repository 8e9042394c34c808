#include "dispatch/deduplication_table.h"

#include "routing/hash_slots.h"

#include <boost/multi_index/composite_key.hpp>
#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>

#include <algorithm>
#include <bitset>
#include <unordered_map>

namespace sycamoretray
{

namespace
{

namespace index = boost::multi_index;

struct duplicate_entry {
    request_id requestId;
    std::string key;
    hash_slot slot;
    wall_time created;
    bool finished = false;
    dispatch_id primary;
    result_code code = result_code::ok;
    std::shared_ptr<const answer_payload> answer;
    std::uint64_t bytes = 0;
};

struct by_identity {
};
struct by_creation {
};
struct by_finish_order {
};

using identity_key = index::composite_key<duplicate_entry,
                                          index::member<duplicate_entry, request_id, &duplicate_entry::requestId>,
                                          index::member<duplicate_entry, std::string, &duplicate_entry::key>>;
using identity_hash = index::composite_key_hash<std::hash<request_id>, std::hash<std::string>>;
using entry_set = index::multi_index_container<
    duplicate_entry,
    index::indexed_by<index::hashed_unique<index::tag<by_identity>, identity_key, identity_hash>,
                      index::ordered_non_unique<index::tag<by_creation>, index::member<duplicate_entry, wall_time, &duplicate_entry::created>>,
                      index::sequenced<index::tag<by_finish_order>>>>;

using slot_set = std::bitset<hashSlotCount>;

slot_set toSet(const std::vector<hash_slot> &slots)
{
    slot_set result;
    for (const hash_slot slot : slots) {
        result.set(slot.value() % hashSlotCount);
    }
    if (slots.empty()) {
        result.set();
    }
    return result;
}

} // namespace

struct deduplication_table::impl {
    impl(const dispatcher_settings &settings, wall_time startedAt)
        : window(std::chrono::duration_cast<std::chrono::milliseconds>(settings.duplicateWindow))
        , clockBound(std::chrono::duration_cast<std::chrono::milliseconds>(settings.clockBound))
        , maxEntries(settings.deduplicationEntries)
        , maxBytes(settings.duplicateAnswerBytes)
        , startedAt(startedAt)
    {
    }

    auto locate(const dispatch_request &request)
    {
        return entries.get<by_identity>().find(std::tie(request.requestId, request.key));
    }

    wall_time knownSince(hash_slot slot) const
    {
        const auto found = slotKnownSince.find(slot);
        return found == slotKnownSince.end() ? startedAt : found->second;
    }

    void dropOldestAnswers()
    {
        auto &sequence = entries.get<by_finish_order>();
        for (auto it = sequence.begin(); bytes > maxBytes && it != sequence.end(); ++it) {
            if (it->answer) {
                bytes -= it->bytes;
                sequence.modify(it, [](duplicate_entry &entry) {
                    entry.answer.reset();
                    entry.bytes = 0;
                    entry.code = result_code::answer_forgotten;
                });
            }
        }
    }

    /** Moves the entry to the end of the finish order, so that the answers finished first are dropped first. */
    template<class Iterator>
    void moveToEnd(Iterator position)
    {
        auto &sequence = entries.get<by_finish_order>();
        sequence.relocate(sequence.end(), entries.project<by_finish_order>(position));
    }

    std::chrono::milliseconds window;
    std::chrono::milliseconds clockBound;
    std::size_t maxEntries;
    std::uint64_t maxBytes;
    wall_time startedAt;
    /** Ids created before this time are expired. */
    wall_time horizon{};
    std::uint64_t bytes = 0;
    entry_set entries;
    std::unordered_map<hash_slot, wall_time> slotKnownSince;
};

deduplication_table::deduplication_table(const dispatcher_settings &settings, wall_time startedAt)
    : d(std::make_unique<impl>(settings, startedAt))
{
}

deduplication_table::~deduplication_table() = default;
deduplication_table::deduplication_table(deduplication_table &&) noexcept = default;
deduplication_table &deduplication_table::operator=(deduplication_table &&) noexcept = default;

duplicate_lookup deduplication_table::find(const dispatch_request &request, wall_time now) const
{
    const auto found = d->locate(request);
    if (found != d->entries.get<by_identity>().end()) {
        if (!found->finished) {
            return { duplicate_verdict::in_progress, found->primary, result_code::ok, nullptr };
        }
        return { duplicate_verdict::must_not_run, {}, found->code, found->answer };
    }
    if (request.created < std::max(d->horizon, now - d->window)) {
        return { duplicate_verdict::must_not_run, {}, result_code::request_id_expired, nullptr };
    }
    if (request.created < d->knownSince(request.slot) + d->clockBound) {
        return { duplicate_verdict::must_not_run, {}, result_code::request_id_before_takeover, nullptr };
    }
    return { d->entries.size() >= d->maxEntries ? duplicate_verdict::table_full : duplicate_verdict::unseen, {}, result_code::ok, nullptr };
}

void deduplication_table::insert(const dispatch_request &request)
{
    duplicate_entry entry;
    entry.requestId = request.requestId;
    entry.key = request.key;
    entry.slot = request.slot;
    entry.created = request.created;
    entry.primary = request.id;
    d->entries.insert(std::move(entry));
}

void deduplication_table::replacePrimary(const dispatch_request &request)
{
    auto &entries = d->entries.get<by_identity>();
    const auto found = d->locate(request);
    if (found != entries.end()) {
        entries.modify(found, [&request](duplicate_entry &entry) {
            entry.primary = request.id;
        });
    }
}

void deduplication_table::recordOutcome(const dispatch_request &request, result_code code, std::shared_ptr<const answer_payload> answer, std::uint64_t bytes)
{
    auto &entries = d->entries.get<by_identity>();
    const auto found = d->locate(request);
    if (found == entries.end() || found->finished) {
        return;
    }
    const std::uint64_t kept = answer ? bytes : 0;
    entries.modify(found, [&](duplicate_entry &entry) {
        entry.finished = true;
        entry.code = code;
        entry.answer = std::move(answer);
        entry.bytes = kept;
    });
    d->bytes += kept;
    d->moveToEnd(found);
    d->dropOldestAnswers();
}

void deduplication_table::remove(const dispatch_request &request)
{
    auto &entries = d->entries.get<by_identity>();
    const auto found = d->locate(request);
    if (found != entries.end() && !found->finished) {
        entries.erase(found);
    }
}

void deduplication_table::expire(wall_time now)
{
    // The horizon only grows: after a backward step of the wall clock, a removed id must not count as recent again.
    d->horizon = std::max(d->horizon, now - d->window);
    auto &entries = d->entries.get<by_creation>();
    for (auto it = entries.begin(); it != entries.end() && it->created < d->horizon;) {
        if (it->finished) {
            d->bytes -= it->bytes;
            it = entries.erase(it);
        } else {
            ++it;
        }
    }
}

dispatch_transfer deduplication_table::exportSlots(const std::vector<hash_slot> &slots) const
{
    const slot_set wanted = toSet(slots);
    dispatch_transfer result;
    result.knownSince = slots.empty() ? d->startedAt : d->knownSince(slots.front());
    for (const hash_slot slot : slots) {
        result.knownSince = std::max(result.knownSince, d->knownSince(slot));
    }
    if (slots.empty()) {
        for (const auto &[slot, since] : d->slotKnownSince) {
            result.knownSince = std::max(result.knownSince, since);
        }
    }
    for (const duplicate_entry &entry : d->entries.get<by_finish_order>()) {
        if (wanted.test(entry.slot.value() % hashSlotCount)) {
            result.duplicates.push_back({ entry.requestId, entry.key, entry.created, entry.finished, entry.answer, entry.bytes });
        }
    }
    return result;
}

void deduplication_table::importSlots(const dispatch_transfer &transfer, const std::vector<hash_slot> &slots)
{
    if (slots.empty()) {
        d->startedAt = transfer.knownSince;
        d->slotKnownSince.clear();
    }
    for (const hash_slot slot : slots) {
        d->slotKnownSince[slot] = transfer.knownSince;
    }
    for (const deduplication_entry &record : transfer.duplicates) {
        duplicate_entry entry;
        entry.requestId = record.requestId;
        entry.key = record.key;
        entry.slot = slotOfKey(record.key);
        entry.created = record.created;
        entry.finished = true;
        // An id in progress at the other home may have run there; its answer never arrives here.
        entry.code = record.finished ? result_code::answer_forgotten : result_code::request_id_before_takeover;
        if (record.finished && record.answer) {
            entry.code = result_code::ok;
            entry.answer = record.answer;
            entry.bytes = record.bytes;
        }
        const std::uint64_t bytes = entry.bytes;
        if (d->entries.insert(std::move(entry)).second) {
            d->bytes += bytes;
        }
    }
    d->dropOldestAnswers();
}

std::size_t deduplication_table::size() const noexcept
{
    return d->entries.size();
}

std::uint64_t deduplication_table::answerBytes() const noexcept
{
    return d->bytes;
}

} // namespace sycamoretray
