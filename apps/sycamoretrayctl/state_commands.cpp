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

std::string cell(const json &object, const std::string &name)
{
    const auto found = object.find(name);
    if (found == object.end() || found->is_null()) {
        return "-";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

/** Answers of all instances, by address. */
std::map<std::string, admin_answer> askAll(const command_context &context, const std::string &target)
{
    std::map<std::string, admin_answer> answers;
    for (const admin_client &client : context.clients) {
        answers.emplace(client.address().value(), client.get(target));
    }
    return answers;
}

void printInstances(const std::map<std::string, admin_answer> &answers)
{
    text_table table({ "ADMIN ADDRESS", "INCARNATION", "POSITION", "DIGEST", "READY", "LOG", "EVIDENCE AGE MS", "UNSERVED SLOTS" });
    for (const auto &[address, answer] : answers) {
        if (answer.error || !answer.body.is_object()) {
            table.add({ address, "unreachable", "-", "-", "-", "-", "-", "-" });
            continue;
        }
        const json log = answer.body.value("log", json::object());
        table.add({ address,
                    cell(answer.body, "incarnation"),
                    cell(answer.body, "position"),
                    cell(answer.body, "digest").substr(0, 12),
                    cell(answer.body, "ready"),
                    cell(log, "reachable"),
                    cell(log, "evidence_age_ms"),
                    cell(answer.body, "unserved_slots") });
    }
    std::cout << table;
}

void printVersions(const std::map<std::string, admin_answer> &answers)
{
    text_table table({ "KIND", "NAME", "VERSION", "IN FORCE ON" });
    std::map<std::tuple<std::string, std::string, std::string>, std::string> holders;
    for (const auto &[address, answer] : answers) {
        if (answer.error || !answer.body.is_object()) {
            continue;
        }
        for (const json &document : answer.body.value("documents", json::array())) {
            std::string &list = holders[{ cell(document, "kind"), cell(document, "name"), cell(document, "version") }];
            list += (list.empty() ? "" : " ") + cell(answer.body, "instance");
        }
    }
    for (const auto &[document, list] : holders) {
        table.add({ std::get<0>(document), std::get<1>(document), std::get<2>(document), list });
    }
    std::cout << "\n" << table;
}

void printServers(const std::map<std::string, admin_answer> &answers)
{
    for (const auto &[address, answer] : answers) {
        if (answer.error || !answer.body.is_object()) {
            continue;
        }
        text_table table({ "SERVER", "HOME", "TERM", "UP", "DRAINING", "SLOTS" });
        for (const json &server : answer.body.value("servers", json::array())) {
            table.add(
                { cell(server, "server"), cell(server, "home"), cell(server, "term"), cell(server, "up"), cell(server, "draining"), cell(server, "slots") });
        }
        std::cout << "\nservers as seen by " << address << "\n" << table;
        return;
    }
}

json asJson(const std::map<std::string, admin_answer> &answers)
{
    json result = json::object();
    for (const auto &[address, answer] : answers) {
        result[address] = answer.error ? json{ { "error", answer.error.value() }, { "message", answer.message } } : answer.body;
    }
    return result;
}

/** Lists digests of the replayed state that differ at the same log position, which must not happen. */
json disagreements(const std::map<std::string, admin_answer> &answers)
{
    std::map<std::string, std::map<std::string, std::string>> byPosition;
    for (const auto &[address, answer] : answers) {
        if (!answer.error && answer.body.is_object()) {
            byPosition[cell(answer.body, "position")][address] = cell(answer.body, "digest");
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
    const auto answers = askAll(context, "/v1/status");
    if (context.json) {
        std::cout << asJson(answers).dump() << "\n";
    } else {
        printInstances(answers);
        printVersions(answers);
        printServers(answers);
    }
    const json differing = disagreements(answers);
    if (!differing.empty()) {
        std::cerr << "instances disagree about the state: " << differing.dump() << "; keep the dumps and report a defect\n";
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
    const admin_answer answer = askAnyInstance(context, [&](const admin_client &client) {
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
    const auto answers = askAll(context, "/v1/dump");
    if (!chosen.merge && answers.size() == 1) {
        const admin_answer &only = answers.begin()->second;
        if (only.error) {
            return reportError(only);
        }
        std::cout << only.body.dump(2) << "\n";
        return exit_code::success;
    }
    const auto statuses = askAll(context, "/v1/status");
    const json differing = disagreements(statuses);
    std::cout << json{ { "instances", asJson(answers) }, { "disagreements", differing } }.dump(2) << "\n";
    return differing.empty() ? exit_code::success : exit_code::instances_disagree;
}

} // namespace sycamoretray::detail
