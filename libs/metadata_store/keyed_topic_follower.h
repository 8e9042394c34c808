#pragma once

#include "executor/serial_executor.h"
#include "metadata_store/metadata_store.h"

#include <functional>
#include <memory>

namespace sycamoretray
{

struct topic_follower_settings {
    /**
     * How long the store may hold a read. A record that is appended while a read arrives may not end that read, so this bounds
     * how late it is learnt; each call is paid for, so it is no shorter.
     */
    time_span readWait = std::chrono::milliseconds(1000);
    /**
     * Time between a read without records and the next one. Short, because the record that a held read missed has waited for as long
     * as the read was held.
     */
    time_span spacingAfterSilence = std::chrono::milliseconds(40);
    time_span firstRetry = std::chrono::milliseconds(150);
    time_span longestRetry = std::chrono::milliseconds(800);
};

/** What a follower tells its owner, on the strand of its executor. */
struct topic_observer {
    /** Newest record of each key, complete up to the offset @p end. */
    std::function<void(const std::vector<keyed_record> &records, log_offset end)> listed;
    /** Records that were appended since, in order. */
    std::function<void(const std::vector<keyed_record> &records)> appended;
    /** Reads fail since now. */
    std::function<void()> lost;
    /** Reads succeed again. */
    std::function<void()> returned;
};

/**
 * Follows a keyed topic: lists the newest record of each key, then reads what is appended. Starts over if the store has deleted
 * records that were not read yet.
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

    /** Gives up the read that is under way and reads again at once, because its connection may be dead. */
    void restart();

    /** Offset up to which all records have been delivered; 0 before the first listing. */
    log_offset position() const noexcept;

private:
    struct impl;
    std::shared_ptr<impl> d;
};

} // namespace sycamoretray
