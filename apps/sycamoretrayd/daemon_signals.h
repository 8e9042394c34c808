#pragma once

#include <functional>
#include <memory>

namespace boost::asio
{
class io_context;
}

namespace sycamoretray
{

/** Functions that daemon_signals calls; empty ones are not called. */
struct signal_actions {
    /** SIGTERM and SIGINT. */
    std::function<void()> stop;
    /** SIGUSR1. */
    std::function<void()> dump;
    /** SIGHUP. If empty, the signal keeps its default effect. */
    std::function<void()> reload;
};

/** Calls functions on the io_context when the process receives a signal. SIGPIPE is ignored for the whole process. */
class daemon_signals
{
public:
    daemon_signals(boost::asio::io_context &context, signal_actions actions);
    ~daemon_signals();
    daemon_signals(const daemon_signals &) = delete;
    daemon_signals &operator=(const daemon_signals &) = delete;

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray
