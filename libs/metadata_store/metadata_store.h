#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "metadata_store/keyed_value.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace sycamoretray
{

/** Outcome of a call to the store. */
enum class store_result {
    ok,
    /** The call is certain to have had no effect: refused, rate limited, or never sent. */
    unavailable,
    /** There was no reply; the call may have been executed, or may be executed later. */
    unknown,
    /** The requested records have been deleted. */
    expired,
    /** Another writer uses the same producer name with a higher epoch. */
    fenced,
    /** The sequence number does not follow the last one of this producer. */
    out_of_sequence,
    /** The store refused the call as invalid. */
    rejected,
};

/** Newest record of a key, or a record of a keyed topic. */
struct keyed_record {
    std::string key;
    /** Empty if the key was removed. */
    std::optional<std::string> value;
    log_offset offset;
};

/** Position in a topic. Offsets of different eras are not comparable. */
struct topic_position {
    store_era era;
    log_offset offset;

    friend auto operator<=>(const topic_position &, const topic_position &) = default;
};

struct keyed_read {
    store_result result = store_result::unknown;
    std::vector<keyed_record> records;
    /** Offset after the last record that the topic holds. */
    log_offset end;
    /** Offset at which the next read continues. */
    log_offset next;
    store_era era;
};

struct keyed_listing {
    store_result result = store_result::unknown;
    std::vector<keyed_record> records;
    /** Number of records that were left out, because another writer left them in a form that cannot be read. */
    std::size_t unreadable = 0;
    bool more = false;
    log_offset end;
    store_era era;
};

/** Identifies an append, so that a retry has no second effect and a superseded writer is refused. */
struct producer_position {
    std::string producer;
    std::uint64_t epoch = 0;
    /** Empty to only set the epoch. */
    std::optional<std::uint64_t> sequence;
};

struct append_reply {
    store_result result = store_result::unknown;
    /** Position after the last appended record. */
    topic_position end;
    /** Set if the result is out_of_sequence. */
    std::uint64_t expectedSequence = 0;
};

struct join_reply {
    store_result result = store_result::unknown;
    std::uint64_t generation = 0;
    /** Partitions of the topic that are assigned to this member. */
    std::vector<std::uint32_t> partitions;
};

/**
 * Linearizable store of keyed topics and groups, which outlives every instance.
 *
 * Thread safety: none; all calls are made on one strand, and callbacks run on it, never from within the call.
 */
class metadata_store
{
public:
    virtual ~metadata_store() = default;

    /**
     * Reads records from @p from on. If there are none yet, the store holds the call for up to @p wait until one is appended. A reply of another
     * era than that of @p from says nothing about the records from there on; the topic has to be listed again.
     *
     * @return an id for abort()
     */
    virtual std::uint64_t read(const std::string &topic, const topic_position &from, time_span wait, std::function<void(keyed_read)> done) = 0;

    /** Time between the end of a read and the next read of the same topic, so that records that are appended together cost one call. */
    virtual time_span readSpacing() const
    {
        return std::chrono::milliseconds(40);
    }

    /** Cancels a read; its callback is not called. */
    virtual void abort(std::uint64_t read) = 0;

    /** Lists the newest record of each key after the key @p after, in pages. The pages do not form a consistent snapshot. */
    virtual void list(const std::string &topic, const std::string &after, std::function<void(keyed_listing)> done) = 0;

    /** Appends either all of @p records or none. Without records, it only sets the epoch of the producer. */
    virtual void append(const std::string &topic,
                        const std::vector<keyed_value> &records,
                        const std::optional<producer_position> &position,
                        std::function<void(append_reply)> done)
        = 0;

    /**
     * Joins a group, or confirms the membership. The store assigns the partitions of @p topic to the members, and removes a member that does
     * not join again within @p timeToLive.
     */
    virtual void join(const std::string &group,
                      const std::string &member,
                      const std::string &topic,
                      time_span timeToLive,
                      std::uint64_t generation,
                      std::function<void(join_reply)> done)
        = 0;

    virtual void leave(const std::string &group, const std::string &member) = 0;
};

} // namespace sycamoretray
