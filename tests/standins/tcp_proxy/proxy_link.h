#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace boost::asio
{
class io_context;
}

namespace sycamoretray::standins
{

/**
 * Forwards connections from a listening address to a target and injects faults. "up" is the direction from the client to
 * the target, "down" the opposite one. configure() accepts:
 *
 *   {"up"|"down": {"mode": "pass" | "hold" | "drop", "delay_ms": n, "cut_probability": p}, "refuse": bool, "cut": true}
 *
 * hold buffers bytes until the mode changes. drop discards them; a connection that lost bytes is closed when the mode is
 * set to pass again. cut_probability is the probability, for each forwarded chunk, that only half of it is sent and the
 * connection is closed. refuse closes new connections as soon as they are accepted; cut closes the open ones once.
 *
 * Thread safety: none.
 */
class proxy_link
{
public:
    /** @throws boost::system::system_error if @p listen cannot be bound */
    proxy_link(boost::asio::io_context &context, const std::string &listen, const std::string &target, std::uint64_t seed);
    ~proxy_link();

    void configure(const nlohmann::json &change);
    nlohmann::json counters() const;

private:
    struct state;
    std::shared_ptr<state> d;
};

} // namespace sycamoretray::standins
