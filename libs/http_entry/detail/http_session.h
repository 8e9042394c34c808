#pragma once

#include "http_entry/detail/output_queue.h"
#include "http_entry/detail/progress_meter.h"
#include "http_entry/http_server.h"
#include "http_message/input_buffer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sycamoretray::detail
{

/** State shared by the sessions of a server. */
struct session_environment {
    http_server_settings settings;
    http_request_handler handler;
    std::atomic<std::uint32_t> connections{ 0 };
    std::atomic<bool> closeAfterAnswer{ false };
};

/**
 * One connection of a caller. Requests are read while earlier ones are being processed; each answer is held back until all earlier
 * answers have been queued for writing.
 *
 * Thread safety: start(), deliver(), closeIfOverdue(), onCallerDisconnected(), close() and closeIfIdle() from any thread; the rest runs on the session's
 * strand.
 */
class http_session final : public std::enable_shared_from_this<http_session>, public resource_holder
{
public:
    using strand_type = boost::asio::strand<boost::asio::io_context::executor_type>;
    using socket_type = boost::asio::basic_stream_socket<boost::asio::ip::tcp, strand_type>;

    /** Memory of a connection without a request: this object, and what the parser and Asio allocate for it. */
    static constexpr std::uint64_t idleMemory = 4096 + input_buffer::smallBytes;

    http_session(socket_type socket, std::shared_ptr<session_environment> environment);
    ~http_session();

    void start();

    /**
     * Accepts the answer to the request @p sequence. Without a value, the connection is closed instead of sending an answer.
     *
     * @param closeConnection  close the connection after the answers to the requests already read
     */
    void deliver(std::uint64_t sequence, std::optional<http_response> response, bool closeConnection);

    /** Closes the connection if a transfer or idle timeout has expired at @p now. */
    void closeIfOverdue(monotonic_time now);

    /** Calls @p function once if the connection closes before the request @p sequence is answered. */
    void onCallerDisconnected(std::uint64_t sequence, std::function<void()> function);

    void close();

    /** Closes the connection unless a request is being received or an answer is outstanding. */
    void closeIfIdle();

    /** Thread safety: as for the budget. */
    holder_state state() const noexcept override;
    std::string_view listener() const noexcept override;
    /** Closes the connection. Thread safety: as for the budget. */
    void giveWay() override;

    /** IP address of the caller; empty if it had disconnected when the session was created. */
    const std::string &callerAddress() const noexcept override
    {
        return m_callerAddress;
    }

    bool isClosed() const noexcept
    {
        return m_closed.load(std::memory_order_acquire);
    }

private:
    struct pending_answer {
        std::optional<http_response> response{};
        std::function<void()> disconnectHandler{};
        bool ready = false;
        bool headRequest = false;
        bool keepAlive = true;
    };

    void readMore();
    void received(std::size_t size);
    /** Takes memory for @p size bytes in m_input. Returns false if they can't be parsed now or not at all. */
    bool reserveReceived(std::size_t size);
    /** What memory is taken for if the body has @p bodyBytes. */
    reservation_purpose purposeFor(std::uint64_t bodyBytes) const noexcept;
    bool isMemoryScarce() const noexcept;
    /** Counts the buffers as they are now. */
    void countBuffers();
    std::uint64_t bufferBytes() const noexcept;
    std::uint64_t heldBytes() const noexcept;
    void parseReceived(std::string_view data);
    /** Parses what was received earlier and could not be parsed then. */
    void parseKept();
    /** Refuses a request whose header announces a body that can't be received. Returns whether it did. */
    bool refuseAnnouncedBody();
    void requestComplete();
    pending_answer &addPending();
    void refuse(result_code code);
    void sendContinue();
    void deliverOnStrand(std::uint64_t sequence, std::optional<http_response> response, bool closeConnection);
    /** Takes memory for an answer. Closes the connection and returns false if there is none. */
    bool reserveAnswer(http_response &response);
    void queueReadyAnswers();
    /** Returns whether the connection closes after the answer to the last request that was read. */
    bool isClosing() const noexcept;
    /** Returns whether the next request may be read. */
    bool readsNextRequest() const noexcept;
    bool isReceiving() const noexcept;
    void writeMore();
    void wrote(bool success, std::size_t size);
    void continueReading();
    void linger();
    void discardRequest();
    void closeOnStrand();
    /** Closes the socket and releases all memory. Returns the handlers of requests that will not be answered. */
    std::vector<std::function<void()>> shutDown();
    void updateDeadline();
    /** Returns the time that a caller gets for @p bytes beyond the limit for a transfer. */
    static time_span extraTime(std::size_t bytes);
    /** Reports a decision about this connection. */
    void record(resource_event event);
    /** Ends what has taken too long. */
    void expire(monotonic_time now);

    static constexpr monotonic_time noDeadline = monotonic_time::max();
    /** Memory of a body from which a request counts as large. */
    static constexpr std::uint64_t largeRequestBytes = 64ULL * 1024;

    strand_type m_strand;
    socket_type m_socket;
    std::string m_callerAddress;
    std::shared_ptr<session_environment> m_environment;
    http_request_parser m_parser;
    input_buffer m_input;
    /** Received bytes that the parser has not consumed. */
    std::string m_unparsed;
    std::deque<pending_answer> m_pending;
    /** Sequence number of m_pending.front(). */
    std::uint64_t m_firstSequence = 0;
    output_queue m_output;
    bool m_writeActive = false;
    bool m_readActive = false;
    /** Nothing is read at present, so that the system's buffer for received data may be full. */
    bool m_readingPaused = false;
    bool m_noMoreRequests = false;
    bool m_closeAfterWrite = false;
    bool m_closeRequested = false;
    bool m_continueSent = false;
    bool m_headerChecked = false;
    bool m_requestSeen = false;
    std::atomic<bool> m_closed{ false };
    /** Steady time in microseconds at which the connection is checked by expire(); written on the strand, read by closeIfOverdue(). */
    std::atomic<std::int64_t> m_deadline{ 0 };
    monotonic_time m_requestDeadline = noDeadline;
    monotonic_time m_writeDeadline = noDeadline;
    /** End of the time for the caller to close the connection, or without a request. */
    monotonic_time m_idleDeadline = noDeadline;
    /** Time since which the caller has to send or read something. */
    monotonic_time m_callersTurn;
    progress_meter m_progress;
    bool m_lingering = false;
    /** Bytes in m_input that wait for memory until an answer has been written. */
    std::size_t m_deferred = 0;
    /** Bytes that were received after the last request. */
    std::size_t m_discarded = 0;
    /** Memory of this object and its buffers, without bodies and answers. */
    budget_reservation m_buffers;
};

} // namespace sycamoretray::detail
