#include "http_entry/detail/http_session.h"

#include "executor/steady_time.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace sycamoretray::detail
{

namespace
{

// Time that a caller has to send or read something before its connection may give way to others.
constexpr time_span graceTime = std::chrono::seconds(1);
// The same for a header, which callers send at once. Covers a packet that is lost and sent again.
constexpr time_span headerGraceTime = std::chrono::milliseconds(300);

} // namespace

reservation_purpose http_session::purposeFor(std::uint64_t bodyBytes) const noexcept
{
    const reservation_purpose purpose = m_environment->settings.purpose;
    return purpose == reservation_purpose::request && bodyBytes > largeRequestBytes ? reservation_purpose::large_request : purpose;
}

bool http_session::isMemoryScarce() const noexcept
{
    return m_environment->settings.budget && m_environment->settings.purpose != reservation_purpose::essential && m_environment->settings.budget->isScarce();
}

std::uint64_t http_session::bufferBytes() const noexcept
{
    const std::uint64_t system = m_environment->settings.socketBufferBytes;
    const std::uint64_t inSystem = (m_readingPaused ? system : 0) + (m_output.empty() ? 0 : system);
    return idleMemory - input_buffer::smallBytes + m_input.size() + m_unparsed.capacity() + m_parser.headerMemory() + inSystem;
}

void http_session::countBuffers()
{
    if (!isClosed()) {
        m_buffers.resize(bufferBytes());
    }
}

std::uint64_t http_session::heldBytes() const noexcept
{
    std::uint64_t bytes = m_buffers.reserved() + m_parser.bodyMemory() + m_output.reservedBytes();
    for (const pending_answer &pending : m_pending) {
        bytes += pending.response ? pending.response->body.reservedBytes() : 0;
    }
    return bytes;
}

holder_state http_session::state() const noexcept
{
    const monotonic_time now = steadyNow();
    const bool answering = !m_output.empty();
    const bool transferring = answering || isReceiving() || m_lingering || !m_requestSeen;
    holder_state result;
    result.bytes = heldBytes();
    if (!answering && !m_pending.empty()) {
        return result;
    }
    if (!transferring) {
        result.strength = claim::idle;
        result.since = (now - m_callersTurn).count();
        return result;
    }
    const monotonic_time lastProgress = std::max(m_callersTurn, m_progress.lastProgress());
    const bool headerMissing = !answering && !m_parser.headerComplete();
    const time_span grace = headerMissing ? headerGraceTime : graceTime;
    const bool silent = now - lastProgress >= grace;
    const double perSecond = silent ? 0 : m_progress.bytesPerSecond(now);
    const double neededPerSecond = static_cast<double>(result.bytes) / std::chrono::duration<double>(m_environment->settings.transferTimeout).count();
    if (m_lingering || silent || (now - m_callersTurn >= grace && perSecond < neededPerSecond)) {
        result.strength = claim::stalled;
        result.progress = perSecond / static_cast<double>(std::max<std::uint64_t>(1, result.bytes));
        result.since = (now - m_callersTurn).count();
    }
    return result;
}

void http_session::record(resource_event event)
{
    if (m_environment->settings.budget) {
        m_environment->settings.budget->record(event, *this);
    }
}

std::string_view http_session::listener() const noexcept
{
    return m_environment->settings.name;
}

void http_session::giveWay()
{
    // The handlers may use other connections, also the one that takes memory now.
    boost::asio::post(m_strand, [functions = shutDown()] {
        for (const auto &function : functions) {
            function();
        }
    });
}

} // namespace sycamoretray::detail
