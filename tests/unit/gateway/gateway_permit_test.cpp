#include "gateway/gateway.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

/** Records requests for permits and returned permits. */
class recording_permit_source : public permit_source
{
public:
    std::vector<permit_request> asked;
    std::vector<std::pair<permit_id, permit_result>> returned;

    bool isUsed(const permit_request & /*request*/) const override
    {
        return true;
    }
    void ask(const permit_request &request, monotonic_time /*now*/) override
    {
        asked.push_back(request);
    }
    void giveBack(permit_id permit, const permit_result &result, monotonic_time /*now*/) override
    {
        returned.emplace_back(permit, result);
    }
};

class recording_port : public endpoint_port
{
public:
    std::vector<endpoint_attempt_id> sent;
    std::vector<endpoint_attempt_id> aborted;

    void send(endpoint_attempt_id attempt, const endpoint_entry & /*endpoint*/, const gateway_request & /*request*/, time_span /*timeLeft*/) override
    {
        sent.push_back(attempt);
    }
    void abort(endpoint_attempt_id attempt) override
    {
        aborted.push_back(attempt);
    }
};

/** A gateway with one endpoint of a service that is not divided by key, and one request that waits for a permit. */
struct gateway_fixture {
    recording_port port;
    recording_permit_source source;
    gateway router{ settings(), port, [](std::string_view, const auto &) {} };
    monotonic_time now{ 100s };
    gateway_request_id request;
    std::optional<gateway_answer> answer;

    static gateway_settings settings()
    {
        gateway_settings result;
        result.instance = instance_id("i");
        result.zone = availability_zone("z");
        return result;
    }

    std::map<endpoint_id, listed_endpoint> endpoints;

    void addEndpoint(const char *id, const char *zone)
    {
        listed_endpoint &endpoint = endpoints[endpoint_id(id)];
        endpoint.entry.incarnation = { endpoint_id(id), 1, network_address("10.0.0.1:80") };
        endpoint.entry.service = service_id("s");
        endpoint.entry.zone = availability_zone(zone);
        router.setEndpoints(endpoints, now);
    }

    gateway_fixture()
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
        addEndpoint("e", "z");
        gateway_request message;
        message.id = request_id("1");
        message.host = "h";
        message.path = "/x";
        request = router.submit(
            std::move(message),
            [this](gateway_answer given) {
                answer = std::move(given);
            },
            now);
    }
};

} // namespace

// Guards against an endless loop in which the coordinator grants an endpoint that has left and the instance returns the permit.
Test(gateway_permits, coordinator_is_told_of_an_unusable_endpoint)
{
    gateway_fixture fixture;
    cr_assert_eq(fixture.source.asked.size(), 1U);
    fixture.router.permitGranted(fixture.source.asked[0].id, endpoint_id("gone"), 1, fixture.now);
    cr_expect(fixture.port.sent.empty());
    cr_assert_eq(fixture.source.returned.size(), 1U);
    cr_expect_not(fixture.source.returned[0].second.finished);
    fixture.now += 100ms;
    fixture.router.advance(fixture.now);
    cr_assert_eq(fixture.source.asked.size(), 2U);
    const std::vector<endpoint_id> &tried = fixture.source.asked[1].triedEndpoints;
    cr_expect(std::find(tried.begin(), tried.end(), endpoint_id("gone")) != tried.end());
}

// Guards against permits that are not returned after an answer, or after a cancellation before or after the permit was granted.
Test(gateway_permits, every_permit_is_returned_once)
{
    gateway_fixture answered;
    answered.router.permitGranted(answered.source.asked[0].id, endpoint_id("e"), 1, answered.now);
    cr_assert_eq(answered.port.sent.size(), 1U);
    endpoint_reply reply;
    reply.kind = reply_kind::answered;
    answered.router.replied(answered.port.sent[0], reply, answered.now + 10ms);
    cr_assert_eq(answered.source.returned.size(), 1U);
    cr_expect(answered.source.returned[0].second.finished);
    cr_expect(answered.answer && answered.answer->response);

    gateway_fixture cancelledWaiting;
    cancelledWaiting.router.cancel(cancelledWaiting.request, cancelledWaiting.now);
    cr_assert_eq(cancelledWaiting.source.returned.size(), 1U);
    cr_expect_not(cancelledWaiting.source.returned[0].second.finished);
    // A grant that arrives after the cancellation must not send the request.
    cancelledWaiting.router.permitGranted(cancelledWaiting.source.asked[0].id, endpoint_id("e"), 1, cancelledWaiting.now);
    cr_expect(cancelledWaiting.port.sent.empty());

    gateway_fixture cancelledInFlight;
    cancelledInFlight.router.permitGranted(cancelledInFlight.source.asked[0].id, endpoint_id("e"), 1, cancelledInFlight.now);
    cancelledInFlight.router.cancel(cancelledInFlight.request, cancelledInFlight.now + 10ms);
    cr_expect_eq(cancelledInFlight.port.aborted.size(), 1U);
    cr_expect_eq(cancelledInFlight.source.returned.size(), 1U);
}

