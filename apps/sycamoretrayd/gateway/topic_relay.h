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
 * not one for each instance. GET /v1/topics/list?topic=T and GET /v1/topics/read?topic=T&from=N&wait_ms=N.
 *
 * Thread safety: none; used on the strand of the executor.
 */
class topic_relay
{
public:
    /**
     * @param isCurrent  says whether this instance reads the store itself and the store answers; otherwise the relay refuses,
     *                   because it would pass on what is out of date
     */
    topic_relay(serial_executor executor, std::function<bool()> isCurrent);
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
