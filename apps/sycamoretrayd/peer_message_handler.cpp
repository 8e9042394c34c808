#include "sycamoretrayd/peer_message_handler.h"

#include "executor/steady_time.h"
#include "observability/event_log.h"
#include "records.pb.h"
#include "sycamoretrayd/forward_codec.h"
#include "sycamoretrayd/payloads.h"

#include <iterator>

namespace sycamoretray
{

namespace
{

constexpr time_span transferTimeout = std::chrono::seconds(5);

} // namespace

peer_message_handler::peer_message_handler(peer_message_environment environment)
    : m_environment(std::move(environment))
{
}

peer_message_handler::~peer_message_handler() = default;

void peer_message_handler::received(const incarnation_id &from, pb::PeerBatch &batch)
{
    m_environment.peers->recordMessage(from, steadyNow());
    for (pb::PeerMessage &message : *batch.mutable_messages()) {
        receive(from, message);
    }
}

void peer_message_handler::receive(const incarnation_id &from, pb::PeerMessage &message)
{
    switch (message.body_case()) {
    case pb::PeerMessage::kForwardRequest:
        receiveRequest(from, *message.mutable_forward_request());
        break;
    case pb::PeerMessage::kForwardAnswer: {
        pb::ForwardAnswer &answer = *message.mutable_forward_answer();
        const auto code = static_cast<result_code>(answer.result());
        m_environment.entry->forwardCompleted(answer.forward_id(), from, code, decodeAnswer(answer));
        break;
    }
    case pb::PeerMessage::kForwardCancel:
        for (const auto &home : m_environment.homes->all()) {
            home->cancel(from, message.forward_cancel().forward_id());
        }
        break;
    case pb::PeerMessage::kDuplicateTransfer:
        receiveTransfer(from, *message.mutable_duplicate_transfer());
        break;
    case pb::PeerMessage::kCrashReport:
        receiveCrashReport(message);
        break;
    case pb::PeerMessage::kLoadReport:
        receiveLoadReport(message);
        break;
    case pb::PeerMessage::BODY_NOT_SET:
        logEvent(event_severity::warning, "malformed_message", { { "from", from.value() } });
        break;
    default:
        m_environment.toController(peer_received{ from, message.SerializeAsString() });
    }
}

void peer_message_handler::receiveRequest(const incarnation_id &from, pb::ForwardRequest &message)
{
    const std::uint64_t forwardId = message.forward_id();
    if (const auto home = m_environment.homes->find(server_id(message.server()))) {
        home->submit({ from, forwardId }, decodeForward(message, steadyNow()));
    } else if (const auto address = m_environment.peers->addressOf(from)) {
        m_environment.send(from, *address, encodeAnswer(forwardId, result_code::wrong_home, nullptr));
    }
}

void peer_message_handler::receiveTransfer(const incarnation_id &from, pb::DuplicateTransfer &message)
{
    const std::lock_guard lock(m_mutex);
    const monotonic_time now = steadyNow();
    std::erase_if(m_transfers, [&](const auto &item) {
        return now - item.second.started > transferTimeout;
    });
    const std::pair key(from, message.transfer_id());
    partial_transfer &partial = m_transfers.try_emplace(key, partial_transfer{ {}, 0, now }).first->second;
    if (partial.nextPart != message.part()) {
        // Without the missing part, a repeated request id could run again, so the whole transfer is discarded.
        m_transfers.erase(key);
        logEvent(event_severity::warning, "transfer_incomplete", { { "from", from.value() }, { "server", message.server() } });
        return;
    }
    ++partial.nextPart;
    dispatch_transfer part = decodeTransfer(message);
    partial.transfer.knownSince = part.knownSince;
    std::move(part.duplicates.begin(), part.duplicates.end(), std::back_inserter(partial.transfer.duplicates));
    if (message.last()) {
        std::vector<hash_slot> slots;
        for (const std::uint32_t slot : message.slots()) {
            slots.emplace_back(static_cast<std::uint16_t>(slot % hashSlotCount));
        }
        m_environment.homes->import(server_id(message.server()), home_term(message.home_term()), std::move(slots), std::move(partial.transfer), now);
        m_transfers.erase(key);
    }
}

void peer_message_handler::receiveCrashReport(const pb::PeerMessage &message)
{
    const pb::CrashReport &report = message.crash_report();
    constexpr std::uint64_t maxRefusalMs = 24ULL * 3600 * 1000;
    crashes_reported event;
    event.fingerprint = request_fingerprint(report.fingerprint());
    event.crashes = report.crashes();
    event.refusedFor = std::chrono::milliseconds(std::min<std::uint64_t>(report.refused_for_ms(), maxRefusalMs));
    for (const auto &home : m_environment.homes->all()) {
        if (home->service().value() == report.service()) {
            home->reportCrashes(event);
        }
    }
}

void peer_message_handler::receiveLoadReport(const pb::PeerMessage &message)
{
    for (const pb::LoadReport::ServerLoad &load : message.load_report().servers()) {
        const server_id server(load.server());
        const service_id service(load.server().substr(0, load.server().find('/')));
        m_environment.entry->loadReported(service, server, load.queued(), load.running());
    }
}

} // namespace sycamoretray
