#include "sycamoretrayd/home_registry.h"

#include <utility>

namespace sycamoretray
{

namespace
{

// A planned handover takes well below a second. Older entries may lack requests that ran under another home in between.
constexpr time_span earlyTransferValidity = std::chrono::seconds(5);
constexpr std::size_t maxEarlyTransfers = 256;

} // namespace

std::shared_ptr<home_dispatcher> home_registry::find(const server_id &server) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_dispatchers.find(server);
    return found == m_dispatchers.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<home_dispatcher>> home_registry::all() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::shared_ptr<home_dispatcher>> result;
    for (const auto &item : m_dispatchers) {
        result.push_back(item.second);
    }
    return result;
}

std::shared_ptr<home_dispatcher> home_registry::add(const std::shared_ptr<home_dispatcher> &dispatcher, monotonic_time now)
{
    const std::lock_guard lock(m_mutex);
    dropExpired(now);
    std::erase_if(m_earlyTransfers, [&](early_transfer &early) {
        const bool matches = early.server == dispatcher->server() && early.term == dispatcher->term();
        if (matches) {
            dispatcher->import(std::move(early.slots), std::move(early.transfer));
        }
        return matches;
    });
    return std::exchange(m_dispatchers[dispatcher->server()], dispatcher);
}

std::shared_ptr<home_dispatcher> home_registry::remove(const server_id &server)
{
    const std::lock_guard lock(m_mutex);
    auto node = m_dispatchers.extract(server);
    return node ? node.mapped() : nullptr;
}

void home_registry::import(const server_id &server, home_term term, std::vector<hash_slot> slots, dispatch_transfer transfer, monotonic_time now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_dispatchers.find(server);
    if (found != m_dispatchers.end() && found->second->term() == term) {
        found->second->import(std::move(slots), std::move(transfer));
        return;
    }
    dropExpired(now);
    if (m_earlyTransfers.size() < maxEarlyTransfers) {
        m_earlyTransfers.push_back({ server, term, std::move(slots), std::move(transfer), now });
    }
}

void home_registry::dropExpired(monotonic_time now)
{
    std::erase_if(m_earlyTransfers, [&](const early_transfer &early) {
        return now - early.arrived > earlyTransferValidity;
    });
}

} // namespace sycamoretray
