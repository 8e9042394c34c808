#include "command.h"
#include "configuration/configuration_set.h"
#include "document_file.h"
#include "documents/document_error.h"
#include "text_table.h"

#include <algorithm>
#include <iostream>
#include <set>
#include <thread>

namespace sycamoretray::detail
{

namespace
{

using nlohmann::json;

constexpr std::chrono::milliseconds waitPollInterval(100);

const char *kindName(document_kind kind)
{
    return kind == document_kind::template_document ? "template" : "parameters";
}

/** Reads the files and sorts templates first, so that templates and parameter sets can be given in any order. */
std::vector<document_file> readAll(const std::vector<std::string> &paths)
{
    std::vector<document_file> files;
    for (const std::string &path : paths) {
        files.push_back(readDocumentFile(path));
    }
    std::stable_sort(files.begin(), files.end(), [](const document_file &a, const document_file &b) {
        return a.kind < b.kind;
    });
    return files;
}

admin_response fetchDocument(const command_context &context, document_kind kind, const std::string &name)
{
    return queryAnyInstance(context, [&](const admin_client &client) {
        return client.get(documentTarget(kind, name));
    });
}

std::uint64_t versionOf(const json &body)
{
    const auto version = body.is_object() ? body.find("version") : body.end();
    return body.is_object() && version != body.end() && version->is_number_unsigned() ? version->get<std::uint64_t>() : 0;
}

std::string documentTextOf(const json &body)
{
    const json document = body.is_object() ? body.value("document", json()) : json();
    return document.is_string() ? document.get<std::string>() : document.dump(2);
}

/** Returns the base version of the change: the one given on the command line, or else the current one. */
std::pair<std::uint64_t, admin_response> baseVersionOf(const publish_command &chosen, const command_context &context, const document_file &file)
{
    if (chosen.baseVersion) {
        return { *chosen.baseVersion, {} };
    }
    admin_response current = fetchDocument(context, file.kind, file.name);
    if (current.error == result_code::unknown_name) {
        return { 0, {} };
    }
    return { versionOf(current.body), current };
}

bool runsVersion(const admin_client &client, const document_file &file, std::uint64_t version)
{
    const admin_response status = client.get("/v1/status");
    if (status.error || !status.body.is_object()) {
        return false;
    }
    for (const json &document : status.body.value("documents", json::array())) {
        if (document.value("kind", "") == kindName(file.kind) && document.value("name", "") == file.name) {
            return document.value("version", std::uint64_t{ 0 }) >= version;
        }
    }
    return false;
}

exit_code waitForAllInstances(const command_context &context, const document_file &file, std::uint64_t version)
{
    const auto end = std::chrono::steady_clock::now() + context.timeout;
    std::set<std::string> missing;
    for (const admin_client &client : context.clients) {
        missing.insert(client.address().value());
    }
    while (!missing.empty() && std::chrono::steady_clock::now() < end) {
        for (const admin_client &client : context.clients) {
            if (missing.contains(client.address().value()) && runsVersion(client, file, version)) {
                missing.erase(client.address().value());
                std::cerr << client.address() << " runs version " << version << " of " << file.name << "\n";
            }
        }
        if (!missing.empty()) {
            std::this_thread::sleep_for(waitPollInterval);
        }
    }
    for (const std::string &address : missing) {
        std::cerr << address << " does not yet run version " << version << " of " << file.name << "; look at 'sycamoretrayctl status'\n";
    }
    return missing.empty() ? exit_code::success : exit_code::unsettled;
}

exit_code publishOne(const publish_command &chosen, const command_context &context, const document_file &file)
{
    const auto [base, lookup] = baseVersionOf(chosen, context, file);
    if (lookup.error) {
        return reportError(lookup);
    }
    const std::string target = documentTarget(file.kind, file.name) + (chosen.dryRun ? "?dry_run=true" : "");
    const std::uint64_t baseVersion = base;
    // Sent to one instance only. A retry at another one could publish a second time while the outcome of the first is unknown.
    const admin_response answer = context.clients.front().put(target, file.text, baseVersion);
    if (answer.error) {
        std::cerr << file.path << ": ";
        return reportError(answer);
    }
    if (chosen.dryRun) {
        std::cout << answer.body.dump(2) << "\n";
        return exit_code::success;
    }
    const std::uint64_t version = versionOf(answer.body);
    if (context.json) {
        std::cout << json{ { "kind", kindName(file.kind) }, { "name", file.name }, { "version", version } }.dump() << "\n";
    } else {
        std::cout << "published " << kindName(file.kind) << " " << file.name << " as version " << version << "\n";
    }
    return chosen.wait ? waitForAllInstances(context, file, version) : exit_code::success;
}

void printDifference(const json &current, const json &proposed)
{
    for (const json &change : json::diff(current, proposed)) {
        const std::string path = change["path"].get<std::string>();
        std::cout << change["op"].get<std::string>() << " " << (path.empty() ? "/" : path);
        if (change["op"] != "add") {
            std::cout << "  from " << current.at(json::json_pointer(path)).dump();
        }
        if (change.contains("value")) {
            std::cout << "  to " << change["value"].dump();
        }
        std::cout << "\n";
    }
}

} // namespace

exit_code runCheck(const check_command &chosen)
{
    configuration_set set;
    std::uint64_t version = 0;
    for (const document_file &file : readAll(chosen.files)) {
        const publish_result result = set.apply(file.kind, file.name, 0, file.text, ++version);
        if (result.error) {
            std::cerr << file.path << ": " << result.message << "\n";
            return exit_code::refused;
        }
        std::cout << file.path << ": valid " << kindName(file.kind) << " " << file.name << "\n";
    }
    for (const effective_service &service : set.services()) {
        std::cout << "service " << service.name << " at " << service.pathPrefix << ", " << service.endpoints.size() << " endpoints\n";
    }
    return exit_code::success;
}

exit_code runPublish(const publish_command &chosen, const command_context &context)
{
    for (const document_file &file : readAll(chosen.files)) {
        const exit_code result = publishOne(chosen, context, file);
        if (result != exit_code::success) {
            return result;
        }
    }
    return exit_code::success;
}

exit_code runDiff(const diff_command &chosen, const command_context &context)
{
    const document_file file = readDocumentFile(chosen.file);
    const admin_response current = fetchDocument(context, file.kind, file.name);
    if (current.error) {
        return reportError(current);
    }
    printDifference(json::parse(documentTextOf(current.body)), json::parse(file.text));
    return exit_code::success;
}

exit_code runList(const list_command &chosen, const command_context &context)
{
    const admin_response answer = queryAnyInstance(context, [](const admin_client &client) {
        return client.get("/v1/documents");
    });
    if (answer.error) {
        return reportError(answer);
    }
    text_table table({ "NAME", "VERSION" });
    json selected = json::array();
    for (const json &document : answer.body.value("documents", json::array())) {
        if (document.value("kind", "") == kindName(chosen.kind)) {
            selected.push_back(document);
            table.add({ document.value("name", ""), std::to_string(versionOf(document)) });
        }
    }
    if (context.json) {
        std::cout << selected.dump() << "\n";
    } else {
        std::cout << table;
    }
    return exit_code::success;
}

exit_code runShow(const show_command &chosen, const command_context &context)
{
    const admin_response answer = fetchDocument(context, chosen.kind, chosen.name);
    if (answer.error) {
        return reportError(answer);
    }
    std::cout << (context.json ? answer.body.dump() : documentTextOf(answer.body)) << "\n";
    return exit_code::success;
}

} // namespace sycamoretray::detail
