#include "standins/common/program_options.h"
#include "standins/common/standin_program.h"
#include "standins/server/server.h"

#include <boost/asio/io_context.hpp>

#include <stdexcept>

namespace
{

const char *const usage = R"(Stand-in for a server that owns keys.

Usage:
  standin_server --listen=ADDRESS --name=NAME [--run-time=RULE]... [options]

Options:
  --listen=ADDRESS     Address, such as 127.0.0.1:7100.
  --name=NAME          Server name, such as drum-tracking/drum-01.
  --worker-slots=N     Requests run at a time [default: 2].
  --default-run-us=N   Run time of a request in microseconds [default: 0].
  --run-time=RULE      TEXT=MICROSECONDS: run time of requests whose target contains TEXT.
  --ignore-tokens      Run every request, whatever its term and slot.
  --undivided          The service is not divided by key: check term and lease, but no slot.
  --journal=FILE       File to which starts and commits of requests are appended.
  -h --help            Show this text.
)";

int run(int argc, char **argv)
{
    using namespace sycamoretray::standins;
    const program_options options(usage, argc, argv);
    server_settings settings;
    settings.name = options.text("--name");
    settings.workerSlots = static_cast<std::uint32_t>(options.number("--worker-slots"));
    settings.defaultRunTime = options.number("--default-run-us");
    settings.checksTokens = !options.flag("--ignore-tokens");
    settings.dividedByKey = !options.flag("--undivided");
    settings.journalPath = options.text("--journal");
    for (const std::string &rule : options.list("--run-time")) {
        const auto equals = rule.rfind('=');
        if (equals == std::string::npos) {
            throw std::invalid_argument("--run-time '" + rule + "' is not TEXT=MICROSECONDS");
        }
        settings.runTimes.emplace_back(rule.substr(0, equals), std::stoll(rule.substr(equals + 1)));
    }
    boost::asio::io_context context(1);
    server service(context, settings);
    const http_server listener(context, options.text("--listen"), [&service](http_request request, respond_function respond) {
        service.handle(std::move(request), std::move(respond));
    });
    return runUntilSignal(context);
}

} // namespace

int main(int argc, char **argv)
{
    return sycamoretray::standins::runProgram(argv[0], [argc, argv] {
        return run(argc, argv);
    });
}
