#include "restorable_store.h"

#include "executor/serial_executor.h"
#include "executor/steady_time.h"
#include "http_entry/error_answer.h"
#include "http_entry/http_server.h"
#include "platform/configuration_codec.h"
#include "platform/endpoint_codec.h"
#include "platform/topics.h"
#include "sycamoretrayd/gateway/relayed_store.h"
#include "sycamoretrayd/gateway/store_feeds.h"
#include "sycamoretrayd/gateway/topic_relay.h"

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

#include <nlohmann/json.hpp>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

std::string configuration(std::uint64_t version)
{
    return R"({"Version":)" + std::to_string(version)
        + R"(,"Routes":{"Columns":["Name","Hostname","PathPrefix","RouteType","TimeoutMs","TargetLatencyMs","Priority","TrafficSplit","MaxAttempts","Service"],
"Rows":[["r","h","/","safe",1200,600,2,null,2,"s"]]},"Services":{"Columns":["Name","HealthCheckPath","MaxConnections","Protocol","Tls","Sharded","WarmupS",
"Grants"],"Rows":[["s","/health",110,"h1",false,null,null,null]]},"Limits":{"MaxHeaderBytes":16384}})";
}

std::string entry(const std::string &state)
{
    const nlohmann::json value = { { "Service", "s" }, { "Address", "10.0.0.1:80" }, { "Zone", "z" },   { "Version", "v1" },      { "Slots", 2 },
                                   { "State", state }, { "ColdRemainingMs", 0 },     { "Sequence", 1 }, { "born", 1700000000123 } };
    return value.dump();
}

/** The topics as one instance follows them: from the store, or from the relay at @p relay. */
struct following_instance {
    following_instance(metadata_store &store, const serial_executor &executor, const std::optional<network_address> &relayAddress)
        : relay(executor,
                [](bool) {
                    return true;
                })
        , relayed(store,
                  executor,
                  [] {
                      return true;
                  })
        , feeds(relayed, relay, executor, { [] {}, [] {}, [] {}, [] {}, [] {}, [] {} })
    {
        relayed.setRelayTopic(platform::ownershipTopic);
        relayed.setReadsForOthers(!relayAddress);
        relayed.setRelay(relayAddress);
        feeds.start();
        feeds.startAll();
    }

    topic_relay relay;
    relayed_store relayed;
    store_feeds feeds;

    std::uint64_t version() const
    {
        return feeds.routes() ? feeds.routes()->version() : 0;
    }

    std::string stateOf(const std::string &endpoint) const
    {
        const auto found = feeds.directory().endpoints().find(endpoint_id(endpoint));
        if (found == feeds.directory().endpoints().end() || found->second.missingUntil) {
            return "missing";
        }
        return found->second.entry.draining ? "draining" : "ready";
    }
};

/** A store, an instance that is a relay, and an instance that reads from it. */
struct restored_site {
    restored_site()
        : direct(store, executor, std::nullopt)
        , server(context, serverSettings(), [this](const http_request &request, const std::shared_ptr<answer_handle> &handle) {
            if (!direct.relay.handle(request, handle)) {
                handle->answer(errorAnswer(result_code::unknown_name, {}));
            }
        })
    {
        cr_assert_not(server.start());
        store.put("keyed.op", "config", configuration(1));
        store.put(platform::endpointTopic, "e1", entry("ready"));
        store.put(platform::endpointTopic, "e2", entry("ready"));
        context.run_for(500ms);
        reader.emplace(store, executor, network_address("127.0.0.1:" + std::to_string(server.port())));
        context.run_for(500ms);
    }

    static http_server_settings serverSettings()
    {
        http_server_settings settings;
        settings.address = network_address("127.0.0.1:0");
        return settings;
    }

    /** Makes the store unavailable for @p duration; it returns with the given number of records of each topic. */
    void restore(time_span duration, const std::map<std::string, std::size_t> &kept)
    {
        store.setUnavailable(true);
        store.restore(kept);
        context.run_for(duration);
        store.setUnavailable(false);
    }

