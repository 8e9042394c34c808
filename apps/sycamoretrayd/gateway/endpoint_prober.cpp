#include "sycamoretrayd/gateway/endpoint_prober.h"

#include "executor/detail/serial_executor_state.h"
#include "http_client/detail/endpoint_address.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace sycamoretray
{

namespace
{

constexpr std::chrono::milliseconds probeTimeout(250);

/** A connection that is being opened. The first of its two handlers to run decides. */
struct running_probe {
    using strand_type = decltype(detail::serial_executor_state::strand);

    explicit running_probe(const strand_type &strand)
        : socket(strand)
        , timer(strand)
    {
    }

    boost::asio::basic_stream_socket<boost::asio::ip::tcp, strand_type> socket;
    boost::asio::steady_timer timer;
    bool decided = false;
};

} // namespace

struct endpoint_prober::impl : std::enable_shared_from_this<impl> {
    impl(serial_executor givenExecutor, std::function<void(const network_address &, connection_event)> givenDone)
        : executor(std::move(givenExecutor))
        , done(std::move(givenDone))
    {
    }

    serial_executor executor;
    std::function<void(const network_address &, connection_event)> done;

    void decide(running_probe &probe, const network_address &address, connection_event event) const
    {
        if (std::exchange(probe.decided, true)) {
            return;
        }
        boost::system::error_code ignored;
        probe.socket.close(ignored);
        probe.timer.cancel();
        done(address, event);
    }
};

endpoint_prober::endpoint_prober(serial_executor executor, std::function<void(const network_address &, connection_event)> done)
    : d(std::make_shared<impl>(std::move(executor), std::move(done)))
{
}

endpoint_prober::~endpoint_prober() = default;

void endpoint_prober::probe(const network_address &endpoint)
{
    boost::asio::ip::tcp::endpoint target;
    auto probe = std::make_shared<running_probe>(d->executor.state().strand);
    const auto decide = [weak = d->weak_from_this(), probe, endpoint](connection_event event) {
        if (const auto self = weak.lock()) {
            self->decide(*probe, endpoint, event);
        }
    };
    if (!detail::parseAddress(endpoint, target)) {
        boost::asio::post(d->executor.state().strand, [decide] {
            decide(connection_event::refused);
        });
        return;
    }
    probe->socket.async_connect(target, [decide](const boost::system::error_code &error) {
        decide(error ? connection_event::refused : connection_event::opened);
    });
    probe->timer.expires_after(probeTimeout);
    probe->timer.async_wait([probe, decide](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        // After a pause of the process, the connection may be open as well; its handler is then queued and runs first.
        boost::asio::post(probe->socket.get_executor(), [decide] {
            decide(connection_event::connect_timed_out);
        });
    });
}

} // namespace sycamoretray
