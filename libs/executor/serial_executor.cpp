#include "executor/serial_executor.h"

#include "executor/detail/serial_executor_state.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace sycamoretray
{

namespace
{

struct repeating_call : std::enable_shared_from_this<repeating_call> {
    repeating_call(detail::serial_executor_state &state, std::uint32_t milliseconds, std::function<bool()> function)
        : timer(state.strand)
        , interval(milliseconds)
        , call(std::move(function))
    {
    }

    void arm()
    {
        timer.expires_after(interval);
        timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error && self->call()) {
                self->arm();
            }
        });
    }

    boost::asio::steady_timer timer;
    std::chrono::milliseconds interval;
    std::function<bool()> call;
};

} // namespace

serial_executor::serial_executor(boost::asio::io_context &context)
    : m_state(std::make_shared<detail::serial_executor_state>(detail::serial_executor_state{ boost::asio::make_strand(context) }))
{
}

void serial_executor::post(std::function<void()> function) const
{
    boost::asio::post(m_state->strand, std::move(function));
}

void serial_executor::dispatch(std::function<void()> function) const
{
    boost::asio::dispatch(m_state->strand, std::move(function));
}

void serial_executor::repeat(std::uint32_t milliseconds, std::function<bool()> function) const
{
    auto repeating = std::make_shared<repeating_call>(*m_state, milliseconds, std::move(function));
    boost::asio::post(m_state->strand, [repeating] {
        repeating->arm();
    });
}

detail::serial_executor_state &serial_executor::state() const noexcept
{
    return *m_state;
}

} // namespace sycamoretray
