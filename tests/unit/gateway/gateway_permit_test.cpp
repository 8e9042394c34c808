#include "gateway/gateway.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

/** Records what it is asked and what is given back. */
class recording_source : public permit_source
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

/** A gateway with one endpoint of a service that is not divided by key, and one request that asks for a permit. */
struct asking_gateway {
    recording_port port;
    recording_source source;
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

    asking_gateway()
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
        endpoint.entry.life = { endpoint_id("e"), 1, network_address("10.0.0.1:80") };
        endpoint.entry.service = service_id("s");
        endpoint.entry.zone = availability_zone("z");
        router.setEndpoints({ { endpoint_id("e"), endpoint } }, now);
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

// Guards against a loop between a keeper that still grants an endpoint that has left, and an instance that knows better.
Test(gateway_permits, keeper_is_told_of_an_endpoint_that_is_not_usable)
{
    asking_gateway world;
    cr_assert_eq(world.source.asked.size(), 1U);
    world.router.permitGranted(world.source.asked[0].id, endpoint_id("gone"), 1, world.now);
    cr_expect(world.port.sent.empty());
    cr_assert_eq(world.source.returned.size(), 1U);
    cr_expect_not(world.source.returned[0].second.finished);
    world.now += 100ms;
    world.router.advance(world.now);
    cr_assert_eq(world.source.asked.size(), 2U);
    const std::vector<endpoint_id> &tried = world.source.asked[1].tried;
    cr_expect(std::find(tried.begin(), tried.end(), endpoint_id("gone")) != tried.end());
}

// Guards against permits that are never given back: by an answer, a caller that leaves while waiting, or one that leaves later.
Test(gateway_permits, every_permit_is_given_back_once)
{
    asking_gateway answered;
    answered.router.permitGranted(answered.source.asked[0].id, endpoint_id("e"), 1, answered.now);
    cr_assert_eq(answered.port.sent.size(), 1U);
    endpoint_reply reply;
    reply.kind = reply_kind::answered;
    answered.router.replied(answered.port.sent[0], reply, answered.now + 10ms);
    cr_assert_eq(answered.source.returned.size(), 1U);
    cr_expect(answered.source.returned[0].second.finished);
    cr_expect(answered.answer && answered.answer->response);

    asking_gateway leaving;
    leaving.router.cancel(leaving.request, leaving.now);
    cr_assert_eq(leaving.source.returned.size(), 1U);
    cr_expect_not(leaving.source.returned[0].second.finished);
    // A grant that crosses the cancellation sends nothing.
    leaving.router.permitGranted(leaving.source.asked[0].id, endpoint_id("e"), 1, leaving.now);
    cr_expect(leaving.port.sent.empty());

    asking_gateway later;
    later.router.permitGranted(later.source.asked[0].id, endpoint_id("e"), 1, later.now);
    later.router.cancel(later.request, later.now + 10ms);
    cr_expect_eq(later.port.aborted.size(), 1U);
    cr_expect_eq(later.source.returned.size(), 1U);
}

// Guards against a request that waits for nobody when no keeper can be asked.
Test(gateway_permits, request_is_sent_without_a_permit_if_nobody_decides)
{
    asking_gateway world;
    world.router.permitUnavailable(world.source.asked[0].id, world.now);
    cr_expect_eq(world.port.sent.size(), 1U);
}
