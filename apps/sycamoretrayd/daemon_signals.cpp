#include "sycamoretrayd/daemon_signals.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <utility>

namespace sycamoretray
{

struct daemon_signals::impl {
    impl(boost::asio::io_context &context, signal_actions givenActions)
        : signals(context, SIGTERM, SIGINT, SIGUSR1)
        , actions(std::move(givenActions))
    {
        if (actions.reload) {
            signals.add(SIGHUP);
        }
    }

    void await()
    {
        signals.async_wait([this](const boost::system::error_code &error, int number) {
            if (error) {
                return;
            }
            handle(number);
            await();
        });
    }

    void handle(int number) const
    {
        const std::function<void()> &action = number == SIGUSR1 ? actions.dump : number == SIGHUP ? actions.reload : actions.stop;
        if (action) {
            action();
        }
    }

    boost::asio::signal_set signals;
    signal_actions actions;
};

daemon_signals::daemon_signals(boost::asio::io_context &context, signal_actions actions)
    : d(std::make_unique<impl>(context, std::move(actions)))
{
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(cert-err33-c): the call cannot fail for this signal
    d->await();
}

daemon_signals::~daemon_signals() = default;

} // namespace sycamoretray
