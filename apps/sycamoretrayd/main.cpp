#include "observability/event_log.h"
#include "settings/daemon_settings.h"
#include "settings/gateway_daemon_settings.h"
#include "sycamoretrayd/gateway/gateway_daemon.h"
#include "sycamoretrayd/instance_daemon.h"

#include <docopt/docopt.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <stdexcept>

namespace
{

const char *const usage = R"(sycamoretrayd - an instance of the sycamoretray request router.

Usage:
  sycamoretrayd --settings=FILE
  sycamoretrayd --settings=FILE --print-settings
  sycamoretrayd gateway [--settings=FILE] [--print-settings]
  sycamoretrayd (-h | --help)

With "gateway", servers register with the platform and own the keys that they are granted; docs/platform.md describes it.

Options:
  --settings=FILE   Settings in JSON; docs/settings.md lists the names. For "gateway", SYCAMORETRAY_CONFIG names the file otherwise.
  --print-settings  Print the settings with all defaults, and exit.
  -h --help         Show this text.

Signals: SIGTERM and SIGINT start the graceful shutdown, SIGUSR1 writes the state to the log.
)";

constexpr std::size_t minSecretBytes = 32;

std::string readFile(const std::string &file)
{
    std::ifstream in(file, std::ios::binary);
    if (!in) {
        throw std::runtime_error(file + ": cannot be read; check the path and its permissions");
    }
    return { std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>() };
}

std::string readSecret(const std::string &file)
{
    std::string secret = readFile(file);
    while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r')) {
        secret.pop_back();
    }
    if (secret.size() < minSecretBytes) {
        throw std::runtime_error(file + ": the secret has " + std::to_string(secret.size()) + " bytes; write at least " + std::to_string(minSecretBytes));
    }
    return secret;
}

std::string readToken(const std::string &file)
{
    if (file.empty()) {
        return {};
    }
    const std::string content = readFile(file);
    std::string token = content.substr(0, content.find_first_of("\r\n"));
    if (token.empty()) {
        throw std::runtime_error(file + ": the first line is empty; write the bearer token there");
    }
    return token;
}

/** Runs "sycamoretrayd gateway". */
int runGateway(std::map<std::string, docopt::value> &options, const char *program)
{
    const char *fromEnvironment = std::getenv("SYCAMORETRAY_CONFIG"); // NOLINT(concurrency-mt-unsafe): no other thread runs yet
    if (!options["--settings"].isString() && fromEnvironment == nullptr) {
        throw std::runtime_error("no settings file: name one with --settings or in SYCAMORETRAY_CONFIG");
    }
    const std::string file = options["--settings"].isString() ? options["--settings"].asString() : fromEnvironment;
    const auto settings = sycamoretray::readGatewaySettings(file);
    if (options["--print-settings"].asBool()) {
        std::cout << sycamoretray::printGatewaySettings(settings);
        return 0;
    }
    sycamoretray::startEventLog(program);
    sycamoretray::gateway_daemon daemon(settings, file);
    return daemon.run();
}

} // namespace

int main(int argc, char **argv)
{
    try {
        auto options = docopt::docopt(usage, { argv + 1, argv + argc }, true);
        if (options["gateway"].asBool()) {
            return runGateway(options, argv[0]);
        }
        const auto settings = sycamoretray::readDaemonSettings(options["--settings"].asString());
        if (options["--print-settings"].asBool()) {
            std::cout << sycamoretray::printDaemonSettings(settings) << "\n";
            return 0;
        }
        sycamoretray::startEventLog(argv[0]);
        sycamoretray::instance_daemon daemon(settings, readSecret(settings.peerSecretFile), readToken(settings.adminTokenFile));
        return daemon.run();
    } catch (const std::exception &error) {
        std::cerr << "sycamoretrayd: error 306 invalid_settings: " << error.what() << "\n";
        return 1;
    }
}
