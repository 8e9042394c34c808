#pragma once

#include "sycamoretrayd/entry_request.h"

#include <array>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sycamoretray
{

/** A forwarded request whose home has not answered yet. */
struct pending_forward {
    std::shared_ptr<entry_request> request;
    incarnation_id home;
    server_id server;
    std::uint64_t forwardId = 0;
};

/**
 * Forwarded requests that wait for an answer from their home.
 *
 * Only the caller of take() or takeIf() that removed an entry may answer or retry its request, so it is answered only once.
 *
 * Thread safety: any thread.
 */
class forward_table
{
public:
    void add(pending_forward forward);

    /** Removes and returns the entry, if it exists and waits for @p home. */
    std::optional<pending_forward> take(std::uint64_t forwardId, const incarnation_id &home);

    /** Removes and returns the entry, if it exists. */
    std::optional<pending_forward> take(std::uint64_t forwardId);

    /** Removes and returns all entries for which @p predicate returns true. It is called with a lock held. */
    std::vector<pending_forward> takeIf(const std::function<bool(const pending_forward &)> &predicate);

    std::size_t size() const;

private:
    static constexpr std::size_t shardCount = 16;

    struct shard {
        mutable std::mutex mutex;
        std::unordered_map<std::uint64_t, pending_forward> forwards;
    };

    shard &shardOf(std::uint64_t forwardId)
    {
        return m_shards[forwardId % shardCount];
    }

    std::array<shard, shardCount> m_shards;
};

} // namespace sycamoretray
