#include "standins/common/standin_program.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace sycamoretray::standins
{

void initializeLog(const char *program)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(program);
}

int runUntilSignal(boost::asio::io_context &context)
{
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code &, int) {
        context.stop();
    });
    context.run();
    return 0;
}

int runProgram(const char *program, const std::function<int()> &body)
{
    initializeLog(program);
    try {
        return body();
    } catch (const std::exception &failure) {
        LOG(ERROR) << "event=program_failed error=\"" << failure.what() << '"';
        return 1;
    }
}

http_response jsonResponse(unsigned status, const nlohmann::json &content)
{
    return { status, { { "Content-Type", "application/json" } }, content.dump() };
}

long long steadyMicroseconds()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

} // namespace sycamoretray::standins
