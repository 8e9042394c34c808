#pragma once

#include <functional>
#include <memory>

namespace boost::asio
{
class io_context;
}

namespace sycamoretray
{

/** Calls functions on the io_context when the process gets a signal. SIGPIPE is ignored. */
class daemon_signals
{
public:
    /**
     * @param stop  for SIGTERM and SIGINT
     * @param dump  for SIGUSR1
     */
    daemon_signals(boost::asio::io_context &context, std::function<void()> stop, std::function<void()> dump);
    ~daemon_signals();
    daemon_signals(const daemon_signals &) = delete;
    daemon_signals &operator=(const daemon_signals &) = delete;

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray
