#pragma once

#include "sycamoretrayd/home_dispatcher.h"

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace sycamoretray
{

/** The dispatchers of the servers that this instance is home of. Thread safety: any thread. */
class home_registry
{
public:
    /** Returns nullptr if this instance is not home of @p server. */
    std::shared_ptr<home_dispatcher> find(const server_id &server) const;

    std::vector<std::shared_ptr<home_dispatcher>> all() const;

    /** Adds a dispatcher, gives it memory that arrived before, and returns the one that it replaces, or nullptr. */
    std::shared_ptr<home_dispatcher> add(const std::shared_ptr<home_dispatcher> &dispatcher, monotonic_time now);

    /** Removes and returns the dispatcher of @p server, or nullptr. */
    std::shared_ptr<home_dispatcher> remove(const server_id &server);

    /** Gives at-most-once memory to the dispatcher of @p server under @p term, or keeps it for a short time until there is one. */
    void import(const server_id &server, home_term term, std::vector<hash_slot> slots, dispatch_transfer transfer, monotonic_time now);

private:
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
    std::vector<early_transfer> m_early;
};

} // namespace sycamoretray
