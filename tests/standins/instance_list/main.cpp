#include "standins/common/program_options.h"
#include "standins/common/standin_program.h"
#include "standins/instance_list/instance_list.h"

#include <boost/asio/io_context.hpp>

namespace
{

const char *const usage = R"(Stand-in for the platform's instance list.

Usage:
  instance_list --listen=ADDRESS [options]

Options:
  --listen=ADDRESS  Address, such as 127.0.0.1:7001.
  --lag-ms=N        Time after which a change becomes visible [default: 0].
  -h --help         Show this text.
)";

int run(int argc, char **argv)
{
    using namespace sycamoretray::standins;
    const program_options options(usage, argc, argv);
    boost::asio::io_context context(1);
    instance_list list(options.number("--lag-ms"));
    const http_server server(context, options.text("--listen"), [&list](const http_request &request, const respond_function &respond) {
        list.handle(request, respond);
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
