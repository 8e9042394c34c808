#include "settings/daemon_settings.h"

#include "documents/document_reader.h"
#include "documents/network_address_text.h"

#include <fstream>
#include <sstream>

namespace sycamoretray
{

namespace
{

using nlohmann::json;

constexpr std::uint64_t maxWorkers = 256;

/** Maps the JSON name of a duration in milliseconds to its member. */
struct ownership_member {
    const char *name;
    time_span ownership_timing::*member;
};

constexpr ownership_member ownershipMembers[] = {
    { "lease_ms", &ownership_timing::leaseLength },
    { "drift_margin_ms", &ownership_timing::driftMargin },
    { "evidence_age_ms", &ownership_timing::evidenceAge },
    { "renew_interval_ms", &ownership_timing::renewInterval },
    { "probe_interval_ms", &ownership_timing::probeInterval },
    { "suspect_after_ms", &ownership_timing::suspectAfter },
    { "server_lost_after_ms", &ownership_timing::serverLostAfter },
    { "takeover_step_ms", &ownership_timing::takeoverStep },
    { "dispatch_margin_ms", &ownership_timing::dispatchMargin },
    { "log_read_wait_ms", &ownership_timing::logReadWait },
    { "append_timeout_ms", &ownership_timing::appendTimeout },
    { "stale_limit_ms", &ownership_timing::staleLimit },
    { "snapshot_interval_ms", &ownership_timing::snapshotInterval },
};

std::int64_t inMilliseconds(time_span span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

network_address readAddress(document_reader &reader, const std::string &name, bool required)
{
    const std::string text = required ? reader.text(name) : reader.text(name, "");
    if (!isNetworkAddress(text) && (required || !text.empty())) {
        throw document_error(reader.pathOf(name), "\"" + text + "\"", networkAddressRemedy);
    }
    return network_address(text);
}

caller_limits readCallerLimits(const json &value, const std::string &path)
{
    document_reader reader(value, path);
    caller_limits limits;
    limits.connections = static_cast<std::uint32_t>(reader.unsignedNumber("connections", limits.connections, 1));
    limits.headerBytes = static_cast<std::uint32_t>(reader.unsignedNumber("header_bytes", limits.headerBytes, 256, 1024ULL * 1024));
    limits.transferTimeout = reader.milliseconds("transfer_timeout_ms", limits.transferTimeout);
    limits.idleTimeout = reader.milliseconds("idle_timeout_ms", limits.idleTimeout);
    reader.finish();
    return limits;
}

/** Throws document_error unless the durations satisfy the relations that the ownership rules require; see docs/design.md, section 6. */
void checkRelations(const ownership_timing &ownership, const document_reader &reader)
{
    if (ownership.renewInterval * 2 > ownership.leaseLength) {
        throw document_error(reader.pathOf("renew_interval_ms"),
                             std::to_string(inMilliseconds(ownership.renewInterval)),
                             "write at most half of lease_ms, or one late renewal ends the lease");
    }
    if (ownership.probeInterval * 2 > ownership.evidenceAge || ownership.logReadWait * 2 > ownership.evidenceAge) {
        throw document_error(reader.pathOf("evidence_age_ms"),
                             std::to_string(inMilliseconds(ownership.evidenceAge)),
                             "write at least twice probe_interval_ms and log_read_wait_ms, or evidence runs out between two reads");
    }
    if (ownership.evidenceAge > ownership.leaseLength) {
        throw document_error(reader.pathOf("evidence_age_ms"),
                             std::to_string(inMilliseconds(ownership.evidenceAge)),
                             "write at most lease_ms, or the wait of a takeover does not cover the clock drift");
    }
    if (ownership.serverLostAfter < ownership.leaseLength + ownership.driftMargin) {
        throw document_error(
            reader.pathOf("server_lost_after_ms"), std::to_string(inMilliseconds(ownership.serverLostAfter)), "write at least lease_ms + drift_margin_ms");
    }
}

ownership_timing readOwnership(const json &value, const std::string &path)
{
    document_reader reader(value, path);
    ownership_timing ownership;
    for (const ownership_member &entry : ownershipMembers) {
        ownership.*entry.member = reader.milliseconds(entry.name, ownership.*entry.member);
    }
    reader.finish();
    checkRelations(ownership, reader);
    return ownership;
}

} // namespace

daemon_settings parseDaemonSettings(const std::string &text)
{
    const json parsed = parseDocument(text);
    document_reader reader(parsed, "");
    daemon_settings settings;
    settings.instance = instance_id(reader.nonEmptyText("instance"));
    settings.zone = availability_zone(reader.nonEmptyText("availability_zone"));
    settings.callerAddress = readAddress(reader, "caller_address", true);
    settings.peerAddress = readAddress(reader, "peer_address", true);
    settings.adminAddress = readAddress(reader, "admin_address", true);
    settings.advertisedPeerAddress = readAddress(reader, "advertised_peer_address", false);
    settings.logServiceAddress = readAddress(reader, "log_service_address", true);
    settings.instanceListAddress = readAddress(reader, "instance_list_address", true);
    settings.registerWithInstanceList = reader.boolean("register_with_instance_list", settings.registerWithInstanceList);
    settings.controlStream = reader.text("control_stream", settings.controlStream);
    settings.snapshotStream = reader.text("snapshot_stream", settings.snapshotStream);
    settings.peerSecretFile = reader.nonEmptyText("peer_secret_file");
    settings.adminTokenFile = reader.text("admin_token_file", "");
    settings.workers = static_cast<std::uint32_t>(reader.unsignedNumber("workers", settings.workers, 1, maxWorkers));
    if (const json *callers = reader.object("callers", false)) {
        settings.callers = readCallerLimits(*callers, reader.pathOf("callers"));
    }
    if (const json *ownership = reader.object("ownership", false)) {
        settings.ownership = readOwnership(*ownership, reader.pathOf("ownership"));
    }
    reader.finish();
    if (settings.adminTokenFile.empty() && !isLoopbackAddress(settings.adminAddress.value())) {
        throw document_error(
            reader.pathOf("admin_address"), settings.adminAddress.value(), "name an admin_token_file, or listen on a loopback address such as 127.0.0.1");
    }
    return settings;
}

daemon_settings readDaemonSettings(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream) {
        throw document_error(file, "unreadable", "name a settings file that exists and may be read");
    }
    std::stringstream text;
    text << stream.rdbuf();
    try {
        return parseDaemonSettings(text.str());
    } catch (const document_error &error) {
        throw document_error(file, error);
    }
}

std::string printDaemonSettings(const daemon_settings &settings)
{
    json ownership = json::object();
    for (const ownership_member &entry : ownershipMembers) {
        ownership[entry.name] = inMilliseconds(settings.ownership.*entry.member);
    }
    const json result = {
        { "instance", settings.instance.value() },
        { "availability_zone", settings.zone.value() },
        { "caller_address", settings.callerAddress.value() },
        { "peer_address", settings.peerAddress.value() },
        { "admin_address", settings.adminAddress.value() },
        { "advertised_peer_address", settings.advertisedPeerAddress.value() },
        { "log_service_address", settings.logServiceAddress.value() },
        { "instance_list_address", settings.instanceListAddress.value() },
        { "register_with_instance_list", settings.registerWithInstanceList },
        { "control_stream", settings.controlStream },
        { "snapshot_stream", settings.snapshotStream },
        { "peer_secret_file", settings.peerSecretFile },
        { "admin_token_file", settings.adminTokenFile },
        { "workers", settings.workers },
        { "callers",
          { { "connections", settings.callers.connections },
            { "header_bytes", settings.callers.headerBytes },
            { "transfer_timeout_ms", inMilliseconds(settings.callers.transferTimeout) },
            { "idle_timeout_ms", inMilliseconds(settings.callers.idleTimeout) } } },
        { "ownership", ownership },
    };
    return result.dump(2) + "\n";
}

} // namespace sycamoretray
