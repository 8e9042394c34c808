#pragma once

#include "sycamoretrayd/home_dispatcher.h"

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace sycamoretray
{

/** The dispatchers of the servers that this instance is the home of. Thread safety: any thread. */
class home_registry
{
public:
    /** Returns nullptr if this instance is not the home of @p server. */
    std::shared_ptr<home_dispatcher> find(const server_id &server) const;

    std::vector<std::shared_ptr<home_dispatcher>> all() const;

    /** Adds a dispatcher and passes early deduplication entries to it. Returns the dispatcher that it replaces, or nullptr. */
    std::shared_ptr<home_dispatcher> add(const std::shared_ptr<home_dispatcher> &dispatcher, monotonic_time now);

    /** Removes and returns the dispatcher of @p server, or nullptr. */
    std::shared_ptr<home_dispatcher> remove(const server_id &server);

    /** Passes deduplication entries to the dispatcher of @p server under @p term, or keeps them a short time until it is added. */
    void import(const server_id &server, home_term term, std::vector<hash_slot> slots, dispatch_transfer transfer, monotonic_time now);

private:
    /** Deduplication entries that arrived before their dispatcher was added. */
    struct early_transfer {
        server_id server;
        home_term term;
        std::vector<hash_slot> slots;
        dispatch_transfer transfer;
        monotonic_time arrived;
    };

    void dropExpired(monotonic_time now);

    mutable std::mutex m_mutex;
    std::map<server_id, std::shared_ptr<home_dispatcher>> m_dispatchers;
    std::vector<early_transfer> m_earlyTransfers;
};

} // namespace sycamoretray
