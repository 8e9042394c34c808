#include "sycamoretrayd/forward_table.h"

#include <utility>

namespace sycamoretray
{

void forward_table::add(pending_forward forward)
{
    shard &shard = shardOf(forward.forwardId);
    const std::lock_guard lock(shard.mutex);
    const std::uint64_t id = forward.forwardId;
    shard.forwards.emplace(id, std::move(forward));
}

std::optional<pending_forward> forward_table::take(std::uint64_t forwardId, const incarnation_id &home)
{
    shard &shard = shardOf(forwardId);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.forwards.find(forwardId);
    if (found == shard.forwards.end() || found->second.home != home) {
        return std::nullopt;
    }
    pending_forward result = std::move(found->second);
    shard.forwards.erase(found);
    return result;
}

std::optional<pending_forward> forward_table::take(std::uint64_t forwardId)
{
    shard &shard = shardOf(forwardId);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.forwards.find(forwardId);
    if (found == shard.forwards.end()) {
        return std::nullopt;
    }
    pending_forward result = std::move(found->second);
    shard.forwards.erase(found);
    return result;
}

std::vector<pending_forward> forward_table::takeIf(const std::function<bool(const pending_forward &)> &predicate)
{
    std::vector<pending_forward> result;
    for (shard &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        std::erase_if(shard.forwards, [&](auto &item) {
            const bool taken = predicate(item.second);
            if (taken) {
                result.push_back(std::move(item.second));
            }
            return taken;
        });
    }
    return result;
}

std::size_t forward_table::size() const
{
    std::size_t count = 0;
    for (const shard &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        count += shard.forwards.size();
    }
    return count;
}

} // namespace sycamoretray
