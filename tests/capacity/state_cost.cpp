#include "state_cost.h"

#include "control_state/control_state.h"
#include "control_state/routing_builder.h"
#include "records/record_builder.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <malloc.h>
#include <stdexcept>

namespace sycamoretray::capacity
{

namespace
{

using nlohmann::json;

constexpr int repetitions = 50;

/** Applies records of the instances "i0#0", "i1#0" and so on to a state. */
class record_applier
{
public:
    std::uint64_t apply(std::size_t author, pb::Record record)
    {
        record.set_author("i" + std::to_string(author) + "#0");
        record.set_sequence(++m_sequence);
        const std::uint64_t offset = state.position().value();
        if (state.apply(record.SerializeAsString()).verdict != record_verdict::applied) {
            throw std::runtime_error("a record of the measurement was refused");
        }
        return offset;
    }

    control_state state;

private:
    std::uint64_t m_sequence = 0;
};

pb::Record joinedRecord(std::size_t index)
{
    pb::Record record;
    pb::InstanceJoined &body = *record.mutable_instance_joined();
    body.set_instance("i" + std::to_string(index));
    body.set_zone("zone-" + std::to_string(index % 3));
    body.set_peer_address("10.0.0.1:7001");
    body.set_caller_address("10.0.0.1:7002");
    body.set_admin_address("10.0.0.1:7003");
    return record;
}

pb::Record templateRecord()
{
    pb::Record record;
    record.mutable_template_published()->set_name("keyed");
    record.mutable_template_published()->set_document(
        R"({"template": "keyed", "parameters": {"endpoints": {"type": "array"}}, "services": [{"name": "s", "path_prefix": "/s",
            "key": {"path_segment": 1}, "endpoints": {"parameter": "endpoints"}}]})");
    return record;
}

pb::Record parametersRecord(std::size_t servers)
{
    json endpoints = json::array();
    for (std::size_t i = 0; i < servers; ++i) {
        endpoints.push_back({ { "name", "e" + std::to_string(i) },
                              { "address", "10.0." + std::to_string(i / 250) + "." + std::to_string(1 + i % 250) + ":8000" },
                              { "availability_zone", "zone-" + std::to_string(i % 3) } });
    }
    pb::Record record;
    record.mutable_parameters_published()->set_name("t");
    record.mutable_parameters_published()->set_document(json{ { "team", "t" }, { "template", "keyed" }, { "values", { { "endpoints", endpoints } } } }.dump());
    return record;
}

double microsecondsSince(std::chrono::steady_clock::time_point begin, int count)
{
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count() / count;
}

} // namespace

state_cost measureState(std::size_t instances, std::size_t servers)
{
    const auto heapBefore = static_cast<double>(mallinfo2().uordblks);
    record_applier applier;
    for (std::size_t i = 0; i < instances; ++i) {
        applier.apply(i, joinedRecord(i));
    }
    applier.apply(0, templateRecord());
    applier.apply(0, parametersRecord(servers));
    std::vector<std::uint64_t> terms;
    for (std::size_t i = 0; i < servers; ++i) {
        const server_id server("t.s/e" + std::to_string(i));
        terms.push_back(applier.apply(0, homeClaimedRecord(server, home_term(0))));
    }
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < servers; ++i) {
        applier.apply(0, serverUpRecord(server_id("t.s/e" + std::to_string(i)), home_term(terms[i])));
    }
    state_cost cost;
    cost.applyMicroseconds = microsecondsSince(begin, static_cast<int>(servers));
    cost.instances = instances;
    cost.servers = servers;
    cost.heapBytes = static_cast<double>(mallinfo2().uordblks) - heapBefore;
    cost.encodedBytes = static_cast<double>(applier.state.encode().size());

    const server_id first("t.s/e0");
    double digest = 0;
    for (int i = 0; i < repetitions; ++i) {
        // Applying a record invalidates the cached digest, so that digest() computes it anew.
        applier.apply(0, endpointDrainRecord(first, i % 2 == 0, "measure"));
        const auto digestBegin = std::chrono::steady_clock::now();
        applier.state.digest();
        digest += microsecondsSince(digestBegin, repetitions);
    }
    cost.digestMicroseconds = digest;
    const auto tableBegin = std::chrono::steady_clock::now();
    for (int i = 0; i < repetitions; ++i) {
        buildRoutingTable(applier.state);
    }
    cost.routingTableMicroseconds = microsecondsSince(tableBegin, repetitions);
    return cost;
}

} // namespace sycamoretray::capacity
