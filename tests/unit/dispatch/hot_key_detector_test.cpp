#include "dispatch/hot_key_detector.h"

#include <criterion/criterion.h>

#include <iostream>
#include <random>
#include <set>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

/** Counts a request per millisecond: half of them for 32 hot keys that start with @p prefix, the rest for 100,000 others. */
void feed(hot_key_detector &detector, const std::string &prefix, monotonic_time &now, int requests, std::mt19937_64 &random)
{
    for (int i = 0; i < requests; ++i) {
        now += 1ms;
        const bool hot = random() % 2 == 0;
        detector.count(hot ? prefix + std::to_string(random() % 32) : "cold" + std::to_string(random() % 100'000), now);
    }
}

} // namespace

// Guards against hot keys that are missed among many others, wrong rates, and keys still reported after their traffic
// has ended.
Test(hot_key_detector, finds_the_hottest_keys_and_follows_a_change)
{
    for (const unsigned seed : { 1U, 2U, 3U }) {
        std::cout << "seed " << seed << '\n';
        std::mt19937_64 random(seed);
        hot_key_detector detector(server_id("s"));
        monotonic_time now{ 10s };
        for (const char *prefix : { "first", "second" }) {
            feed(detector, prefix, now, 40'000, random);
            const auto reports = detector.report(0.008, now);
            std::set<std::string> found;
            for (const hot_key_report &each : reports) {
                found.insert(each.key);
                cr_expect(each.key.starts_with(prefix), "cold key %s", each.key.c_str());
                cr_expect(each.requestsPerSecond > 7 && each.requestsPerSecond < 24, "rate %f", each.requestsPerSecond);
                cr_expect(each.serverRequestsPerSecond > 950 && each.serverRequestsPerSecond < 1050, "rate %f", each.serverRequestsPerSecond);
            }
            cr_expect(found.size() >= 28, "%zu of 32", found.size());
        }
    }
}
