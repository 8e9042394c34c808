#include "endpoint_speed/momentary_speed.h"

#include <criterion/criterion.h>

#include <cmath>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

constexpr monotonic_time start{ 100s };

} // namespace

// Guards against endpoints that are avoided long after their slow interval, a speed assumed without a report, and a division by zero.
Test(momentary_speed, weight_of_a_report_falls_to_zero)
{
    momentary_speed speed;
    cr_expect_eq(speed.slowness(start), 1);
    speed.record(300, start);
    cr_expect(std::abs(speed.slowness(start) - 3) < 0.01);
    cr_expect(std::abs(speed.slowness(start + 200ms) - 2) < 0.01);
    cr_expect_eq(speed.slowness(start + 400ms), 1);
    speed.record(0, start + 1s);
    cr_expect(speed.slowness(start + 1s) > 0);
}

// Guards against an endpoint that counts as slow for seconds because requests ran through a slow interval.
Test(momentary_speed, run_time_is_compared_with_the_reports_of_the_run)
{
    momentary_speed speed;
    speed.record(300, start);
    speed.record(300, start + 300ms);
    speed.record(100, start + 400ms);
    // 400 ms at a third of the speed and 100 ms at full speed are the work of 233 ms.
    cr_expect(std::abs(speed.slownessDuring(start, start + 500ms) - 500 / 233.3) < 0.01);
    cr_expect_eq(speed.slownessDuring(start + 1s, start + 2s), 1);
}
