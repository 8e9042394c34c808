#include "measurements.h"
#include "policies.h"

#include <algorithm>
#include <chrono>

namespace sycamoretray
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t requestsPerRun = 100'000;
constexpr std::uint32_t slots = 3;

std::vector<dispatch_event> makeRequests(bool nonIdempotent, std::size_t queued)
{
    std::vector<dispatch_event> result;
    for (std::size_t i = 0; i < requestsPerRun + queued; ++i) {
        dispatch_request request;
        request.id = dispatch_id(i + 1);
        request.requestId = request_id("01890a5d-ac96-774b-bcce-b302" + std::to_string(10'000'000 + i));
        request.callerSuppliedId = request.nonIdempotent = nonIdempotent;
        request.key = "drum-" + std::to_string(i % 5000);
        request.customer = customer_id("customer-" + std::to_string(i % 50));
        request.created = wall_time(2h);
        request.deadline = monotonic_time(1h);
        request.fingerprint = request_fingerprint(i);
        result.emplace_back(std::move(request));
    }
    return result;
}

/** Returns the mean time to handle an arrival and an answer, in nanoseconds, while @p queued requests wait. */
double nanosecondsPerRequest(dispatch_policy &policy, bool nonIdempotent, std::size_t queued)
{
    std::vector<dispatch_event> requests = makeRequests(nonIdempotent, queued);
    std::vector<dispatch_action> actions;
    std::vector<dispatch_id> running;
    monotonic_time now{ 1s };
    const wall_time wallNow(2h);
    const auto handle = [&](dispatch_event event) {
        actions.clear();
        policy.handle(std::move(event), now, wallNow, actions);
        for (const dispatch_action &each : actions) {
            if (const auto *sent = std::get_if<send_request>(&each)) {
                running.push_back(sent->id);
            }
        }
    };
    running.reserve(slots);
    policy.handle(valid_until_changed{ home_term(1), monotonic_time::max() }, now, wallNow, actions);
    for (std::size_t i = 0; i < queued; ++i) {
        handle(std::move(requests[requestsPerRun + i]));
    }
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < requestsPerRun; ++i) {
        handle(std::move(requests[i]));
        now += 300us;
        const dispatch_id id = running.front();
        running.erase(running.begin());
        handle(server_answered{ id, nullptr, 0 });
    }
    return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count() / requestsPerRun;
}

double median(const policy_factory &policy, bool nonIdempotent, std::size_t queued, std::uint64_t repetitions)
{
    std::vector<double> values;
    for (std::uint64_t i = 0; i < repetitions; ++i) {
        values.push_back(nanosecondsPerRequest(*policy(), nonIdempotent, queued));
    }
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

measurement measureCost(const std::string &conditions, bool nonIdempotent, std::size_t queued)
{
    return [=](std::uint64_t repetitions) {
        // The deduplication table has room for all ids of a run.
        const policy_factory policy = [] {
            dispatcher_settings settings;
            settings.workerSlots = slots;
            settings.deduplicationEntries = 2 * requestsPerRun;
            return std::make_unique<dispatcher_policy>(settings);
        };
        measurement_row row;
        row.measure = "decision logic per request (arrival and answer), median of the repetitions";
        row.target = "<= 2000";
        row.value = median(policy, nonIdempotent, queued, repetitions);
        row.unit = "ns";
        row.baseline = "first come first served";
        row.baselineValue = median(firstComePolicy(slots), nonIdempotent, queued, repetitions);
        row.seeds = repetitions;
        row.requests = requestsPerRun;
        row.conditions = conditions;
        return std::vector<measurement_row>{ row };
    };
}

} // namespace

std::map<std::string, measurement> costMeasurements()
{
    return { { "cost_idle", measureCost("idempotent, empty queue, 50 customers", false, 0) },
             { "cost_queued", measureCost("idempotent, 500 requests queued, 50 customers", false, 500) },
             { "cost_remembered", measureCost("non-idempotent, empty queue, up to 100,000 ids remembered", true, 0) } };
}

} // namespace sycamoretray
