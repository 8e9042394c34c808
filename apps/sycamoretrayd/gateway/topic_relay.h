#pragma once

#include "executor/serial_executor.h"
#include "http_entry/http_server.h"
#include "metadata_store/topic_copy.h"

#include <functional>
#include <memory>
#include <string>

namespace sycamoretray
{

/**
 * Lets other instances read topics from this one, so that a change costs one read of the store for each availability zone and
 * not one for each instance. GET /v1/topics/list?topic=T and GET /v1/topics/read?topic=T&from=N&wait_ms=N&reader=ADDRESS&weight=W,
 * where relays add &relay=1.
 *
 * Thread safety: none; used on the strand of the executor.
 */
class topic_relay
{
public:
    /**
     * @param isCurrent  says whether this instance may pass on what it knows to another relay, or to the other instances of its
     *                   zone; otherwise it refuses, because that may be out of date
     */
    topic_relay(serial_executor executor, std::function<bool(bool toRelay)> isCurrent);

    /** Sets who is told which instance reads, with its weight. Call it before the first handle(). */
    void onReader(std::function<void(const network_address &reader, double weight)> seen);

    ~topic_relay();
    topic_relay(const topic_relay &) = delete;
    topic_relay &operator=(const topic_relay &) = delete;

    /** Returns the copy of @p topic, to be kept up to date by its follower. */
    topic_copy &copyOf(const std::string &topic);

    /** The copy of @p topic has changed: answers the reads that wait for it. */
    void changed(const std::string &topic);

    /** Takes a request if it concerns topics; returns whether it did. */
    bool handle(const http_request &request, const std::shared_ptr<answer_slot> &slot);

private:
    struct impl;
    std::shared_ptr<impl> d;
};

} // namespace sycamoretray
