#pragma once

#include "controller/slot_mover.h"

#include <map>
#include <set>
#include <string>

namespace sycamoretray
{

/**
 * Distributes hot keys that share a server: all but the hottest move to servers without hot keys, and return when they are cold.
 *
 * A single hot key stays, because a move would only shift the load. Thread safety: none.
 */
class hot_key_mover
{
public:
    hot_key_mover(controller_context &context, home_servers &homes, slot_mover &mover);

    void handleReport(const hot_key_report &report);

    /** Starts moves of keys, except from servers in @p busy. */
    void tick(const std::set<server_id> &busy);

private:
    struct hot_key {
        /** Part of the requests of the server, 0 to 1. */
        double share = 0;
        monotonic_time hotSince;
        monotonic_time lastHot;
        std::uint32_t moves = 0;
    };

    using server_keys = std::map<std::string, hot_key>;

    void moveHotKeys(const server_id &from, server_keys &keys);
    void returnColdKeys(const server_id &from, server_keys &keys);
    /** Returns an eligible server without hot keys, or an empty id. */
    server_id serverWithoutHotKeys(const server_id &from, const std::string &key) const;

    controller_context &m_context;
    home_servers &m_homes;
    slot_mover &m_mover;
    std::map<server_id, server_keys> m_keys;
};

} // namespace sycamoretray
