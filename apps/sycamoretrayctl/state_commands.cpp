#include "command.h"
#include "text_table.h"

#include <iostream>
#include <map>
#include <set>

namespace sycamoretray::detail
{

namespace
{

using nlohmann::json;

std::string cellText(const json &object, const std::string &name)
{
    const auto found = object.find(name);
    if (found == object.end() || found->is_null()) {
        return "-";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

/** Queries all instances and returns their responses by address. */
std::map<std::string, admin_response> queryAllInstances(const command_context &context, const std::string &target)
{
    std::map<std::string, admin_response> answers;
    for (const admin_client &client : context.clients) {
        answers.emplace(client.address().value(), client.get(target));
    }
    return answers;
}

void printInstances(const std::map<std::string, admin_response> &answers)
{
    text_table table({ "ADMIN ADDRESS", "INCARNATION", "POSITION", "DIGEST", "READY", "LOG", "EVIDENCE AGE MS", "UNSERVED SLOTS" });
    for (const auto &[address, answer] : answers) {
        if (answer.error || !answer.body.is_object()) {
            table.add({ address, "unreachable", "-", "-", "-", "-", "-", "-" });
            continue;
        }
        const json log = answer.body.value("log", json::object());
        table.add({ address,
                    cellText(answer.body, "incarnation"),
                    cellText(answer.body, "position"),
                    cellText(answer.body, "digest").substr(0, 12),
                    cellText(answer.body, "ready"),
                    cellText(log, "reachable"),
                    cellText(log, "evidence_age_ms"),
                    cellText(answer.body, "unserved_slots") });
    }
    std::cout << table;
}

void printVersions(const std::map<std::string, admin_response> &answers)
{
    text_table table({ "KIND", "NAME", "VERSION", "IN FORCE ON" });
    std::map<std::tuple<std::string, std::string, std::string>, std::string> instancesByDocument;
    for (const auto &[address, answer] : answers) {
        if (answer.error || !answer.body.is_object()) {
            continue;
        }
        for (const json &document : answer.body.value("documents", json::array())) {
            std::string &list = instancesByDocument[{ cellText(document, "kind"), cellText(document, "name"), cellText(document, "version") }];
            list += (list.empty() ? "" : " ") + cellText(answer.body, "instance");
        }
    }
    for (const auto &[document, list] : instancesByDocument) {
        table.add({ std::get<0>(document), std::get<1>(document), std::get<2>(document), list });
    }
    std::cout << "\n" << table;
}

void printServers(const std::map<std::string, admin_response> &answers)
{
    for (const auto &[address, answer] : answers) {
        if (answer.error || !answer.body.is_object()) {
            continue;
        }
        text_table table({ "SERVER", "HOME", "TERM", "UP", "DRAINING", "SLOTS" });
        for (const json &server : answer.body.value("servers", json::array())) {
            table.add({ cellText(server, "server"),
                        cellText(server, "home"),
                        cellText(server, "term"),
                        cellText(server, "up"),
                        cellText(server, "draining"),
                        cellText(server, "slots") });
        }
        std::cout << "\nservers as seen by " << address << "\n" << table;
        return;
    }
}

json responsesToJson(const std::map<std::string, admin_response> &answers)
{
    json result = json::object();
    for (const auto &[address, answer] : answers) {
        result[address] = answer.error ? json{ { "error", answer.error.value() }, { "message", answer.message } } : answer.body;
    }
    return result;
}

/** Lists log positions at which instances report different digests of the replayed state, which indicates a defect. */
json findDivergedDigests(const std::map<std::string, admin_response> &answers)
{
    std::map<std::string, std::map<std::string, std::string>> byPosition;
    for (const auto &[address, answer] : answers) {
        if (!answer.error && answer.body.is_object()) {
            byPosition[cellText(answer.body, "position")][address] = cellText(answer.body, "digest");
        }
    }
    json result = json::array();
    for (const auto &[position, digests] : byPosition) {
        std::set<std::string> distinct;
        for (const auto &[address, digest] : digests) {
            distinct.insert(digest);
        }
        if (distinct.size() > 1) {
            result.push_back({ { "position", position }, { "digests", digests } });
        }
    }
    return result;
}

} // namespace

exit_code runStatus(const command_context &context)
{
    const auto answers = queryAllInstances(context, "/v1/status");
    if (context.json) {
        std::cout << responsesToJson(answers).dump() << "\n";
    } else {
        printInstances(answers);
        printVersions(answers);
        printServers(answers);
    }
    const json divergedDigests = findDivergedDigests(answers);
    if (!divergedDigests.empty()) {
        std::cerr << "instances disagree about the state: " << divergedDigests.dump() << "; keep the dumps and report a defect\n";
        return exit_code::instances_disagree;
    }
    for (const auto &[address, answer] : answers) {
        if (!answer.error) {
            return exit_code::success;
        }
    }
    return reportError(answers.begin()->second);
}

exit_code runOwner(const owner_command &chosen, const command_context &context)
{
    const admin_response answer = queryAnyInstance(context, [&](const admin_client &client) {
        return client.get("/v1/owner?service=" + percentEncode(chosen.service) + "&key=" + percentEncode(chosen.key));
    });
    if (answer.error) {
        return reportError(answer);
    }
    if (context.json || !answer.body.is_object()) {
        std::cout << answer.body.dump() << "\n";
        return exit_code::success;
    }
    text_table table({ "FIELD", "VALUE" });
    for (const auto &[name, value] : answer.body.items()) {
        table.add({ name, value.is_string() ? value.get<std::string>() : value.dump() });
    }
    std::cout << table;
    return exit_code::success;
}

exit_code runDump(const dump_command &chosen, const command_context &context)
{
    const auto answers = queryAllInstances(context, "/v1/dump");
    if (!chosen.merge && answers.size() == 1) {
        const admin_response &only = answers.begin()->second;
        if (only.error) {
            return reportError(only);
        }
        std::cout << only.body.dump(2) << "\n";
        return exit_code::success;
    }
    const auto statuses = queryAllInstances(context, "/v1/status");
    const json divergedDigests = findDivergedDigests(statuses);
    std::cout << json{ { "instances", responsesToJson(answers) }, { "disagreements", divergedDigests } }.dump(2) << "\n";
    return divergedDigests.empty() ? exit_code::success : exit_code::instances_disagree;
}

} // namespace sycamoretray::detail
