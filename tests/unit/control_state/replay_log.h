#pragma once

#include "control_state/control_state.h"
#include "records/record_builder.h"

#include <map>
#include <string>

/** Appends records to a control stream in memory and applies each to a state. */
class replay_log
{
public:
    sycamoretray::apply_outcome add(const std::string &author, sycamoretray::pb::Record record)
    {
        record.set_author(author);
        record.set_sequence(++m_sequences[author]);
        return addRaw(record.SerializeAsString());
    }

    sycamoretray::apply_outcome addRaw(const std::string &data)
    {
        m_records.push_back(data);
        return state.apply(data);
    }

    void join(const std::string &author)
    {
        sycamoretray::pb::Record record;
        record.mutable_instance_joined()->set_instance(author.substr(0, author.find('#')));
        record.mutable_instance_joined()->set_zone("z1");
        record.mutable_instance_joined()->set_peer_address("127.0.0.1:7001");
        add(author, record);
    }

    /** Publishes one service "t.s" with servers e0, e1, ... */
    void publish(const std::string &author, int servers)
    {
        sycamoretray::pb::Record document;
        auto *body = document.mutable_template_published();
        body->set_name("drums");
        body->set_document(R"({"template": "drums", "parameters": {"endpoints": {"type": "array"}}, "services": [{"name": "s",
            "path_prefix": "/s", "key": {"path_segment": 1}, "endpoints": {"parameter": "endpoints"}}]})");
        add(author, document);
        publishEndpoints(author, servers, 0);
    }

    void publishEndpoints(const std::string &author, int servers, std::uint64_t baseVersion)
    {
        sycamoretray::pb::Record document;
        auto *body = document.mutable_parameters_published();
        std::string endpoints;
        for (int i = 0; i < servers; ++i) {
            endpoints += (i == 0 ? "" : ",") + std::string(R"({"name": "e)") + std::to_string(i) + R"(", "address": "127.0.0.1:)" + std::to_string(7100 + i)
                + R"(", "availability_zone": "z1", "worker_slots": 2})";
        }
        body->set_name("t");
        body->set_base_version(baseVersion);
        body->set_document(R"({"team": "t", "template": "drums", "values": {"endpoints": [)" + endpoints + "]}}");
        add(author, document);
    }

    /** Makes @p author the home of server number @p index and marks the server up. */
    void bringUp(const std::string &author, int index)
    {
        add(author, sycamoretray::homeClaimedRecord(server(index), state.servers().at(server(index)).term));
        add(author, sycamoretray::serverUpRecord(server(index), term(index)));
    }

    static sycamoretray::server_id server(int index)
    {
        return sycamoretray::server_id("t.s/e" + std::to_string(index));
    }

    sycamoretray::home_term term(int index) const
    {
        return state.servers().at(server(index)).term;
    }

    const sycamoretray::slot_table &table() const
    {
        return *state.findTable(sycamoretray::service_id("t.s"));
    }

    const std::vector<std::string> &records() const
    {
        return m_records;
    }

    sycamoretray::control_state state;

private:
    std::map<std::string, std::uint64_t> m_sequences;
    std::vector<std::string> m_records;
};
