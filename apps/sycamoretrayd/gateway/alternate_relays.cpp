#include "sycamoretrayd/gateway/alternate_relays.h"

#include "executor/steady_time.h"
#include "http_message/http_writer.h"
#include "observability/event_log.h"

#include <random>
#include <set>
#include <utility>

namespace sycamoretray
{

namespace
{

// While the store is down, every relay refuses. All instances together must not load the relays with questions.
constexpr time_span refusedBackoff = std::chrono::milliseconds(200);
constexpr time_span unansweredBackoff = std::chrono::milliseconds(1000);

} // namespace

struct alternate_relays::state {
    serial_executor executor;
    connection_pool_settings settings;
    std::vector<network_address> addresses{};
    /** Position of the relay that is asked. Random at first, so that instances of a zone ask different relays. */
    std::size_t next = std::random_device{}();
    std::shared_ptr<http_connection_pool> pool{};
    monotonic_time backoffUntil{};

    void choose()
    {
        pool = addresses.empty() ? nullptr : std::make_shared<http_connection_pool>(executor, addresses[next % addresses.size()], settings);
    }

    void failed(const std::shared_ptr<http_connection_pool> &asked, const http_exchange_result &result)
    {
        if (asked != pool) {
            return;
        }
        logEvent("alternate_relay_failed", { { "relay", addresses[next % addresses.size()].value() } });
        backoffUntil = steadyNow() + (result.code == result_code::ok ? refusedBackoff : unansweredBackoff);
        ++next;
        choose();
    }
};

std::vector<network_address> alternateRelays(const std::map<availability_zone, network_address> &relays,
                                             const coordinator_candidates &instances,
                                             const network_address &self)
{
    std::set<network_address> result;
    for (const auto &[zone, relay] : relays) {
        result.insert(relay);
    }
    for (const auto &[zone, candidates] : strongestCandidates(instances)) {
        for (const coordinator_candidate &each : candidates) {
            result.insert(each.address);
        }
    }
    result.erase(self);
    return { result.begin(), result.end() };
}

alternate_relays::alternate_relays(serial_executor executor, connection_pool_settings settings)
    : d(std::make_shared<state>(state{ std::move(executor), settings }))
{
}

void alternate_relays::set(const std::vector<network_address> &addresses)
{
    if (d->addresses == addresses) {
        return;
    }
    d->addresses = addresses;
    d->choose();
}

bool alternate_relays::isUsable() const
{
    return d->pool && steadyNow() >= d->backoffUntil;
}

const std::shared_ptr<http_connection_pool> &alternate_relays::pool() const noexcept
{
    return d->pool;
}

std::uint64_t alternate_relays::get(const std::string &target, time_span timeout, http_connection_pool::callback done)
{
    std::string wire;
    appendRequest(wire, "GET", target, { { "Host", d->addresses[d->next % d->addresses.size()].value() } }, {}, {});
    // The pool outlives its exchanges, also if another relay is asked meanwhile.
    return d->pool->exchange(
        std::move(wire), false, timeout, [weak = std::weak_ptr(d), asked = d->pool, done = std::move(done)](const http_exchange_result &result) {
            const auto self = weak.lock();
            if (self && (result.code != result_code::ok || result.response.status != 200)) {
                self->failed(asked, result);
            }
            done(result);
        });
}

} // namespace sycamoretray
