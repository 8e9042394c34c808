#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sycamoretray
{

/** Another instance that may take requests. */
struct forwarding_peer {
    network_address address;
    availability_zone zone;
    /** Share of the requests relative to other instances; proportional to the processor share of the instance. */
    double weight = 1;
};

/** How another instance treated a request. */
enum class peer_outcome {
    answered,
    /** It reaches no endpoint either. */
    isolated,
    stopping,
    /** It could not be reached, or the connection to it was lost. */
    unreachable,
    /** The time of the request ended without an answer. */
    unanswered,
    /** The request ended for a reason that says nothing about the instance. */
    unknown,
};

/**
 * Chooses the instance to which a request is forwarded: in the own zone first, then in other zones, by weight and outstanding requests.
 * Instances that did not take a request are avoided for a while; zones in which two are avoided and none answered come last.
 *
 * Performs no I/O: time is passed in. Thread safety: none.
 */
class peer_chooser
{
public:
    explicit peer_chooser(availability_zone zone);

    /** Sets the other instances; what is known of those that remain is kept. */
    void setPeers(const std::vector<forwarding_peer> &peers);

    /** Chooses an instance and counts a request as outstanding there. Call finished() for it. No value if all are avoided. */
    std::optional<network_address> choose(monotonic_time now);

    /** Ends a request that was outstanding at @p peer. */
    void finished(const network_address &peer, peer_outcome outcome, monotonic_time now);

    /**
     * Ends a request that was outstanding at @p peer since @p sent and was not answered in its time. If the peer has answered no other one
     * since, it is chosen only after all others for a while: it may have stopped running while its system still acknowledges data.
     */
    void unanswered(const network_address &peer, monotonic_time sent, monotonic_time now);

private:
    struct peer_state {
        forwarding_peer peer;
        std::uint32_t outstanding = 0;
        monotonic_time avoidedUntil{};
        monotonic_time answeredAt{};
        monotonic_time silentUntil{};
        /** Of the last request, to spread requests over instances that are equal otherwise. */
        std::uint64_t used = 0;
    };
    struct zone_state {
        std::size_t avoided = 0;
        bool anyAnswered = false;
        peer_state *best = nullptr;
        bool bestSilent = false;
        double bestCost = 0;
    };

    static bool hasAnswered(const peer_state &state, monotonic_time now);
    std::map<availability_zone, zone_state> rateZones(monotonic_time now);

    availability_zone m_zone;
    std::map<network_address, peer_state> m_peers;
    std::uint64_t m_uses = 0;
};

} // namespace sycamoretray
