#include "sycamoretrayd/forward_codec.h"

#include "records.pb.h"
#include "sycamoretrayd/payloads.h"

#include <algorithm>
#include <utility>

namespace sycamoretray
{

namespace
{

// Transfer messages share the connection with requests, so large ones would delay these. The last entry may exceed the limit.
constexpr std::uint64_t transferMessageBytes = 256ULL * 1024;

template<class Message>
void copyFields(const http_fields &fields, Message &message)
{
    message.mutable_headers()->Reserve(static_cast<int>(fields.size()));
    for (const http_field &field : fields) {
        pb::HeaderField *header = message.add_headers();
        header->set_name(field.name);
        header->set_value(field.value);
    }
}

template<class Message>
http_fields moveFields(Message &message)
{
    http_fields fields;
    fields.reserve(static_cast<std::size_t>(message.headers_size()));
    for (pb::HeaderField &header : *message.mutable_headers()) {
        fields.push_back({ std::move(*header.mutable_name()), std::move(*header.mutable_value()) });
    }
    return fields;
}

void fillAnswer(pb::ForwardAnswer &message, result_code code, const answer_payload *answer)
{
    message.set_result(static_cast<std::uint32_t>(code));
    if (answer != nullptr) {
        message.set_status(answer->response.status);
        copyFields(answer->response.fields, message);
        message.set_body(answer->response.body.text());
    }
}

std::uint64_t answerBytes(const answer_payload &answer)
{
    std::uint64_t bytes = answer.response.body.size();
    for (const http_field &field : answer.response.fields) {
        bytes += field.name.size() + field.value.size();
    }
    return bytes;
}

} // namespace

std::string encodeForward(std::uint64_t forwardId,
                          const service_id &service,
                          const server_id &server,
                          home_term term,
                          const dispatch_request &request,
                          monotonic_time now)
{
    pb::PeerMessage message;
    pb::ForwardRequest &forward = *message.mutable_forward_request();
    const http_request &content = request.payload->request;
    forward.set_forward_id(forwardId);
    forward.set_service(service.value());
    forward.set_server(server.value());
    forward.set_home_term(term.value());
    forward.set_key(request.key);
    forward.set_slot(request.slot.value());
    forward.set_customer(request.customer.value());
    forward.set_request_id(request.requestId.value());
    forward.set_caller_supplied_id(request.callerSuppliedId);
    forward.set_non_idempotent(request.nonIdempotent);
    forward.set_created_ms(request.created.time_since_epoch().count());
    forward.set_deadline_left_us(static_cast<std::uint64_t>(std::max<std::int64_t>(0, (request.deadline - now).count())));
    forward.set_request_class(request.requestClass);
    forward.set_fingerprint(request.fingerprint.value());
    forward.set_method(content.method);
    forward.set_target(content.target);
    copyFields(content.fields, forward);
    forward.set_body(content.body.text());
    return message.SerializeAsString();
}

dispatch_request decodeForward(pb::ForwardRequest &message, monotonic_time now)
{
    // Prevents overflow of the time arithmetic. Deadlines of callers are limited to an hour at the entry.
    constexpr std::uint64_t maxDeadlineUs = 24ULL * 3600 * 1000000;
    dispatch_request request;
    request.requestId = request_id(std::move(*message.mutable_request_id()));
    request.callerSuppliedId = message.caller_supplied_id();
    request.key = std::move(*message.mutable_key());
    request.slot = hash_slot(static_cast<std::uint16_t>(message.slot() % hashSlotCount));
    request.customer = customer_id(std::move(*message.mutable_customer()));
    request.requestClass = message.request_class();
    request.nonIdempotent = message.non_idempotent();
    request.created = wall_time(std::chrono::milliseconds(message.created_ms()));
    request.deadline = now + time_span(std::min(message.deadline_left_us(), maxDeadlineUs));
    request.fingerprint = request_fingerprint(message.fingerprint());
    request_payload payload;
    payload.request.method = std::move(*message.mutable_method());
    payload.request.target = std::move(*message.mutable_target());
    payload.request.fields = moveFields(message);
    payload.request.body = http_body(std::move(*message.mutable_body()));
    request.bytes = payload.request.target.size() + payload.request.body.size();
    for (const http_field &field : payload.request.fields) {
        request.bytes += field.name.size() + field.value.size();
    }
    request.payload = std::make_shared<const request_payload>(std::move(payload));
    return request;
}

std::string encodeAnswer(std::uint64_t forwardId, result_code code, const answer_payload *answer)
{
    pb::PeerMessage message;
    message.mutable_forward_answer()->set_forward_id(forwardId);
    fillAnswer(*message.mutable_forward_answer(), code, answer);
    return message.SerializeAsString();
}

std::shared_ptr<const answer_payload> decodeAnswer(pb::ForwardAnswer &message)
{
    if (message.result() != 0) {
        return nullptr;
    }
    answer_payload answer;
    answer.response.status = message.status();
    answer.response.fields = moveFields(message);
    answer.response.body = http_body(std::move(*message.mutable_body()));
    return std::make_shared<const answer_payload>(std::move(answer));
}

std::string encodeCancel(std::uint64_t forwardId)
{
    pb::PeerMessage message;
    message.mutable_forward_cancel()->set_forward_id(forwardId);
    return message.SerializeAsString();
}

std::vector<std::string> encodeTransfer(std::uint64_t transferId,
                                        const server_id &server,
                                        home_term term,
                                        const std::vector<hash_slot> &slots,
                                        const dispatch_transfer &transfer)
{
    std::vector<std::string> messages;
    std::size_t next = 0;
    do {
        pb::PeerMessage message;
        pb::DuplicateTransfer &part = *message.mutable_duplicate_transfer();
        part.set_server(server.value());
        part.set_home_term(term.value());
        part.set_transfer_id(transferId);
        part.set_part(static_cast<std::uint32_t>(messages.size()));
        part.set_known_since_ms(transfer.knownSince.time_since_epoch().count());
        for (const hash_slot slot : slots) {
            part.add_slots(slot.value());
        }
        std::uint64_t bytes = 0;
        for (; next < transfer.duplicates.size() && bytes < transferMessageBytes; ++next) {
            const deduplication_entry &record = transfer.duplicates[next];
            pb::DuplicateEntry &entry = *part.add_entries();
            entry.set_request_id(record.requestId.value());
            entry.set_key(record.key);
            entry.set_created_ms(record.created.time_since_epoch().count());
            entry.set_finished(record.finished);
            // Estimated encoded size of an entry without its answer.
            constexpr std::uint64_t entryOverheadBytes = 100;
            bytes += entryOverheadBytes + record.bytes;
            if (record.answer) {
                fillAnswer(*entry.mutable_answer(), result_code::ok, record.answer.get());
            }
        }
        part.set_last(next == transfer.duplicates.size());
        messages.push_back(message.SerializeAsString());
    } while (next < transfer.duplicates.size());
    return messages;
}

dispatch_transfer decodeTransfer(pb::DuplicateTransfer &message)
{
    dispatch_transfer transfer;
    transfer.knownSince = wall_time(std::chrono::milliseconds(message.known_since_ms()));
    for (pb::DuplicateEntry &entry : *message.mutable_entries()) {
        deduplication_entry record;
        record.requestId = request_id(std::move(*entry.mutable_request_id()));
        record.key = std::move(*entry.mutable_key());
        record.created = wall_time(std::chrono::milliseconds(entry.created_ms()));
        record.finished = entry.finished();
        if (entry.has_answer()) {
            record.answer = decodeAnswer(*entry.mutable_answer());
            record.bytes = record.answer ? answerBytes(*record.answer) : 0;
        }
        transfer.duplicates.push_back(std::move(record));
    }
    return transfer;
}

std::string encodeCrashReport(const service_id &service, const report_crash &report)
{
    pb::PeerMessage message;
    pb::CrashReport &crash = *message.mutable_crash_report();
    crash.set_fingerprint(report.fingerprint.value());
    crash.set_service(service.value());
    crash.set_crashes(report.crashes);
    crash.set_refused_for_ms(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(report.refusedFor).count()));
    return message.SerializeAsString();
}

} // namespace sycamoretray
