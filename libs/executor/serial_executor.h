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
 * Strand of an io_context: functions posted to one serial_executor never run concurrently. Copies share the strand. The io_context
 * must outlive all copies.
 *
 * Thread safety: any thread.
 */
class serial_executor
{
public:
    explicit serial_executor(boost::asio::io_context &context);

    /** Queues @p function to run on the strand; never runs it within this call. */
    void post(std::function<void()> function) const;

    /** Runs @p function immediately if called on the strand; otherwise like post(). */
    void dispatch(std::function<void()> function) const;

    /** Runs @p function on the strand, @p milliseconds after now and after each run, until it returns false. */
    void repeat(std::uint32_t milliseconds, std::function<bool()> function) const;

    /** Returns the Asio strand, for libraries that use Asio; see executor/detail/serial_executor_state.h. */
    detail::serial_executor_state &state() const noexcept;

private:
    std::shared_ptr<detail::serial_executor_state> m_state;
};

} // namespace sycamoretray
