#include "metadata_store/keyed_topic_follower.h"

#include "executor/detail/serial_executor_state.h"
#include "observability/event_log.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace sycamoretray
{

struct keyed_topic_follower::impl : std::enable_shared_from_this<impl> {
    impl(metadata_store &givenStore,
         std::string givenTopic,
         const serial_executor &executor,
         topic_follower_settings givenSettings,
         topic_observer givenObserver)
        : store(&givenStore)
        , topic(std::move(givenTopic))
        , settings(givenSettings)
        , observer(std::move(givenObserver))
        , timer(executor.state().strand)
        , retryDelay(settings.firstRetry)
    {
    }

    metadata_store *store;
    std::string topic;
    topic_follower_settings settings;
    topic_observer observer;
    boost::asio::steady_timer timer;
    time_span retryDelay;
    log_offset position;
    /** The first read after a listing or a failure returns at once, to show whether the store answers. */
    bool probe = false;
    bool lost = false;
    bool closed = false;
    bool listed = false;
    std::optional<std::uint64_t> activeRead;
    /** Replies to calls made before the last restart are ignored. */
    std::uint64_t attempt = 0;
    std::vector<keyed_record> listing;
    log_offset listingEnd;

    void after(time_span delay, void (impl::*next)())
    {
        timer.expires_after(delay);
        timer.async_wait([weak = weak_from_this(), next, expected = attempt](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (!error && self && !self->closed && self->attempt == expected) {
                ((*self).*next)();
            }
        });
    }

    void list()
    {
        listing.clear();
        listPage({});
    }

    void listPage(const std::string &afterKey)
    {
        store->list(topic, afterKey, [weak = weak_from_this(), expected = attempt](keyed_listing page) {
            const auto self = weak.lock();
            if (self && !self->closed && self->attempt == expected) {
                self->pageListed(std::move(page));
            }
        });
    }

    void pageListed(keyed_listing page)
    {
        if (page.result != store_result::ok) {
            failed(&impl::list);
            return;
        }
        succeeded();
        const bool first = listing.empty();
        if (first) {
            // The first page sees nothing of what is appended while later ones are read; reading continues from its end.
            listingEnd = page.end;
        }
        std::move(page.records.begin(), page.records.end(), std::back_inserter(listing));
        if (page.more && !listing.empty()) {
            listPage(listing.back().key);
            return;
        }
        position = listingEnd;
        listed = true;
        logEvent("topic_listed", { { "topic", topic }, { "records", std::to_string(listing.size()) }, { "end", std::to_string(position.value()) } });
        observer.listed(std::exchange(listing, {}), listingEnd);
        after(store->readSpacing(), &impl::read);
    }

    void read()
    {
        const time_span wait = std::exchange(probe, false) ? time_span::zero() : settings.readWait;
        activeRead = store->read(topic, position, wait, [weak = weak_from_this(), expected = attempt](keyed_read reply) {
            const auto self = weak.lock();
            if (self && !self->closed && self->attempt == expected) {
                self->readDone(std::move(reply));
            }
        });
    }

    void readDone(keyed_read reply)
    {
        activeRead.reset();
        if (reply.result == store_result::expired) {
            logEvent(event_severity::warning, "topic_history_lost", { { "topic", topic }, { "position", std::to_string(position.value()) } });
            list();
            return;
        }
        if (reply.result != store_result::ok) {
            probe = true;
            failed(&impl::read);
            return;
        }
        succeeded();
        position = std::max(position, reply.next);
        const time_span spacing = reply.records.empty() ? settings.spacingAfterSilence : store->readSpacing();
        if (!reply.records.empty()) {
            observer.appended(reply.records);
        }
        if (!closed) {
            after(spacing, &impl::read);
        }
    }

    void failed(void (impl::*retry)())
    {
        if (!std::exchange(lost, true)) {
            logEvent(event_severity::warning, "store_lost", { { "topic", topic } });
            observer.lost();
        }
        after(retryDelay, retry);
        retryDelay = std::min(retryDelay * 2, settings.longestRetry);
    }

    void succeeded()
    {
        retryDelay = settings.firstRetry;
        if (std::exchange(lost, false)) {
            logEvent("store_returned", { { "topic", topic } });
            observer.returned();
        }
    }

    void restart()
    {
        ++attempt;
        timer.cancel();
        if (activeRead) {
            store->abort(*activeRead);
            activeRead.reset();
        }
        probe = true;
        if (listed) {
            read();
        } else {
            list();
        }
    }
};

keyed_topic_follower::keyed_topic_follower(metadata_store &store,
                                           std::string topic,
                                           serial_executor executor,
                                           topic_follower_settings settings,
                                           topic_observer observer)
    : d(std::make_shared<impl>(store, std::move(topic), executor, settings, std::move(observer)))
{
}

keyed_topic_follower::~keyed_topic_follower()
{
    d->closed = true;
    d->timer.cancel();
}

void keyed_topic_follower::start()
{
    d->list();
}

void keyed_topic_follower::restart()
{
    d->restart();
}

log_offset keyed_topic_follower::position() const noexcept
{
    return d->position;
}

} // namespace sycamoretray
