#include "gateway/retry_allowance.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>

using namespace sycamoretray;

// Guards against more repeats in any window than the deployment allows, with many instances that all use what they may.
Test(retry_allowance, instances_together_keep_the_limit)
{
    const retry_allowance_settings settings{ 0.2, 56, std::chrono::seconds(10) };
    constexpr std::size_t instances = 9;
    std::vector<retry_allowance> allowances(instances, retry_allowance(settings));
    for (retry_allowance &each : allowances) {
        each.setInstances(instances);
    }
    std::deque<monotonic_time> requests;
    std::deque<monotonic_time> repeats;
    monotonic_time now(std::chrono::seconds(1));
    for (int step = 0; step < 6000; ++step) {
        now += std::chrono::milliseconds(10);
        // Quiet and busy times in turn, so that saved repeats meet a burst.
        const bool busy = step / 1000 % 2 == 1;
        if (busy || step % 50 == 0) {
            allowances[static_cast<std::size_t>(step) % instances].earn(now);
            requests.push_back(now);
        }
        for (retry_allowance &each : allowances) {
            if (busy && each.spend(now)) {
                repeats.push_back(now);
            }
        }
        while (!requests.empty() && now - requests.front() > settings.window) {
            requests.pop_front();
        }
        while (!repeats.empty() && now - repeats.front() > settings.window) {
            repeats.pop_front();
        }
        const double allowed = settings.share * static_cast<double>(requests.size()) + settings.slack;
        cr_assert(static_cast<double>(repeats.size()) <= allowed, "%zu repeats, %.1f allowed", repeats.size(), allowed);
    }
}

Test(retry_allowance, allows_some_repeats)
{
    retry_allowance allowance({ 0.2, 56, std::chrono::seconds(10) });
    const monotonic_time now(std::chrono::seconds(1));
    allowance.earn(now);
    cr_expect(allowance.spend(now));
}
