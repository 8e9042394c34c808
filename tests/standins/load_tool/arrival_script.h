#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sycamoretray::standins
{

/** One request of a script. */
struct planned_request {
    long long at = 0; ///< microseconds after the start
    std::string requestClass;
    std::string method;
    std::string target; ///< contains the number of the request, so that no two targets are equal
    std::string key; ///< empty if the service is not divided by key
    std::string customer;
    std::string body;
    bool keyInHeader = false;
    bool nonIdempotent = false;
    long long runUs = -1; ///< run time asked of the server; -1 leaves it to the server
};

struct script_settings {
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
 * Returns the arrivals in order of time. They are a Poisson process whose rate and mix follow the workload:
 * - drums: one customer's keys get half of the tracking requests, and another customer's in the second half of the run;
 * - tax: the rate swings between 0.4 and 2.5 times the given one every second; 2 % of the assessments are long;
 * - both: half of each;
 * - steady: drum tracking only, all keys alike, one of five requests non-idempotent;
 * - probe: idempotent drum tracking requests, all keys alike.
 *
 * @throws std::invalid_argument if the workload is unknown
 */
std::vector<planned_request> makeArrivalScript(const script_settings &settings);

} // namespace sycamoretray::standins
