#include "records/record_builder.h"

namespace sycamoretray
{

pb::Record instanceLeftRecord(const incarnation_id &incarnation, const std::string &reason)
{
    pb::Record record;
    record.mutable_instance_left()->set_incarnation(incarnation.value());
    record.mutable_instance_left()->set_reason(reason);
    return record;
}

pb::Record confirmersChangedRecord(std::uint64_t changeNumber, const incarnation_id &incarnation, bool add)
{
    pb::Record record;
    auto *body = record.mutable_confirmers_changed();
    body->set_change_number(changeNumber);
    body->set_incarnation(incarnation.value());
    body->set_add(add);
    return record;
}

pb::Record confirmersSettledRecord(std::uint64_t changeNumber)
{
    pb::Record record;
    record.mutable_confirmers_settled()->set_change_number(changeNumber);
    return record;
}

pb::Record homeClaimedRecord(const server_id &server, home_term previousTerm)
{
    pb::Record record;
    record.mutable_home_claimed()->set_server(server.value());
    record.mutable_home_claimed()->set_previous_term(previousTerm.value());
    return record;
}

pb::Record serverUpRecord(const server_id &server, home_term term)
{
    pb::Record record;
    record.mutable_server_up()->set_server(server.value());
    record.mutable_server_up()->set_term(term.value());
    return record;
}

pb::Record serverLostRecord(const server_id &server, home_term term, const std::vector<server_id> &avoid)
{
    pb::Record record;
    auto *body = record.mutable_server_lost();
    body->set_server(server.value());
    body->set_term(term.value());
    for (const server_id &other : avoid) {
        body->add_avoid(other.value());
    }
    return record;
}

pb::Record slotsMovedRecord(const service_id &service, const server_id &from, home_term term, const server_id &to, const std::vector<hash_slot> &slots)
{
    pb::Record record;
    auto *body = record.mutable_slots_moved();
    body->set_service(service.value());
    body->set_from(from.value());
    body->set_term(term.value());
    body->set_to(to.value());
    for (const hash_slot slot : slots) {
        body->add_slots(slot.value());
    }
    return record;
}

pb::Record keyMovedRecord(const service_id &service, const std::string &key, const server_id &from, home_term term, const server_id &to)
{
    pb::Record record;
    auto *body = record.mutable_key_moved();
    body->set_service(service.value());
    body->set_key(key);
    body->set_from(from.value());
    body->set_term(term.value());
    body->set_to(to.value());
    return record;
}

pb::Record endpointDrainRecord(const server_id &server, bool draining, const std::string &operatorName)
{
    pb::Record record;
    auto *body = record.mutable_endpoint_drain();
    body->set_server(server.value());
    body->set_draining(draining);
    body->set_operator_name(operatorName);
    return record;
}

} // namespace sycamoretray
