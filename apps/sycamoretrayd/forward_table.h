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

/** A request that a home works on. */
struct pending_forward {
    std::shared_ptr<entry_request> request;
    incarnation_id home;
    server_id server;
    std::uint64_t forwardId = 0;
};

/**
 * Requests that wait for the answers of their homes. Whoever takes an entry out is the only one to answer or retry it.
 *
 * Thread safety: any thread.
 */
class forward_table
{
public:
    void add(pending_forward forward);

    /** Takes the entry out, if it is there and waits for @p home. */
    std::optional<pending_forward> take(std::uint64_t forwardId, const incarnation_id &home);

    /** Takes the entry out, if it is there. */
    std::optional<pending_forward> take(std::uint64_t forwardId);

    /** Takes all entries out for which @p predicate returns true. */
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
