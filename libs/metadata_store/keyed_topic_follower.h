#pragma once

#include "executor/serial_executor.h"
#include "metadata_store/metadata_store.h"

#include <functional>
#include <memory>

namespace sycamoretray
{

struct topic_follower_settings {
    /**
     * Time for which the store may hold a read. A record that is appended while a read arrives may not end that read, so this bounds the
     * delay of such a record. It is not shorter because each call is charged for.
     */
    time_span maxReadWait = std::chrono::milliseconds(1000);
    /**
     * Time between a read without records and the next one. Short, because a record that the held read missed has already waited for the
     * whole time of that read.
     */
    time_span spacingAfterEmptyRead = std::chrono::milliseconds(40);
    time_span initialRetryDelay = std::chrono::milliseconds(150);
    time_span maxRetryDelay = std::chrono::milliseconds(800);
};

/** Callbacks of a follower, called on the strand of its executor. */
struct topic_observer {
    /**
     * The topic was listed: @p records has the newest record of each key, complete up to @p end. If the era differs from that of the last
     * listing, the store has returned from an older copy: records may be older than those delivered before, and offsets start anew.
     */
    std::function<void(const std::vector<keyed_record> &records, const topic_position &end)> onListed;
    /** Records were appended since the last callback, in order. */
    std::function<void(const std::vector<keyed_record> &records)> onAppended;
    /** Calls to the store have started to fail. */
    std::function<void()> onReadsFailing;
    /** Calls to the store succeed again. */
    std::function<void()> onReadsRecovered;
};

/**
 * Follows a keyed topic: lists the newest record of each key, then reads appended records. Lists the topic again if the store has
 * deleted records that were not read yet, or has returned from an older copy of its contents.
 *
 * Thread safety: none; used on the strand of its executor.
 */
class keyed_topic_follower
{
public:
    keyed_topic_follower(metadata_store &store, std::string topic, serial_executor executor, topic_follower_settings settings, topic_observer observer);

    /** No callback runs afterwards. */
    ~keyed_topic_follower();
    keyed_topic_follower(const keyed_topic_follower &) = delete;
    keyed_topic_follower &operator=(const keyed_topic_follower &) = delete;

    void start();

    /** Cancels the read in flight and reads again at once, for use when its connection may be dead. */
    void restart();

    /** Position up to which all records have been delivered; 0 before the first listing. */
    const topic_position &position() const noexcept;

private:
    struct impl;
    std::shared_ptr<impl> d;
};

} // namespace sycamoretray