    boost::asio::io_context context;
    serial_executor executor{ context };
    restorable_store store{ executor };
    following_instance direct;
    http_server server;
    std::optional<following_instance> reader;
};

} // namespace

// Guards against an instance that waits for records at an offset that its relay does not reach again until long after a restore.
Test(restored_store, configuration_reaches_an_instance_that_reads_from_a_relay)
{
    restored_site site;
    for (std::uint64_t version = 2; version <= 6; ++version) {
        site.store.put("keyed.op", "config", configuration(version));
    }
    site.context.run_for(500ms);
    cr_assert_eq(site.reader->version(), 6U);
    site.restore(500ms, { { "keyed.op", 2 }, { platform::endpointTopic, 2 } });
    site.store.put("keyed.op", "config", configuration(7));
    site.context.run_for(2s);
    cr_expect_eq(site.direct.version(), 7U);
    cr_expect_eq(site.reader->version(), 7U);
}

// Guards against records that are taken for known, because they have the offsets of records that were lost.
Test(restored_store, records_at_offsets_that_are_given_out_again_are_read)
{
    restored_site site;
    for (std::uint64_t version = 2; version <= 4; ++version) {
        site.store.put("keyed.op", "config", configuration(version));
    }
    site.context.run_for(500ms);
    site.store.setUnavailable(true);
    site.store.restore({ { "keyed.op", 1 }, { platform::endpointTopic, 2 } });
    site.store.put("keyed.op", "config", configuration(5));
    site.store.put("keyed.op", "other", "1");
    site.store.put("keyed.op", "other", "2");
    site.store.put("keyed.op", "other", "3");
    site.context.run_for(300ms);
    site.store.setUnavailable(false);
    site.context.run_for(2s);
    cr_expect_eq(site.direct.version(), 5U);
    cr_expect_eq(site.reader->version(), 5U);
}

// Guards against an endpoint that is used although it drains, because its record has a lower offset than one that was lost.
Test(restored_store, draining_endpoint_is_noticed_after_a_restore)
{
    restored_site site;
    for (int i = 0; i < 5; ++i) {
        site.store.put(platform::endpointTopic, "e1", entry("ready"));
    }
    site.context.run_for(500ms);
    site.restore(500ms, { { "keyed.op", 1 }, { platform::endpointTopic, 2 } });
    site.context.run_for(1s);
    site.store.put(platform::endpointTopic, "e1", entry("draining"));
    site.context.run_for(1500ms);
    cr_expect_eq(site.direct.stateOf("e1"), std::string("draining"));
    cr_expect_eq(site.reader->stateOf("e1"), std::string("draining"));
    cr_expect_eq(site.reader->stateOf("e2"), std::string("ready"));
}

// Guards against an evacuation that does not reach an instance, also one that starts later, or that ends at once when the store returns without
// its record, or that never ends.
Test(restored_store, evacuation_outlasts_a_restore_until_it_can_be_written_again)
{
    restored_site site;
    const auto evacuated = [&] {
        const listed_endpoint &direct = site.direct.feeds.directory().endpoints().at(endpoint_id("e1"));
        const listed_endpoint &read = site.reader->feeds.directory().endpoints().at(endpoint_id("e1"));
        return (acceptsNewWork(direct) ? 0 : 1) + (acceptsNewWork(read) ? 0 : 1);
    };
    site.store.put("keyed.op", "evacuate/z", "{}");
    site.context.run_for(500ms);
    cr_expect_eq(evacuated(), 2);
    site.reader.emplace(site.store, site.executor, network_address("127.0.0.1:" + std::to_string(site.server.port())));
    site.context.run_for(500ms);
    cr_expect_eq(evacuated(), 2, "started later");
    site.restore(500ms, { { "keyed.op", 1 }, { platform::endpointTopic, 2 } });
    site.context.run_for(2500ms);
    site.reader->feeds.expire(steadyNow());
    site.direct.feeds.expire(steadyNow());
    cr_expect_eq(evacuated(), 2, "restored");
    site.context.run_for(3500ms);
    site.reader->feeds.expire(steadyNow());
    site.direct.feeds.expire(steadyNow());
    cr_expect_eq(evacuated(), 0);
}
