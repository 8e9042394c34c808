#include "sycamoretrayd/gateway/group_membership.h"

#include "executor/detail/serial_executor_state.h"
#include "executor/steady_time.h"
#include "observability/event_log.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace sycamoretray
{

namespace
{

// A single lost call must not end the membership.
constexpr int joinsPerTimeToLive = 3;
constexpr std::uint32_t firstPartition = 0;

bool hasFirstPartition(const join_reply &reply)
{
    return std::find(reply.partitions.begin(), reply.partitions.end(), firstPartition) != reply.partitions.end();
}

} // namespace

struct group_membership::impl : std::enable_shared_from_this<impl> {
    impl(metadata_store &givenStore, const serial_executor &executor, group_settings givenSettings, std::function<void()> givenAnswered)
        : store(givenStore)
        , settings(std::move(givenSettings))
        , answered(std::move(givenAnswered))
        , timer(executor.state().strand)
    {
    }

    metadata_store &store;
    group_settings settings;
    std::function<void()> answered;
    boost::asio::steady_timer timer;
    bool ended = false;
    bool joining = false;
    bool unconfirmed = false;
    bool isLeader = false;
    monotonic_time leadershipConfirmedAt{};
    monotonic_time lastJoinAt{};
    monotonic_time lastAnswerAt{};
    std::uint64_t generation = 0;

    void join()
    {
        const monotonic_time sent = steadyNow();
        joining = true;
        lastJoinAt = sent;
        store.join(settings.group, settings.member, settings.topic, settings.timeToLive, generation, [weak = weak_from_this(), sent](const join_reply &reply) {
            const auto self = weak.lock();
            if (self && !self->ended) {
                self->handleJoinReply(reply, sent);
            }
        });
    }

    void handleJoinReply(const join_reply &reply, monotonic_time sent)
    {
        joining = false;
        const bool lost = isLeader && reply.result == store_result::ok && !hasFirstPartition(reply);
        // The store passes a partition on after its former owner has joined with the generation in which it lost it.
        const monotonic_time next = lost ? steadyNow() : sent + settings.timeToLive / joinsPerTimeToLive;
        timer.expires_after(std::max<time_span>(time_span::zero(), next - steadyNow()));
        timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (!error && self && !self->ended) {
                self->join();
            }
        });
        if (reply.result != store_result::ok) {
            if (!std::exchange(unconfirmed, true)) {
                logEvent(event_severity::warning, "membership_unconfirmed", { { "group", settings.group }, { "leads", isLeader ? "true" : "false" } });
            }
            return;
        }
        if (std::exchange(unconfirmed, false)) {
            logEvent("membership_confirmed_again", { { "group", settings.group }, { "generation", std::to_string(reply.generation) } });
        }
        generation = reply.generation;
        lastAnswerAt = steadyNow();
        isLeader = hasFirstPartition(reply);
        if (isLeader) {
            leadershipConfirmedAt = sent;
        }
        answered();
    }
};

group_membership::group_membership(metadata_store &store, serial_executor executor, group_settings settings, std::function<void()> answered)
    : d(std::make_shared<impl>(store, executor, std::move(settings), std::move(answered)))
{
}

group_membership::~group_membership()
{
    d->ended = true;
    d->timer.cancel();
}

void group_membership::start()
{
    d->join();
}

void group_membership::joinNow()
{
    if (!d->ended && !d->joining) {
        d->timer.cancel();
        d->join();
    }
}

void group_membership::leave()
{
    if (std::exchange(d->ended, true)) {
        return;
    }
    d->timer.cancel();
    d->store.leave(d->settings.group, d->settings.member);
}

bool group_membership::isLeader() const noexcept
{
    return d->isLeader;
}

monotonic_time group_membership::leadershipConfirmedAt() const noexcept
{
    return d->leadershipConfirmedAt;
}

monotonic_time group_membership::lastJoinAt() const noexcept
{
    return d->lastJoinAt;
}

monotonic_time group_membership::lastAnswerAt() const noexcept
{
    return d->lastAnswerAt;
}

std::uint64_t group_membership::generation() const noexcept
{
    return d->generation;
}

} // namespace sycamoretray
