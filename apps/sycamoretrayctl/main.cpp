#include "command.h"
#include "documents/document_error.h"
#include "documents/network_address_text.h"

#include <docopt/docopt.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace
{

using namespace sycamoretray;

constexpr const char *usage = R"(Operates sycamoretray.

Usage:
  sycamoretrayctl check FILE... [options]
  sycamoretrayctl publish FILE... [--base-version=N] [--wait] [--dry-run] [options]
  sycamoretrayctl (template|parameters) check FILE... [options]
  sycamoretrayctl (template|parameters) publish FILE... [--base-version=N] [--wait] [--dry-run] [options]
  sycamoretrayctl (template|parameters) diff FILE [options]
  sycamoretrayctl (template|parameters) list [options]
  sycamoretrayctl (template|parameters) show NAME [options]
  sycamoretrayctl status [options]
  sycamoretrayctl owner SERVICE KEY [options]
  sycamoretrayctl dump [--merge] [options]
  sycamoretrayctl (drain|undrain) SERVER [options]
  sycamoretrayctl stop [options]
  sycamoretrayctl confirmers reset INCARNATION... [options]
  sycamoretrayctl version
  sycamoretrayctl --help

Options:
  --admin=ADDRESSES    Administration addresses of the instances, separated by commas
                       [default: 127.0.0.1:8003].
  --token-file=FILE    File with the bearer token of the administration API.
  --timeout-ms=MS      Time to wait for an answer, and for --wait [default: 10000].
  --json               Print JSON for programs.
  --base-version=N     Version that the change is based on; without it, the version in force now.
  --wait               Wait until every instance runs the published version.
  --dry-run            Show what would change, and change nothing.
  --merge              Merge the dumps of all instances and show where they disagree.
  -h --help            Show this page.

docs/commands.md describes each command and the exit codes.
)";

using option_map = std::map<std::string, docopt::value>;

bool isSet(const option_map &options, const std::string &name)
{
    const auto found = options.find(name);
    return found != options.end() && found->second && found->second.isBool() && found->second.asBool();
}

std::uint64_t parseNumber(const std::string &option, const std::string &text)
{
    std::size_t used = 0;
    std::uint64_t number = 0;
    try {
        number = std::stoull(text, &used);
    } catch (const std::exception &) {
        used = 0;
    }
    if (used == 0 || used != text.size() || text.front() == '-') {
        throw document_error(option, text, "write a whole number");
    }
    return number;
}

std::string readToken(const option_map &options)
{
    const docopt::value &file = options.at("--token-file");
    if (!file) {
        return "";
    }
    std::ifstream stream(file.asString());
    std::string token;
    if (!std::getline(stream, token) || token.empty()) {
        throw document_error("--token-file", file.asString(), "name a file whose first line is the token");
    }
    return token;
}

command_context makeContext(const option_map &options)
{
    command_context context;
    context.json = isSet(options, "--json");
    context.timeout = std::chrono::milliseconds(parseNumber("--timeout-ms", options.at("--timeout-ms").asString()));
    const std::string token = readToken(options);
    std::stringstream addresses(options.at("--admin").asString());
    for (std::string address; std::getline(addresses, address, ',');) {
        if (!isNetworkAddress(address)) {
            throw document_error("--admin", address, networkAddressRemedy);
        }
        context.clients.emplace_back(network_address(address), token, context.timeout);
    }
    if (context.clients.empty()) {
        throw document_error("--admin", "", networkAddressRemedy);
    }
    return context;
}

publish_command makePublish(const option_map &options)
{
    publish_command result;
    result.files = options.at("FILE").asStringList();
    if (const docopt::value &base = options.at("--base-version")) {
        result.baseVersion = parseNumber("--base-version", base.asString());
    }
    result.wait = isSet(options, "--wait");
    result.dryRun = isSet(options, "--dry-run");
    return result;
}

command makeDocumentCommand(const option_map &options)
{
    const document_kind kind = isSet(options, "template") ? document_kind::template_document : document_kind::parameter_set;
    if (isSet(options, "check")) {
        return check_command{ options.at("FILE").asStringList() };
    }
    if (isSet(options, "publish")) {
        return makePublish(options);
    }
    if (isSet(options, "diff")) {
        return diff_command{ options.at("FILE").asStringList().front() };
    }
    if (isSet(options, "list")) {
        return list_command{ kind };
    }
    return show_command{ kind, options.at("NAME").asString() };
}

command makeCommand(const option_map &options)
{
    if (isSet(options, "status")) {
        return status_command{};
    }
    if (isSet(options, "owner")) {
        return owner_command{ options.at("SERVICE").asString(), options.at("KEY").asString() };
    }
    if (isSet(options, "dump")) {
        return dump_command{ isSet(options, "--merge") };
    }
    if (isSet(options, "drain") || isSet(options, "undrain")) {
        return drain_command{ options.at("SERVER").asString(), isSet(options, "drain") };
    }
    if (isSet(options, "stop")) {
        return stop_command{};
    }
    if (isSet(options, "confirmers")) {
        return confirmers_reset_command{ options.at("INCARNATION").asStringList() };
    }
    if (isSet(options, "version")) {
        return version_command{};
    }
    return makeDocumentCommand(options);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const option_map options = docopt::docopt_parse(usage, { argv + 1, argv + argc }, true, false);
        return static_cast<int>(run(makeCommand(options), makeContext(options)));
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        return static_cast<int>(exit_code::success);
    } catch (const docopt::DocoptArgumentError &) {
        std::cerr << "error " << static_cast<int>(result_code::unknown_option) << ": unknown command or option; 'sycamoretrayctl --help' lists them\n";
        return static_cast<int>(exit_code::usage);
    } catch (const document_error &error) {
        std::cerr << "error " << static_cast<int>(result_code::invalid_document) << ": " << error.what() << "\n";
        return static_cast<int>(exit_code::refused);
    } catch (const std::exception &error) {
        std::cerr << "error: " << error.what() << "\n";
        return static_cast<int>(exit_code::refused);
    }
}
