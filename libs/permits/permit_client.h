#pragma once

#include "permits/keeper_ranking.h"
#include "permits/permit_message.h"

#include <functional>
#include <map>
#include <set>

namespace sycamoretray
{

struct permit_client_settings {
    /** Zone of an endpoint, to find the keeper of its queue. */
    std::function<std::optional<availability_zone>(const endpoint_life &)> zoneOf;
};

/** What the gateway is told; never from within a call of the gateway. */
struct permit_observer {
    std::function<void(permit_id permit, const endpoint_id &endpoint, std::uint64_t startedAtMs, monotonic_time now)> granted;
    std::function<void(permit_id permit, time_span retryAfter, monotonic_time now)> refused;
    /** Nobody can be asked. */
    std::function<void(permit_id permit, monotonic_time now)> unavailable;
};

/**
 * Asks the keepers of queues for permits, and gives permits back.
 *
 * A question that is not answered is repeated, then put to the next keeper in rank; an instance that does not answer is not asked
 * for a while. Results are repeated until they are acknowledged.
 *
 * Thread safety: none.
 */
class permit_client : public permit_source
{
public:
    permit_client(permit_client_settings settings, permit_port &port, permit_observer observer);

    void setCandidates(const keeper_candidates &candidates);

    bool isUsed(const permit_request &request) const override;
    void ask(const permit_request &request, monotonic_time now) override;
    void giveBack(permit_id permit, const permit_result &result, monotonic_time now) override;

    /** Takes a message from the instance at @p from. Other kinds of messages are ignored. */
    void received(const network_address &from, const permit_message &message, monotonic_time now);

    /** Does what is due. Call it at nextDue(). */
    void advance(monotonic_time now);
    monotonic_time nextDue() const;

private:
    enum class permit_state {
        /** No answer yet. */
        asked,
        waiting,
        granted,
        /** Given back, but not acknowledged. */
        returning,
    };
    struct open_permit {
        permit_request request;
        network_address keeper;
        permit_state state = permit_state::asked;
        std::uint32_t sends = 0;
        monotonic_time usefulUntil{};
        monotonic_time due{};
        permit_result result;
    };

    network_address keeperOf(const permit_request &request) const;
    bool isSilent(const network_address &instance) const;
    /** Asks the best keeper, or reports that there is none. */
    void askKeeper(permit_id id, open_permit &permit, monotonic_time now);
    void send(permit_id id, open_permit &permit, monotonic_time now);
    void unanswered(permit_id id, open_permit &permit, monotonic_time now);
    void schedule(permit_id id, open_permit &permit, monotonic_time due);
    void forget(permit_id id);

    void take(const network_address &from, const permit_grant &message, monotonic_time now);
    void take(const network_address &from, const permit_queued &message, monotonic_time now);
    void take(const network_address &from, const permit_refusal &message, monotonic_time now);
    void take(const network_address &from, const permit_unavailable &message, monotonic_time now);
    void take(const network_address &from, const permit_returned &message, monotonic_time now);
    void take(const network_address & /*from*/, const permit_ask & /*message*/, monotonic_time /*now*/)
    {
    }
    void take(const network_address & /*from*/, const permit_return & /*message*/, monotonic_time /*now*/)
    {
    }

    permit_client_settings m_settings;
    permit_port &m_port;
    permit_observer m_observer;
    keeper_candidates m_candidates;
    /** Candidates for queues of services that are not divided by key, each of which takes the requests of a zone. */
    keeper_candidates m_strongest;
    bool m_largeSite = false;
    std::map<permit_id, open_permit> m_permits;
    std::set<std::pair<monotonic_time, permit_id>> m_due;
    /** Instances that did not answer, or that stop, and until when they are not asked. */
    std::map<network_address, monotonic_time> m_silentUntil;
    monotonic_time m_now{};
};

} // namespace sycamoretray
