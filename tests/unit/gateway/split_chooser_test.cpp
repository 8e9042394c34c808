#include "gateway/split_chooser.h"

#include <criterion/criterion.h>

#include <cmath>

using namespace sycamoretray;

namespace
{

request_route splitRoute(double first, double second)
{
    request_route route;
    route.name = "r";
    route.targets = { { service_id("a"), first }, { service_id("b"), second } };
    return route;
}

} // namespace

// Guards against shares that are only correct over many requests, as each instance sees only a few.
Test(split_chooser, shares_are_exact_over_few_requests)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        split_chooser chooser(seed);
        const request_route route = splitRoute(90, 10);
        int toB = 0;
        for (int i = 0; i < 40; ++i) {
            toB += chooser.choose(route).service == service_id("b") ? 1 : 0;
        }
        cr_expect(std::abs(toB - 4) <= 1, "%d of 40", toB);
    }
}

// Guards against keeping the old shares after the weights changed.
Test(split_chooser, new_weights_take_effect_at_once)
{
    split_chooser chooser(3);
    for (int i = 0; i < 50; ++i) {
        chooser.choose(splitRoute(100, 1));
    }
    int toB = 0;
    for (int i = 0; i < 20; ++i) {
        toB += chooser.choose(splitRoute(0, 5)).service == service_id("b") ? 1 : 0;
    }
    cr_expect(toB >= 19);
}
