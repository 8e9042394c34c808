#include "sycamoretrayd/daemon_signals.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <utility>

namespace sycamoretray
{

struct daemon_signals::impl {
    impl(boost::asio::io_context &context, std::function<void()> givenStop, std::function<void()> givenDump)
        : signals(context, SIGTERM, SIGINT, SIGUSR1)
        , stop(std::move(givenStop))
        , dump(std::move(givenDump))
    {
    }

    void await()
    {
        signals.async_wait([this](const boost::system::error_code &error, int number) {
            if (error) {
                return;
            }
            if (number == SIGUSR1) {
                dump();
            } else {
                stop();
            }
            await();
        });
    }

    boost::asio::signal_set signals;
    std::function<void()> stop;
    std::function<void()> dump;
};

daemon_signals::daemon_signals(boost::asio::io_context &context, std::function<void()> stop, std::function<void()> dump)
    : d(std::make_unique<impl>(context, std::move(stop), std::move(dump)))
{
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(cert-err33-c): the call cannot fail for this signal
    d->await();
}

daemon_signals::~daemon_signals() = default;

} // namespace sycamoretray