// Guards against a request that waits forever when no coordinator can be asked.
Test(gateway_permits, request_is_sent_without_a_permit_if_no_coordinator_is_available)
{
    gateway_fixture fixture;
    fixture.router.permitUnavailable(fixture.source.asked[0].id, fixture.now);
    cr_expect_eq(fixture.port.sent.size(), 1U);
}

// Guards against a permit of another instance by which a request is sent to an endpoint that wants none from this instance.
Test(gateway_permits, permit_for_a_paused_endpoint_is_returned)
{
    gateway_fixture fixture;
    fixture.router.permitGranted(fixture.source.asked[0].id, endpoint_id("e"), 1, fixture.now);
    cr_assert_eq(fixture.port.sent.size(), 1U);
    endpoint_reply refusal;
    refusal.kind = reply_kind::not_run;
    refusal.code = result_code::refused_by_server;
    refusal.response.status = 503;
    refusal.pause = 3s;
    fixture.router.replied(fixture.port.sent[0], refusal, fixture.now);
    cr_assert_eq(fixture.source.asked.size(), 2U);
    fixture.router.permitGranted(fixture.source.asked[1].id, endpoint_id("e"), 1, fixture.now);
    cr_expect_eq(fixture.port.sent.size(), 1U);
    cr_assert_eq(fixture.source.returned.size(), 2U);
    cr_expect_not(fixture.source.returned[1].second.finished);
}

// Guards against a place that is promised to a caller that does not learn of the refusal, because another zone is asked next.
Test(gateway_permits, coordinator_is_told_which_refusal_reaches_the_caller)
{
    gateway_fixture fixture;
    std::map<endpoint_id, listed_endpoint> endpoints;
    for (const char *zone : { "y", "z" }) {
        listed_endpoint &endpoint = endpoints[endpoint_id(zone)];
        endpoint.entry.incarnation = { endpoint_id(zone), 1, network_address("10.0.0.1:80") };
        endpoint.entry.service = service_id("s");
        endpoint.entry.zone = availability_zone(zone);
    }
    fixture.router.cancel(fixture.request, fixture.now);
    fixture.source.asked.clear();
    fixture.router.setEndpoints(endpoints, fixture.now);
    gateway_request message;
    message.id = request_id("2");
    message.host = "h";
    message.path = "/x";
    fixture.router.submit(
        std::move(message), [](const gateway_answer &) {}, fixture.now);
    for (std::size_t i = 0; i < 3; ++i) {
        cr_assert_eq(fixture.source.asked.size(), i + 1);
        const permit_request asked = fixture.source.asked.back();
        cr_expect(asked.fingerprint && asked.fingerprint == fixture.source.asked.front().fingerprint);
        cr_expect_eq(asked.callerTimeLeft.has_value(), i == 2);
        fixture.router.permitRefused(asked.id, 1s, fixture.now);
    }
}

// Guards against a request that goes on waiting in an evacuated zone, and against one that is sent there with a permit that a coordinator
// granted before it knew.
Test(gateway_permits, evacuated_zone_is_left_for_another)
{
    gateway_fixture fixture;
    fixture.addEndpoint("f", "y");
    cr_assert(fixture.source.asked.size() == 1 && fixture.source.asked[0].zone == availability_zone("z"));
    fixture.endpoints.at(endpoint_id("e")).evacuatedSince = fixture.now;
    fixture.router.setEndpoints(fixture.endpoints, fixture.now);
    cr_assert_eq(fixture.source.asked.size(), 2U);
    cr_expect(fixture.source.asked[1].zone == availability_zone("y"));
    cr_assert_eq(fixture.source.returned.size(), 1U);
    cr_expect(fixture.source.returned[0].first == fixture.source.asked[0].id);
    fixture.router.permitGranted(fixture.source.asked[1].id, endpoint_id("e"), 1, fixture.now);
    cr_expect(fixture.port.sent.empty());
    cr_expect_eq(fixture.source.returned.size(), 2U);
}
