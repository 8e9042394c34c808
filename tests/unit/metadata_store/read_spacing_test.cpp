#include "executor/serial_executor.h"
#include "executor/steady_time.h"
#include "http_entry/http_server.h"
#include "metadata_store/keyed_topic_follower.h"
#include "sycamoretrayd/gateway/relayed_store.h"

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

#include <string>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

/** A store in which a record is appended every 10 ms. Reads are answered at once. */
class busy_store : public metadata_store
{
public:
    explicit busy_store(serial_executor executor)
        : m_executor(std::move(executor))
        , m_started(steadyNow())
    {
    }

    int reads = 0;
    /** Reads are answered without records. */
    bool returnsNoRecords = false;
    /** Number of the next reads that get no answer, as on dead connections. */
    int unansweredReads = 0;

    std::uint64_t read(const std::string & /*topic*/, const topic_position &from, time_span /*wait*/, std::function<void(keyed_read)> done) override
    {
        ++reads;
        keyed_read reply;
        reply.result = unansweredReads-- > 0 ? store_result::unknown : store_result::ok;
        reply.end = log_offset(static_cast<std::uint64_t>((steadyNow() - m_started) / 10ms));
        reply.next = std::max(from.offset, reply.end);
        if (!returnsNoRecords) {
            reply.records.push_back({ "k", "v", from.offset });
        }
        m_executor.post([reply, done = std::move(done)] {
            done(reply);
        });
        return 0;
    }
    void abort(std::uint64_t /*read*/) override
    {
    }
    void list(const std::string & /*topic*/, const std::string & /*after*/, std::function<void(keyed_listing)> done) override
    {
        m_executor.post([done = std::move(done)] {
            keyed_listing reply;
            reply.result = store_result::ok;
            done(reply);
        });
    }
    void append(const std::string & /*topic*/,
                const std::vector<keyed_value> & /*records*/,
                const std::optional<producer_position> & /*position*/,
                std::function<void(append_reply)> /*done*/) override
    {
    }
    void join(const std::string & /*group*/,
              const std::string & /*member*/,
              const std::string & /*topic*/,
              time_span /*timeToLive*/,
              std::uint64_t /*generation*/,
              std::function<void(join_reply)> /*done*/) override
    {
    }
    void leave(const std::string & /*group*/, const std::string & /*member*/) override
    {
    }

private:
    serial_executor m_executor;
    monotonic_time m_started;
};

/** Returns the number of reads of the store within one second by an instance that has no relay. */
int readsWithinASecond(bool readsForOthers, bool returnsNoRecords = false)
{
    boost::asio::io_context context;
    const serial_executor executor(context);
    busy_store store(executor);
    store.returnsNoRecords = returnsNoRecords;
    relayed_store relayed(store, executor, [] {
        return true;
    });
    relayed.setReadsForOthers(readsForOthers);
    topic_observer observer;
    observer.onListed = [](const std::vector<keyed_record> &, const topic_position &) {};
    observer.onAppended = [](const std::vector<keyed_record> &) {};
    keyed_topic_follower follower(relayed, "keyed.t", executor, {}, observer);
    follower.start();
    context.run_for(1s);
    return store.reads;
}

} // namespace

// Guards against too many charged calls when a site starts: hundreds of endpoints register while each instance reads from the store for
// itself.
Test(read_spacing, instance_that_reads_for_itself_makes_few_calls)
{
    const int reads = readsWithinASecond(false);
    cr_expect(reads >= 1 && reads <= 3, "%d reads", reads);
}

// Guards against a relay that reads with the longer spacing, which would delay all its readers.
Test(read_spacing, relay_reads_without_delay)
{
    const int reads = readsWithinASecond(true);
    cr_expect(reads >= 8, "%d reads", reads);
}

// Guards against a late update: a read missed a record and was held for its whole time, and the next read is delayed as well.
Test(read_spacing, read_without_records_is_followed_by_another_without_delay)
{
    const int reads = readsWithinASecond(false, true);
    cr_expect(reads >= 8, "%d reads", reads);
}

// Guards against a late configuration: the relay is lost, and the first call to the store is made on a dead connection. The next call uses
// a new connection that works, so the store must be read again at once.
Test(read_spacing, one_call_without_an_answer_does_not_stop_reading)
{
    boost::asio::io_context context;
    const serial_executor executor(context);
    busy_store store(executor);
    store.unansweredReads = 1;
    relayed_store relayed(store, executor, [] {
        return true;
    });
    relayed.setRelayTopic("keyed.t");
    // No process listens on this port.
    relayed.setRelay(network_address("127.0.0.1:9"));
    int appended = 0;
    topic_observer observer;
    observer.onListed = [](const std::vector<keyed_record> &, const topic_position &) {};
    observer.onAppended = [&](const std::vector<keyed_record> &) {
        ++appended;
    };
    observer.onReadsFailing = [] {};
    observer.onReadsRecovered = [] {};
    keyed_topic_follower follower(relayed, "keyed.t", executor, {}, observer);
    follower.start();
    context.run_for(1s);
    cr_expect(appended > 0, "%d reads, none with records", store.reads);
}

namespace
{

/** Lists and reads two topics through a relay that refuses all requests. Returns the milliseconds until the second topic was read, or -1. */
int millisecondsUntilRead(int unansweredCalls)
{
    boost::asio::io_context context;
    const serial_executor executor(context);
    http_server_settings refusing;
    refusing.address = network_address("127.0.0.1:0");
    http_server relay(context, refusing, [](const http_request & /*request*/, const std::shared_ptr<answer_handle> &handle) {
        http_response response;
        response.status = 503;
        handle->answer(std::move(response));
    });
    cr_assert_not(relay.start());
    busy_store store(executor);
    store.unansweredReads = unansweredCalls;
    relayed_store relayed(store, executor, [] {
        return true;
    });
    relayed.setRelayTopic("keyed.relays");
    relayed.setRelay(network_address("127.0.0.1:" + std::to_string(relay.port())));
    const monotonic_time started = steadyNow();
    int taken = -1;
    const auto observer = [&](bool measured) {
        topic_observer result;
        result.onListed = [](const std::vector<keyed_record> &, const topic_position &) {};
        result.onAppended = [&taken, started, measured](const std::vector<keyed_record> &) {
            if (measured && taken < 0) {
                taken = static_cast<int>((steadyNow() - started) / 1ms);
            }
        };
        result.onReadsFailing = [] {};
        result.onReadsRecovered = [] {};
        return result;
    };
    keyed_topic_follower relays(relayed, "keyed.relays", executor, {}, observer(false));
    keyed_topic_follower others(relayed, "keyed.others", executor, {}, observer(true));
    relays.start();
    others.start();
    context.run_for(4s);
    return taken;
}

} // namespace

// Guards against a late configuration: the relay was replaced, and its successor refuses too. Once the store has answered, reads must not
// wait for another relay.
Test(read_spacing, topic_is_read_soon_if_every_relay_refuses)
{
    const int taken = millisecondsUntilRead(0);
    cr_expect(taken >= 0 && taken < 1000, "%d ms", taken);
}

// As above, but two calls to the store get no answer, as while it deletes old records. It must be read again within about a second.
Test(read_spacing, store_that_did_not_answer_is_read_again_soon)
{
    const int taken = millisecondsUntilRead(2);
    cr_expect(taken >= 0 && taken < 2500, "%d ms", taken);
}
