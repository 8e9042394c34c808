#include "standins/common/program_options.h"
#include "standins/common/standin_program.h"
#include "standins/log_service/log_service.h"

#include <boost/asio/io_context.hpp>

namespace
{

const char *const usage = R"(Stand-in for the platform's log service.

Usage:
  log_service --listen=ADDRESS [options]

Options:
  --listen=ADDRESS           Address, such as 127.0.0.1:7000.
  --retention-ms=N           Time for which records are kept; 0 means for ever [default: 0].
  --retention-records=N      Number of records kept per stream; 0 means all [default: 0].
  --appends-per-second=N     Append rate limit; one second's worth may be used at once [default: 500].
  -h --help                  Show this text.
)";

int run(int argc, char **argv)
{
    using namespace sycamoretray::standins;
    const program_options options(usage, argc, argv);
    boost::asio::io_context context(1);
    log_service_settings settings;
    settings.retentionMs = options.number("--retention-ms");
    settings.retentionRecords = static_cast<std::uint64_t>(options.number("--retention-records"));
    settings.appendsPerSecond = options.real("--appends-per-second");
    log_service service(context, settings);
    const http_server server(context, options.text("--listen"), [&service](http_request request, respond_function respond) {
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
