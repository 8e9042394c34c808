#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sycamoretray::standins
{

/** One request of the schedule. */
struct planned_request {
    long long at = 0; ///< microseconds after the start
    std::string requestClass;
    std::string method;
    std::string target; ///< unique: contains the number of the request
    std::string key; ///< empty if the service is not divided by key
    std::string customer;
    std::string body;
    bool keyInHeader = false;
    bool nonIdempotent = false;
    long long runUs = -1; ///< run time that the server is told to take; -1: decided by the server
};

struct schedule_settings {
    /** drums, tax, both, steady or probe. */
    std::string workload = "drums";
    double requestsPerSecond = 1000;
    double seconds = 10;
    std::uint64_t seed = 1;
    std::uint32_t keys = 400;
    /** Run time of long requests of the tax workload. */
    long long longRunUs = 100000;
};

/**
 * Returns the requests in order of arrival. Arrivals are a Poisson process whose rate and mix depend on the workload:
 * - drums: half of the tracking requests are for the keys of one customer, another one in the second half of the run;
 * - tax: the rate changes every second, between 0.4 and 2.5 times the given one; 2 % of the assessments are long;
 * - both: half of the rate for each of drums and tax;
 * - steady: drum tracking only, uniform over all keys, one of five requests non-idempotent;
 * - probe: idempotent drum tracking requests only, uniform over all keys.
 *
 * @throws std::invalid_argument if the workload is unknown
 */
std::vector<planned_request> makeArrivalSchedule(const schedule_settings &settings);

} // namespace sycamoretray::standins
