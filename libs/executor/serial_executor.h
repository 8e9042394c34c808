#pragma once

#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio
{
class io_context;
}

namespace sycamoretray
{

namespace detail
{
struct serial_executor_state;
}

/**
 * A strand: functions that are posted to one serial_executor never run at the same time. Copies share the strand. The
 * io_context must outlive all copies.
 *
 * Thread safety: any thread.
 */
class serial_executor
{
public:
    explicit serial_executor(boost::asio::io_context &context);

    /** Runs @p function later on the strand. */
    void post(std::function<void()> function) const;

    /** Runs @p function now if the calling thread is on the strand, else later. */
    void dispatch(std::function<void()> function) const;

    /** Runs @p function every @p milliseconds until it returns false. */
    void repeat(std::uint32_t milliseconds, std::function<bool()> function) const;

    /** For libraries that use Asio: executor/detail/serial_executor_state.h. */
    detail::serial_executor_state &state() const noexcept;

private:
    std::shared_ptr<detail::serial_executor_state> m_state;
};

} // namespace sycamoretray
