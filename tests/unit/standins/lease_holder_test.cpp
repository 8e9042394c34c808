#include "standins/server/lease_holder.h"

#include <criterion/criterion.h>

using namespace sycamoretray::standins;
using nlohmann::json;

namespace
{

constexpr long long ms = 1000;

json leaseRequest(std::uint64_t term, const std::string &challenge, std::uint64_t version = 1, bool withOwnership = true)
{
    json request = { { "home_term", term }, { "challenge", challenge }, { "lease_ms", 400 }, { "ownership_version", version } };
    if (withOwnership) {
        request["ownership"] = { { "version", version }, { "slots", { { 0, 99 } } }, { "extra_keys", { "x" } }, { "except_keys", { "y" } } };
    }
    return request;
}

std::string challengeOf(const lease_holder::reply &reply)
{
    return reply.content.at("challenge").get<std::string>();
}

} // namespace

// Guards against a stand-in that starts a lease at the receipt of a delayed grant, which would hide a fault of the home.
Test(lease_holder, lease_counts_from_the_challenge)
{
    lease_holder holder("b1");
    const std::string challenge = challengeOf(holder.handle(leaseRequest(10, ""), 1000 * ms));
    cr_expect_not(holder.mayRun(10, 5, "k", true, 1000 * ms));
    holder.handle(leaseRequest(10, challenge), 1300 * ms);
    cr_expect(holder.mayRun(10, 5, "k", true, 1399 * ms));
    cr_expect_not(holder.mayRun(10, 5, "k", true, 1400 * ms));
}

// Guards against a server that goes on serving an old home after a new one has taken over.
Test(lease_holder, higher_term_ends_the_lease_and_lower_term_is_refused)
{
    lease_holder holder("b1");
    const std::string challenge = challengeOf(holder.handle(leaseRequest(10, ""), 1000 * ms));
    const auto second = holder.handle(leaseRequest(10, challenge), 1010 * ms);
    cr_expect(second.leaseExtended);
    const auto takeover = holder.handle(leaseRequest(20, ""), 1020 * ms);
    cr_expect_eq(takeover.content.at("held_term").get<int>(), 10);
    cr_expect_not(holder.mayRun(10, 5, "k", true, 1021 * ms));
    cr_expect_not(holder.mayRun(20, 5, "k", true, 1021 * ms));
    cr_expect_eq(holder.handle(leaseRequest(10, challengeOf(second)), 1022 * ms).status, 409U);
}

// Guards against a lease that is accepted although the server does not know which slots it owns.
Test(lease_holder, missing_ownership_gives_no_lease)
{
    lease_holder holder("b1");
    const std::string challenge = challengeOf(holder.handle(leaseRequest(10, "", 1), 1000 * ms));
    const auto reply = holder.handle(leaseRequest(10, challenge, 2, false), 1010 * ms);
    cr_expect(reply.content.at("ownership_missing").get<bool>());
    cr_expect_not(reply.leaseExtended);
}

// Guards against a restarted server that accepts a challenge of its earlier process, or one with a time in the future.
Test(lease_holder, foreign_challenge_gives_no_lease)
{
    lease_holder holder("b2");
    cr_expect_not(holder.handle(leaseRequest(10, "b1:999000"), 1000 * ms).leaseExtended);
    cr_expect_not(holder.handle(leaseRequest(10, "b2:2000000"), 1000 * ms).leaseExtended);
}

// Guards against exceptions for single keys that are ignored.
Test(lease_holder, key_exceptions_override_slots)
{
    const key_ownership ownership(leaseRequest(1, "").at("ownership"));
    cr_expect(ownership.owns(0, "k"));
    cr_expect(ownership.owns(99, "k"));
    cr_expect_not(ownership.owns(100, "k"));
    cr_expect(ownership.owns(100, "x"));
    cr_expect_not(ownership.owns(5, "y"));
}
