#include "gateway/gateway.h"

#include <criterion/criterion.h>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

class recording_permit_source : public permit_source
{
public:
    std::vector<permit_id> asked;
    std::vector<permit_result> returned;
    bool used = true;

    bool isUsed(const permit_request & /*request*/) const override
    {
        return used;
    }
    void ask(const permit_request &request, monotonic_time /*now*/) override
    {
        asked.push_back(request.id);
    }
    void giveBack(permit_id /*permit*/, const permit_result &result, monotonic_time /*now*/) override
    {
        returned.push_back(result);
    }
};

class recording_port : public endpoint_port
{
public:
    std::vector<endpoint_attempt_id> sent;

    void send(endpoint_attempt_id attempt, const endpoint_entry & /*endpoint*/, const gateway_request & /*request*/, time_span /*timeLeft*/) override
    {
        sent.push_back(attempt);
    }
    void abort(endpoint_attempt_id /*attempt*/) override
    {
    }
};

/** A gateway with one endpoint, and one request that is in flight there with a permit. */
struct request_in_flight {
    request_in_flight()
    {
        router.setPermits(source);
        request_route route;
        route.name = "r";
        route.host = "h";
        route.pathPrefix = "/";
        route.targets = { { service_id("s"), 1 } };
        router.setRoutes(
            std::make_shared<const request_routes>(1, std::vector<request_route>{ route }, std::map<service_id, service_definition>{ { service_id("s"), {} } }),
            now);
        listed_endpoint endpoint;
        endpoint.entry.incarnation = { endpoint_id("e"), 1, network_address("10.0.0.1:80") };
        endpoint.entry.service = service_id("s");
        endpoint.entry.zone = availability_zone("z");
        router.setEndpoints({ { endpoint_id("e"), endpoint } }, now);
        request = submit("1");
        router.permitGranted(source.asked.at(0), endpoint_id("e"), 1, now);
    }

    recording_port port;
    recording_permit_source source;
    gateway router{ settings(), port, [](std::string_view, const auto &) {} };
    monotonic_time now{ 100s };
    gateway_request_id request;

    static gateway_settings settings()
    {
        gateway_settings result;
        result.instance = instance_id("i");
        result.zone = availability_zone("z");
        return result;
    }

    gateway_request_id submit(const std::string &id)
    {
        gateway_request message;
        message.id = request_id(id);
        message.host = "h";
        message.path = "/x";
        return router.submit(
            std::move(message), [](const gateway_answer &) {}, now);
    }

    void fail(bool sent)
    {
        endpoint_reply reply;
        reply.kind = sent ? reply_kind::failed : reply_kind::not_run;
        reply.sent = sent;
        reply.response.status = 0;
        reply.code = sent ? result_code::server_connection_lost : result_code::refused_by_server;
        router.replied(port.sent.at(0), reply, now);
    }

    std::uint32_t reportedFailures()
    {
        std::uint32_t failures = 0;
        for (const load_report &report : router.takeLoadReports()) {
            for (const endpoint_work &work : report.endpoints) {
                failures += work.failures;
            }
        }
        return failures;
    }
};

} // namespace

Test(isolated_gateway, failure_of_an_endpoint_is_reported)
{
    request_in_flight fixture;
    fixture.fail(true);
    cr_expect_eq(fixture.reportedFailures(), 1U);
    cr_assert_eq(fixture.source.returned.size(), 1U);
    cr_expect(fixture.source.returned[0].finished);
}

// Guards against keys that move away from an endpoint to which an instance could send nothing: it says nothing about the endpoint's speed.
Test(isolated_gateway, attempt_that_was_not_sent_is_no_failure_of_the_endpoint)
{
    request_in_flight fixture;
    fixture.fail(false);
    cr_expect_eq(fixture.reportedFailures(), 0U);
}

// Guards against endpoints that count as failing or slow for all, because an isolated instance got no answers.
Test(isolated_gateway, lost_attempt_of_an_isolated_instance_says_nothing_about_the_endpoint)
{
    request_in_flight fixture;
    fixture.router.setIsolated(true, fixture.now + 500ms);
    fixture.now += 600ms;
    fixture.fail(true);
    cr_expect_eq(fixture.reportedFailures(), 0U);
    cr_assert_eq(fixture.source.returned.size(), 1U);
    cr_expect_not(fixture.source.returned[0].finished);
    cr_expect_not(fixture.source.returned[0].sent);
}

// The same for an attempt that is given up after the isolation, which it outlasted.
Test(isolated_gateway, attempt_that_outlasts_the_isolation_says_nothing_about_the_endpoint)
{
    request_in_flight fixture;
    fixture.router.setIsolated(true, fixture.now + 300ms);
    fixture.router.setIsolated(false, fixture.now + 500ms);
    fixture.router.cancel(fixture.request, fixture.now + 900ms);
    cr_assert_eq(fixture.source.returned.size(), 1U);
    cr_expect_not(fixture.source.returned[0].finished);
    cr_expect_not(fixture.source.returned[0].sent);
}

// Guards against an instance that sends less than it could after its isolation, because it takes its lost attempts for failures of the endpoints.
Test(isolated_gateway, endpoints_are_used_at_once_after_the_isolation)
{
    request_in_flight fixture;
    fixture.router.setIsolated(true, fixture.now + 500ms);
    fixture.now += 600ms;
    fixture.fail(true);
    fixture.router.setIsolated(false, fixture.now);
    fixture.source.used = false;
    fixture.submit("2");
    cr_expect_eq(fixture.port.sent.size(), 2U, "the endpoint is blocked");
}
