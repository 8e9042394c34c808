#include "executor/serial_executor.h"
#include "executor/steady_time.h"
#include "http_entry/http_server.h"
#include "sycamoretrayd/gateway/endpoint_connections.h"

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

struct connections_fixture {
    connections_fixture()
    {
        cr_assert(!server.start());
        connections.setReplyHandler([this](endpoint_attempt_id /*attempt*/, endpoint_reply reply) {
            replies.push_back(std::move(reply));
        });
    }

    boost::asio::io_context context;
    serial_executor executor{ context };
    /** Requests that the endpoint received and did not answer. */
    std::vector<std::shared_ptr<answer_handle>> handles;
    http_server server{ context, serverSettings(), [this](const http_request & /*request*/, std::shared_ptr<answer_handle> handle) {
                           handles.push_back(std::move(handle));
                       } };
    int unfinished = 0;
    endpoint_connections connections{ executor, nullptr, observer() };
    std::vector<endpoint_reply> replies;

    static http_server_settings serverSettings()
    {
        http_server_settings settings;
        settings.address = network_address("127.0.0.1:0");
        return settings;
    }

    endpoint_observer observer()
    {
        return { [](const network_address & /*endpoint*/, connection_event /*event*/) {},
                 [this](const network_address & /*endpoint*/) {
                     ++unfinished;
                 },
                 [this](const network_address & /*endpoint*/) {
                     --unfinished;
                 } };
    }

    void send(const std::string &address)
    {
        endpoint_entry endpoint;
        endpoint.incarnation = { endpoint_id("e"), 1, network_address(address) };
        gateway_request request;
        request.id = request_id("id1");
        request.message.method = "GET";
        request.message.target = "/a";
        request.message.fields = { { "Host", "h" }, { "Attempt-Id", "id1" } };
        connections.send(endpoint_attempt_id(1), endpoint, request, 5s);
    }
};

} // namespace

// Guards against a request that counts as finished twice when its caller leaves while its failure is on its way.
Test(endpoint_connections, aborted_request_may_have_failed_already)
{
    connections_fixture fixture;
    fixture.send("no address");
    fixture.connections.abort(endpoint_attempt_id(1));
    fixture.context.run_for(50ms);
    cr_expect_eq(fixture.unfinished, 0);
    cr_expect(fixture.replies.empty());
}

// Guards against a long request that gets no answer because its connection counts as unused.
Test(endpoint_connections, connection_in_use_is_kept)
{
    connections_fixture fixture;
    fixture.send("127.0.0.1:" + std::to_string(fixture.server.port()));
    fixture.context.run_for(100ms);
    cr_assert_eq(fixture.handles.size(), 1U);
    fixture.connections.closeUnused(steadyNow() + 1h);
    fixture.handles[0]->answer({ 404, { { "Attempt-Id", "id1" } }, "" });
    fixture.handles.clear();
    fixture.context.run_for(100ms);
    cr_expect_eq(fixture.replies.size(), 1U);
    cr_expect_eq(fixture.unfinished, 0);
    fixture.connections.closeUnused(steadyNow() + 1h);
    fixture.context.run_for(100ms);
    cr_expect_eq(fixture.server.connections(), 0U);
}
