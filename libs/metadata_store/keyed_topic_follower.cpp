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
        , retryDelay(settings.initialRetryDelay)
    {
    }

    metadata_store *store;
    std::string topic;
    topic_follower_settings settings;
    topic_observer observer;
    boost::asio::steady_timer timer;
    time_span retryDelay;
    topic_position position;
    /** The next read returns at once, to show whether the store answers again after a failure or a restart. */
    bool nextReadProbes = false;
    bool failing = false;
    bool stopped = false;
    bool hasListing = false;
    std::optional<std::uint64_t> activeRead;
    /** Replies to calls made before the last restart are ignored. */
    std::uint64_t restartCount = 0;
    std::vector<keyed_record> listing;
    topic_position listingEnd;

    void scheduleAfter(time_span delay, void (impl::*next)())
    {
        timer.expires_after(delay);
        timer.async_wait([weak = weak_from_this(), next, expected = restartCount](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (!error && self && !self->stopped && self->restartCount == expected) {
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
        store->list(topic, afterKey, [weak = weak_from_this(), expected = restartCount](keyed_listing page) {
            const auto self = weak.lock();
            if (self && !self->stopped && self->restartCount == expected) {
                self->handlePage(std::move(page));
            }
        });
    }

    void handlePage(keyed_listing page)
    {
        if (page.result != store_result::ok) {
            handleFailure(&impl::list);
            return;
        }
        if (page.era < position.era) {
            // The relay has not noticed yet that the store was restored.
            handleFailure(&impl::list);
            return;
        }
        handleSuccess();
        if (page.unreadable > 0) {
            logEvent(event_severity::warning, "topic_records_unreadable", { { "topic", topic }, { "records", std::to_string(page.unreadable) } });
        }
        if (listing.empty()) {
            // Records appended while later pages are listed may be missing, so reading continues from the end of the first page.
            listingEnd = { page.era, page.end };
        } else if (page.era != listingEnd.era) {
            list();
            return;
        }
        std::move(page.records.begin(), page.records.end(), std::back_inserter(listing));
        if (page.more && !listing.empty()) {
            listPage(listing.back().key);
            return;
        }
        position = listingEnd;
        hasListing = true;
        logEvent("topic_listed",
                 { { "topic", topic },
                   { "records", std::to_string(listing.size()) },
                   { "end", std::to_string(position.offset.value()) },
                   { "era", std::to_string(position.era.value()) } });
        observer.onListed(std::exchange(listing, {}), listingEnd);
        scheduleAfter(store->readSpacing(), &impl::read);
    }

    void read()
    {
        const time_span wait = std::exchange(nextReadProbes, false) ? time_span::zero() : settings.maxReadWait;
        activeRead = store->read(topic, position, wait, [weak = weak_from_this(), expected = restartCount](keyed_read reply) {
            const auto self = weak.lock();
            if (self && !self->stopped && self->restartCount == expected) {
                self->handleRead(std::move(reply));
            }
        });
    }

    void handleRead(keyed_read reply)
    {
        activeRead.reset();
        if (reply.result == store_result::expired) {
            logEvent(event_severity::warning, "topic_history_lost", { { "topic", topic }, { "position", std::to_string(position.offset.value()) } });
            list();
            return;
        }
        if (reply.result != store_result::ok) {
            nextReadProbes = true;
            handleFailure(&impl::read);
            return;
        }
        handleSuccess();
        if (eraChanged(reply.era)) {
            list();
            return;
        }
        position.offset = std::max(position.offset, reply.next);
        const time_span spacing = reply.records.empty() ? settings.spacingAfterEmptyRead : store->readSpacing();
        if (!reply.records.empty()) {
            observer.onAppended(reply.records);
        }
        if (!stopped) {
            scheduleAfter(spacing, &impl::read);
        }
    }

    void handleFailure(void (impl::*retry)())
    {
        if (!std::exchange(failing, true)) {
            logEvent(event_severity::warning, "store_lost", { { "topic", topic } });
            observer.onReadsFailing();
        }
        scheduleAfter(retryDelay, retry);
        retryDelay = std::min(retryDelay * 2, settings.maxRetryDelay);
    }

    /** Returns whether an answer shows that the store has returned from an older copy, so that the position has no meaning any more. */
    bool eraChanged(store_era answered)
    {
        if (answered == position.era) {
            return false;
        }
        logEvent(event_severity::warning,
                 "store_era_changed",
                 { { "topic", topic },
                   { "before", std::to_string(position.era.value()) },
                   { "after", std::to_string(answered.value()) },
                   { "position", std::to_string(position.offset.value()) } });
        return true;
    }

    void handleSuccess()
    {
        retryDelay = settings.initialRetryDelay;
        if (std::exchange(failing, false)) {
            logEvent("store_returned", { { "topic", topic } });
            observer.onReadsRecovered();
        }
    }

    void restart()
    {
        ++restartCount;
        timer.cancel();
        if (activeRead) {
            store->abort(*activeRead);
            activeRead.reset();
        }
        nextReadProbes = true;
        if (hasListing) {
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
    d->stopped = true;
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

const topic_position &keyed_topic_follower::position() const noexcept
{
    return d->position;
}

} // namespace sycamoretray
