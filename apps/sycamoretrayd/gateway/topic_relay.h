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
 * Serves topics to other instances, so that a change costs one read of the store for each availability zone instead of one for each
 * instance. Handles GET /v1/topics/list?topic=T and GET /v1/topics/read?topic=T&from=N&era=N&wait_ms=N&reader=ADDRESS&weight=W; readers that
 * are relays themselves add &relay=1.
 *
 * Thread safety: none; used on the strand of the executor.
 */
class topic_relay
{
public:
    /**
     * @param isUpToDate  returns whether the copies are recent enough to be served to another relay, or to the other instances of the
     *                    zone; requests are refused otherwise
     */
    topic_relay(serial_executor executor, std::function<bool(bool forRelay)> isUpToDate);

    /** Sets the callback for reads of instances that are no relays, with their address and weight. Call it before the first handle(). */
    void setReaderCallback(std::function<void(const network_address &reader, double weight)> seen);

    ~topic_relay();
    topic_relay(const topic_relay &) = delete;
    topic_relay &operator=(const topic_relay &) = delete;

    /** Returns the copy of @p topic, which the follower of the topic keeps up to date. */
    topic_copy &copyOf(const std::string &topic);

    /** Answers the reads that wait for @p topic, whose copy has changed. */
    void topicChanged(const std::string &topic);

    /** Handles a request for topics; returns false for any other request. */
    bool handle(const http_request &request, const std::shared_ptr<answer_handle> &handle);

private:
    struct impl;
    std::shared_ptr<impl> d;
};

} // namespace sycamoretray
