#include "sycamoretrayd/gateway/isolation_monitor.h"

#include "executor/detail/serial_executor_state.h"
#include "executor/steady_time.h"
#include "observability/event_log.h"
#include "sycamoretrayd/gateway/endpoint_prober.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace sycamoretray
{

struct isolation_monitor::impl {
    impl(const serial_executor &executor, std::function<void(const network_address &, connection_event)> givenProbed, std::function<void(bool)> givenChanged)
        : probed(std::move(givenProbed))
        , changed(std::move(givenChanged))
        , prober(executor,
                 [this](const network_address &endpoint, connection_event event) {
                     probed(endpoint, event);
                     record(endpoint, event);
                 })
        , timer(executor.state().strand)
    {
    }

    std::function<void(const network_address &, connection_event)> probed;
    std::function<void(bool)> changed;
    endpoint_isolation_detector detector;
    endpoint_prober prober;
    boost::asio::steady_timer timer;
    monotonic_time timerDueAt = monotonic_time::max();
    bool isolated = false;
    monotonic_time isolatedAt{};

    void record(const network_address &endpoint, connection_event event)
    {
        const monotonic_time now = steadyNow();
        switch (event) {
        case connection_event::opened:
            detector.connected(endpoint, now);
            break;
        case connection_event::answered:
            detector.answered(endpoint, now);
            break;
        case connection_event::refused:
        case connection_event::connect_timed_out:
            detector.failed(endpoint, now);
            break;
        case connection_event::lost:
            detector.lost(endpoint, now);
            break;
        case connection_event::unanswered:
            break;
        }
        arm();
    }

    /** Events come from within calls of connection pools, so that all reactions are left to the timer. */
    void arm()
    {
        const bool stale = detector.isolatedSince().has_value() != isolated;
        const monotonic_time due = stale ? monotonic_time::min() : detector.nextDue();
        if (due >= timerDueAt) {
            return;
        }
        timerDueAt = due;
        timer.expires_after(due <= steadyNow() ? time_span::zero() : due - steadyNow());
        timer.async_wait([this](const boost::system::error_code &error) {
            if (error) {
                return;
            }
            timerDueAt = monotonic_time::max();
            advance();
            arm();
        });
    }

    void advance()
    {
        for (const network_address &endpoint : detector.advance(steadyNow())) {
            prober.probe(endpoint);
        }
        const bool now = detector.isolatedSince().has_value();
        if (std::exchange(isolated, now) != now) {
            log(now);
            changed(now);
        }
    }

    void log(bool nowIsolated)
    {
        if (nowIsolated) {
            isolatedAt = steadyNow();
            logEvent(event_severity::warning, "instance_isolated", { { "endpoints_failed", std::to_string(detector.failedEndpoints()) } });
            return;
        }
        const auto lasted = std::chrono::duration_cast<std::chrono::milliseconds>(steadyNow() - isolatedAt);
        logEvent("instance_reaches_endpoints", { { "isolated_ms", std::to_string(lasted.count()) } });
    }
};

isolation_monitor::isolation_monitor(serial_executor executor,
                                     std::function<void(const network_address &, connection_event)> probed,
                                     std::function<void(bool)> changed)
    : d(std::make_unique<impl>(executor, std::move(probed), std::move(changed)))
{
}

isolation_monitor::~isolation_monitor() = default;

void isolation_monitor::setEndpoints(const std::map<endpoint_id, listed_endpoint> &endpoints)
{
    d->detector.setEndpoints(endpoints, steadyNow());
    d->arm();
}

void isolation_monitor::requestSent(const network_address &endpoint)
{
    d->detector.sent(endpoint, steadyNow());
    d->arm();
}

void isolation_monitor::requestFinished(const network_address &endpoint)
{
    d->detector.finished(endpoint);
}

void isolation_monitor::record(const network_address &endpoint, connection_event event)
{
    d->record(endpoint, event);
}

bool isolation_monitor::isIsolated() const noexcept
{
    return d->isolated;
}

bool isolation_monitor::isSilent() const
{
    return d->isolated && d->detector.isSilent(steadyNow());
}

bool isolation_monitor::isIsolatedFor(time_span duration) const
{
    return d->isolated && steadyNow() - d->isolatedAt >= duration;
}

bool isolation_monitor::isSuspicious() const noexcept
{
    return d->detector.isSuspicious();
}

} // namespace sycamoretray
