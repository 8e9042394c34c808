#include "standins/load_tool/arrival_schedule.h"

#include <algorithm>
#include <random>
#include <stdexcept>

namespace sycamoretray::standins
{

namespace
{

constexpr std::uint32_t customerCount = 40;

/** Draws the random requests of a workload. */
class schedule_builder
{
public:
    explicit schedule_builder(const schedule_settings &settings)
        : m_settings(settings)
        , m_random(settings.seed)
    {
    }

    void addDrumWorkload(double rate)
    {
        addArrivals(rate, false, [this](double time) {
            return makeDrumRequest(time);
        });
    }

    void addTaxWorkload(double rate)
    {
        addArrivals(rate, true, [this](double) {
            return makeTaxRequest();
        });
    }

    void addSteadyWorkload(double rate, bool idempotentOnly)
    {
        addArrivals(rate, false, [this, idempotentOnly](double) {
            const bool pickup = !idempotentOnly && uniform(5) == 0;
            return makeTrackingRequest(uniform(m_settings.keys), pickup);
        });
    }

    std::vector<planned_request> takeRequests()
    {
        std::stable_sort(m_requests.begin(), m_requests.end(), [](const planned_request &a, const planned_request &b) {
            return a.at < b.at;
        });
        return std::move(m_requests);
    }

private:
    template<class MakeRequest>
    void addArrivals(double rate, bool varyingRate, MakeRequest makeRequest)
    {
        static constexpr double rateFactors[] = { 1.0, 0.4, 2.5, 0.7 };
        double time = 0;
        while (true) {
            const double factor = varyingRate ? rateFactors[static_cast<std::size_t>(time) % 4] : 1.0;
            time += std::exponential_distribution(rate * factor)(m_random);
            if (time >= m_settings.seconds) {
                return;
            }
            planned_request request = makeRequest(time);
            request.at = static_cast<long long>(time * 1e6);
            m_requests.push_back(std::move(request));
        }
    }

    planned_request makeDrumRequest(double time)
    {
        const std::uint32_t percent = uniform(100);
        const std::uint32_t hotCustomer = time < m_settings.seconds / 2 ? 7 : 23;
        const std::uint32_t anyKey = uniform(m_settings.keys);
        if (percent < 85) {
            const std::uint32_t key = uniform(2) == 0 ? anyKey / customerCount * customerCount + hotCustomer : anyKey;
            return makeTrackingRequest(key, percent >= 75);
        }
        planned_request request;
        request.customer = customerName(uniform(customerCount));
        request.nonIdempotent = percent >= 95;
        request.requestClass = request.nonIdempotent ? "deposit" : "balance";
        request.method = request.nonIdempotent ? "POST" : "GET";
        request.target = "/credit/" + request.customer + uniqueQuery();
        request.body = request.nonIdempotent ? "{\"credit\": " + std::to_string(uniform(100000)) + "}" : "";
        return request;
    }

    planned_request makeTrackingRequest(std::uint32_t key, bool pickup)
    {
        planned_request request;
        request.customer = customerName(key % customerCount);
        request.key = "drum-" + std::to_string(key);
        request.requestClass = pickup ? "pickup" : "position";
        request.method = pickup ? "POST" : "GET";
        request.target = "/tracking/" + request.key + (pickup ? "/pickups" : "/position") + uniqueQuery();
        request.body = pickup ? "{\"slot\": " + std::to_string(uniform(1000)) + "}" : "";
        request.nonIdempotent = pickup;
        return request;
    }

    planned_request makeTaxRequest()
    {
        planned_request request;
        const std::uint32_t percent = uniform(100);
        request.customer = customerName(uniform(customerCount));
        if (percent < 80) {
            const bool isLong = percent < 2;
            request.key = "fleet-" + std::to_string(uniform(m_settings.keys));
            request.keyInHeader = true;
            request.requestClass = isLong ? "report" : "rate";
            request.method = "GET";
            request.target = (isLong ? "/assessment/reports" : "/assessment/rates") + uniqueQuery();
            request.runUs = isLong ? m_settings.longRunUs : -1;
            return request;
        }
        request.requestClass = "declaration";
        request.method = "POST";
        request.target = "/lodging/declarations" + uniqueQuery();
        request.body = "{\"vehicles\": " + std::to_string(uniform(500)) + "}";
        request.nonIdempotent = true;
        return request;
    }

    static std::string customerName(std::uint32_t index)
    {
        return "customer-" + std::to_string(index);
    }

    std::string uniqueQuery()
    {
        return "?n=" + std::to_string(m_settings.seed) + "-" + std::to_string(m_requestNumber++);
    }

    std::uint32_t uniform(std::uint32_t count)
    {
        return std::uniform_int_distribution<std::uint32_t>(0, count - 1)(m_random);
    }

    schedule_settings m_settings;
    std::mt19937_64 m_random;
    std::uint64_t m_requestNumber = 0;
    std::vector<planned_request> m_requests;
};

} // namespace

std::vector<planned_request> makeArrivalSchedule(const schedule_settings &settings)
{
    schedule_builder builder(settings);
    const double rate = settings.requestsPerSecond;
    if (settings.workload == "drums") {
        builder.addDrumWorkload(rate);
    } else if (settings.workload == "tax") {
        builder.addTaxWorkload(rate);
    } else if (settings.workload == "both") {
        builder.addDrumWorkload(rate / 2);
        builder.addTaxWorkload(rate / 2);
    } else if (settings.workload == "steady" || settings.workload == "probe") {
        builder.addSteadyWorkload(rate, settings.workload == "probe");
    } else {
        throw std::invalid_argument("workload '" + settings.workload + "' is not drums, tax, both, steady or probe");
    }
    return builder.takeRequests();
}

} // namespace sycamoretray::standins
