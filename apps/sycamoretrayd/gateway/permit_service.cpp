#include "sycamoretrayd/gateway/permit_service.h"

#include "executor/detail/serial_executor_state.h"
#include "executor/steady_time.h"
#include "observability/event_log.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace sycamoretray
{

struct permit_service::impl : permit_port, std::enable_shared_from_this<impl> {
    impl(serial_executor givenExecutor,
         datagram_channel &givenDatagrams,
         network_address givenSelf,
         std::function<std::optional<availability_zone>(const endpoint_incarnation &)> zoneOf,
         permit_observer observer,
         permit_log log)
        : executor(std::move(givenExecutor))
        , datagrams(givenDatagrams)
        , self(std::move(givenSelf))
        , timer(executor.state().strand)
        , coordinator(*this, std::move(log))
        , client({ std::move(zoneOf) }, *this, std::move(observer))
    {
    }

    serial_executor executor;
    datagram_channel &datagrams;
    network_address self;
    boost::asio::steady_timer timer;
    monotonic_time timerDueAt = monotonic_time::max();
    permit_coordinator coordinator;
    permit_client client;
    bool armTimerScheduled = false;

    void send(const network_address &to, const permit_message &message) override
    {
        if (to == self) {
            executor.post([weak = weak_from_this(), message] {
                if (const auto me = weak.lock()) {
                    me->received(me->self, message);
                }
            });
        } else {
            datagrams.send(to, datagram_kind::permit, encodePermitMessage(message));
        }
        scheduleArmTimer();
    }

    void received(const network_address &from, const permit_message &message)
    {
        const monotonic_time now = steadyNow();
        coordinator.received(from, message, now);
        client.received(from, message, now);
        armTimer();
    }

    /** Re-arms the timer after the current call, which may still change when something is due. */
    void scheduleArmTimer()
    {
        if (std::exchange(armTimerScheduled, true)) {
            return;
        }
        executor.post([weak = weak_from_this()] {
            if (const auto me = weak.lock()) {
                me->armTimerScheduled = false;
                me->armTimer();
            }
        });
    }

    void armTimer()
    {
        const monotonic_time now = steadyNow();
        const monotonic_time due = std::min(coordinator.nextDue(now), client.nextDue());
        if (due >= timerDueAt) {
            return;
        }
        timerDueAt = due;
        timer.expires_after(std::max<time_span>(time_span::zero(), due - now));
        timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto me = weak.lock();
            if (error || !me) {
                return;
            }
            me->timerDueAt = monotonic_time::max();
            const monotonic_time later = steadyNow();
            me->coordinator.advance(later);
            me->client.advance(later);
            me->armTimer();
        });
    }
};

permit_service::permit_service(serial_executor executor,
                               datagram_channel &datagrams,
                               const network_address &self,
                               std::function<std::optional<availability_zone>(const endpoint_incarnation &)> zoneOf,
                               permit_observer observer,
                               permit_log log)
    : d(std::make_shared<impl>(std::move(executor), datagrams, self, std::move(zoneOf), std::move(observer), std::move(log)))
{
    datagrams.setHandler(datagram_kind::permit, [weak = std::weak_ptr<impl>(d)](const network_address &from, std::string_view content) {
        const auto me = weak.lock();
        if (!me) {
            return;
        }
        if (const auto message = decodePermitMessage(content)) {
            me->received(from, *message);
        } else {
            logEvent(event_severity::warning, "permit_message_unreadable", { { "from", from.value() }, { "bytes", std::to_string(content.size()) } });
        }
    });
}

permit_service::~permit_service() = default;

permit_source &permit_service::source()
{
    return d->client;
}

void permit_service::setPromiseObserver(std::function<void(promise_outcome)> observer)
{
    d->coordinator.setPromiseObserver(std::move(observer));
}

void permit_service::setCandidates(const coordinator_candidates &candidates)
{
    d->client.setCandidates(candidates);
    d->coordinator.setLargeSite(isLargeSite(candidates), steadyNow());
}

void permit_service::setEndpoints(const std::map<endpoint_id, listed_endpoint> &endpoints)
{
    d->coordinator.setEndpoints(endpoints, steadyNow());
    d->armTimer();
}

void permit_service::setServices(const std::map<service_id, service_definition> &services)
{
    d->coordinator.setServices(services, steadyNow());
    d->armTimer();
}

void permit_service::resign()
{
    d->coordinator.resign();
}

std::size_t permit_service::waiting() const
{
    return d->coordinator.waiting();
}

std::size_t permit_service::inUse() const
{
    return d->coordinator.inUse();
}

std::size_t permit_service::ejectedEndpoints() const
{
    return d->coordinator.ejectedEndpoints();
}

} // namespace sycamoretray
