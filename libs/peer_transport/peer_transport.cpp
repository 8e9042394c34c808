#include "peer_transport/peer_transport.h"

#include "peer_transport/detail/peer_receiver.h"
#include "peer_transport/detail/peer_sender.h"

#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace sycamoretray
{

struct peer_transport::impl {
    impl(peer_transport_settings givenSettings, peer_transport_callbacks givenCallbacks)
        : settings(std::move(givenSettings))
        , callbacks(std::move(givenCallbacks))
        , receiver(settings, callbacks, counters)
    {
    }

    peer_transport_settings settings;
    peer_transport_callbacks callbacks;
    detail::transport_counters counters;
    std::mutex mutex;
    std::map<incarnation_id, std::shared_ptr<detail::peer_sender>> senders;
    detail::peer_receiver receiver;

    /** Returns the sender and the one it replaces, if any, which must be destroyed without holding the mutex. */
    std::pair<std::shared_ptr<detail::peer_sender>, std::shared_ptr<detail::peer_sender>> senderTo(const incarnation_id &to, const network_address &address)
    {
        const std::lock_guard lock(mutex);
        std::shared_ptr<detail::peer_sender> &sender = senders[to];
        std::shared_ptr<detail::peer_sender> replaced;
        if (!sender || sender->address() != address) {
            replaced = std::exchange(sender, std::make_shared<detail::peer_sender>(settings, to, address, callbacks.lost, counters));
        }
        return { sender, replaced };
    }
};

peer_transport::peer_transport(peer_transport_settings settings, peer_transport_callbacks callbacks)
    : d(std::make_unique<impl>(std::move(settings), std::move(callbacks)))
{
}

peer_transport::~peer_transport() = default;

std::error_code peer_transport::start()
{
    return d->receiver.start();
}

void peer_transport::send(const incarnation_id &to, const network_address &address, std::string message)
{
    const auto [sender, replaced] = d->senderTo(to, address);
    sender->send(std::move(message));
}

void peer_transport::retain(const std::set<incarnation_id> &peers)
{
    std::vector<std::shared_ptr<detail::peer_sender>> closed;
    const std::lock_guard lock(d->mutex);
    std::erase_if(d->senders, [&](auto &entry) {
        const bool drop = !peers.contains(entry.first);
        if (drop) {
            closed.push_back(std::move(entry.second));
        }
        return drop;
    });
}

peer_transport_counts peer_transport::counts() const noexcept
{
    const detail::transport_counters &counters = d->counters;
    return { counters.batchesSent.load(),
             counters.batchesReceived.load(),
             counters.batchesRefused.load(),
             counters.messagesSent.load(),
             counters.messagesDropped.load() };
}

} // namespace sycamoretray
