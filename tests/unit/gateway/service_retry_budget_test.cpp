#include "gateway/service_retry_budget.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>

using namespace sycamoretray;

// Guards against more retries in any window than the deployment allows, when all instances use their whole budget.
Test(service_retry_budget, all_instances_together_keep_the_limit)
{
    const service_retry_budget_settings settings{ 0.2, 56, std::chrono::seconds(10) };
    constexpr std::size_t instances = 9;
    std::vector<service_retry_budget> budgets(instances, service_retry_budget(settings));
    for (service_retry_budget &each : budgets) {
        each.setInstances(instances);
    }
    std::deque<monotonic_time> requests;
    std::deque<monotonic_time> retries;
    monotonic_time now(std::chrono::seconds(1));
    for (int step = 0; step < 6000; ++step) {
        now += std::chrono::milliseconds(10);
        // Low and high load alternate, so that saved retries are spent in a burst.
        const bool busy = step / 1000 % 2 == 1;
        if (busy || step % 50 == 0) {
            budgets[static_cast<std::size_t>(step) % instances].earn(now);
            requests.push_back(now);
        }
        for (service_retry_budget &each : budgets) {
            if (busy && each.spend(now)) {
                retries.push_back(now);
            }
        }
        while (!requests.empty() && now - requests.front() > settings.window) {
            requests.pop_front();
        }
        while (!retries.empty() && now - retries.front() > settings.window) {
            retries.pop_front();
        }
        const double allowed = settings.share * static_cast<double>(requests.size()) + settings.slack;
        cr_assert(static_cast<double>(retries.size()) <= allowed, "%zu retries, %.1f allowed", retries.size(), allowed);
    }
}

Test(service_retry_budget, allows_a_retry_after_the_first_request)
{
    service_retry_budget budget({ 0.2, 56, std::chrono::seconds(10) });
    const monotonic_time now(std::chrono::seconds(1));
    budget.earn(now);
    cr_expect(budget.spend(now));
}
