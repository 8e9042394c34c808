#include "controller/configuration_publisher.h"

#include "records/record_builder.h"

namespace sycamoretray
{

namespace
{

/** An accepted configuration must be in force within 5 s, so the answer to the operator takes no longer. */
constexpr time_span answerTimeout = std::chrono::seconds(5);

} // namespace

configuration_publisher::configuration_publisher(controller_context &context, peer_monitor &peers, append_queue &queue)
    : m_context(context)
    , m_peers(peers)
    , m_queue(queue)
{
}

void configuration_publisher::answer(pending_request &request, result_code code, std::uint64_t version, const std::string &message)
{
    m_context.event("administration_answered", { { "result", std::string(resultName(code)) }, { "version", std::to_string(version) } });
    if (!request.answered) {
        request.answered = true;
        m_context.addAfterRouting(publish_outcome{ request.operation, make_error_code(code), version, message });
    }
}

void configuration_publisher::enqueue(operation_id operation, pb::Record record, bool needsMajority)
{
    pending_request request;
    request.operation = operation;
    request.started = m_context.now;
    request.needsMajority = needsMajority;
    if (!m_context.joined()) {
        answer(request, result_code::log_unavailable, 0, "the instance has not joined yet");
        return;
    }
    m_pending.emplace(m_queue.add(std::move(record)), request);
}

void configuration_publisher::publish(const publish_requested &request)
{
    const publish_result check = m_context.state.configuration().check(request.kind, request.name, request.baseVersion, request.document);
    if (check.error) {
        m_context.add(publish_outcome{ request.operation, check.error, check.currentVersion, check.message });
        return;
    }
    pb::Record record;
    pb::DocumentPublished &body
        = request.kind == document_kind::template_document ? *record.mutable_template_published() : *record.mutable_parameters_published();
    body.set_name(request.name);
    body.set_base_version(request.baseVersion);
    body.set_document(request.document);
    body.set_operator_name(request.operatorName);
    enqueue(request.operation, std::move(record), true);
}

void configuration_publisher::drain(const drain_requested &request)
{
    const server_state *server = m_context.state.findServer(request.server);
    if (server == nullptr) {
        m_context.add(publish_outcome{ request.operation, make_error_code(result_code::unknown_name), 0, "no server " + request.server.value() });
        return;
    }
    if (server->draining == request.draining) {
        m_context.add(publish_outcome{ request.operation, std::error_code(), m_context.state.position().value(), "no change" });
        return;
    }
    enqueue(request.operation, endpointDrainRecord(request.server, request.draining, request.operatorName), false);
}

void configuration_publisher::resetConfirmers(const confirmers_reset_requested &request)
{
    pb::Record record;
    record.mutable_confirmers_reset()->set_operator_name(request.operatorName);
    for (const incarnation_id &incarnation : request.incarnations) {
        record.mutable_confirmers_reset()->add_incarnations(incarnation.value());
    }
    enqueue(request.operation, std::move(record), false);
}

void configuration_publisher::ownRecordReplayed(std::uint64_t sequence, log_offset offset, const apply_outcome &outcome)
{
    const auto found = m_pending.find(sequence);
    if (found == m_pending.end()) {
        return;
    }
    pending_request &request = found->second;
    if (outcome.verdict != record_verdict::applied) {
        // check() passed before the append, so the record conflicts with one that was appended in the meantime.
        answer(request, result_code::version_conflict, outcome.currentVersion, outcome.reason);
        m_pending.erase(found);
        return;
    }
    request.offset = offset;
    request.version = offset.value();
    if (!request.needsMajority) {
        answer(request, result_code::ok, request.version, "");
        m_pending.erase(found);
    } else {
        m_peers.probeSoon();
    }
}

void configuration_publisher::tick()
{
    for (auto entry = m_pending.begin(); entry != m_pending.end();) {
        auto &[sequence, request] = *entry;
        const log_offset offset = request.offset;
        const bool knownToMajority = offset.value() != 0 && m_context.state.confirmers().hasMajority([this, offset](const incarnation_id &confirmer) {
            return m_peers.reported(confirmer) > offset;
        });
        if (knownToMajority) {
            answer(request, result_code::ok, request.version, "");
            entry = m_pending.erase(entry);
            continue;
        }
        if (offset.value() != 0 && !request.answered) {
            m_peers.probeSoon();
        }
        if (!request.answered && m_context.now - request.started > answerTimeout) {
            if (m_queue.cancel(sequence)) {
                answer(request, result_code::log_unavailable, 0, "the log did not accept the record");
                entry = m_pending.erase(entry);
                continue;
            }
            answer(request, result_code::publish_unsettled, request.version, "not yet confirmed");
        }
        ++entry;
    }
}

} // namespace sycamoretray
