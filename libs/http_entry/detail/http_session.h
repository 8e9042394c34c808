#pragma once

#include "http_entry/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>

#include <array>
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
class http_session final : public std::enable_shared_from_this<http_session>, public budget_holder
{
public:
    using strand_type = boost::asio::strand<boost::asio::io_context::executor_type>;
    using socket_type = boost::asio::basic_stream_socket<boost::asio::ip::tcp, strand_type>;

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

    /**
     * Returns the reserved bytes if the caller has neither sent nor read a byte for a time, and either has an answer to read or
     * has no request that was handed on; otherwise 0.
     *
     * Thread safety: as for the budget.
     */
    std::uint64_t reclaimableBytes() const noexcept override;

    /** Closes the connection. Thread safety: as for the budget. */
    void reclaim() override;

    /** IP address of the caller; empty if it had disconnected when the session was created. */
    const std::string &callerAddress() const noexcept
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
        /** Bytes of the request. */
        budget_reservation reservation;
        bool ready = false;
        bool headRequest = false;
        bool keepAlive = true;
        /** The request was refused by the session. Its short answer, the last of the connection, needs no reservation. */
        bool refused = false;
    };

    void readMore();
    void received(std::size_t size);
    /** Reserves memory for @p size bytes in m_input. Returns false if they can't be parsed now or not at all. */
    bool reserveReceived(std::size_t size);
    bool isMemoryScarce() const noexcept;
    std::uint64_t reservedBytes() const noexcept;
    /** Reserves memory for an answer. Closes the connection and returns false if there is none. */
    bool reserveAnswer(pending_answer &pending, const http_response &response);
    void parseReceived();
    void requestComplete();
    pending_answer &addPending();
    void refuse(result_code code);
    void sendContinue();
    void deliverOnStrand(std::uint64_t sequence, std::optional<http_response> response, bool closeConnection);
    void queueReadyAnswers();
    /** Returns whether the connection closes after the answer to the last request that was read. */
    bool isClosing() const noexcept;
    /** Returns whether the next request may be read. */
    bool readsNextRequest() const noexcept;
    void writeMore();
    void writeSome();
    void wroteSome(bool success, std::size_t size);
    void written();
    void linger();
    void discardRequest();
    void closeOnStrand();
    /** Closes the socket and releases all memory. Returns the handlers of requests that will not be answered. */
    std::vector<std::function<void()>> shutDown();
    void updateDeadline();

    static constexpr monotonic_time noDeadline = monotonic_time::max();

    strand_type m_strand;
    socket_type m_socket;
    std::string m_callerAddress;
    std::shared_ptr<session_environment> m_environment;
    http_request_parser m_parser;
    std::array<char, 8192> m_input{};
    std::string m_unparsed;
    std::deque<pending_answer> m_pending;
    /** Sequence number of m_pending.front(). */
    std::uint64_t m_firstSequence = 0;
    std::string m_output;
    std::string m_writing;
    /** Bytes of m_writing that were sent. */
    std::size_t m_sent = 0;
    bool m_writeActive = false;
    bool m_readActive = false;
    bool m_noMoreRequests = false;
    bool m_closeAfterWrite = false;
    bool m_closeRequested = false;
    bool m_continueSent = false;
    std::atomic<bool> m_closed{ false };
    /** Steady time in microseconds at which the connection is closed; written on the strand, read by closeIfOverdue(). */
    std::atomic<std::int64_t> m_deadline{ 0 };
    monotonic_time m_requestDeadline = noDeadline;
    monotonic_time m_writeDeadline = noDeadline;
    monotonic_time m_lastProgress;
    bool m_lingering = false;
    /** Bytes in m_input that wait for memory until an answer has been written. */
    std::size_t m_deferred = 0;
    /** Bytes that were received after the last request. */
    std::size_t m_discarded = 0;
    /** Memory reserved for data received that does not belong to a complete request yet. */
    budget_reservation m_received;
    /** Part of m_received that the parser has consumed for the incomplete request. */
    std::uint64_t m_parsedBytes = 0;
    /** Reservations of the requests whose answers are in m_output and in m_writing. */
    budget_reservation m_outputReservation;
    budget_reservation m_writingReservation;
};

} // namespace sycamoretray::detail
