#pragma once

#include "http_message/http_body.h"

#include <boost/asio/buffer.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace sycamoretray::detail
{

/**
 * Answers that wait to be written. Memory is given back as the caller reads, block by block.
 *
 * Thread safety: none.
 */
class output_queue
{
public:
    explicit output_queue(std::shared_ptr<resource_budget> budget);

    void append(std::string head, const http_body &body);

    bool empty() const noexcept
    {
        return m_pieces.empty();
    }

    std::size_t unreadBytes() const noexcept
    {
        return m_bytes;
    }

    std::uint64_t reservedBytes() const noexcept;

    /** Returns buffers for the next write, of limited number. Valid until consume() is called. */
    std::vector<boost::asio::const_buffer> nextBuffers() const;

    /** Removes bytes that were written. */
    void consume(std::size_t bytes);

    /** Releases the reservations. A write that is in progress may go on using the buffers. */
    void releaseReservations() noexcept;

private:
    struct piece {
        /** One block of a body, or nothing if the data is text. */
        http_body body;
        std::string text;
        std::string_view data;
    };

    std::deque<std::unique_ptr<piece>> m_pieces;
    std::size_t m_bytes = 0;
    /** Bytes of the first piece that were written. */
    std::size_t m_written = 0;
    /** Memory of the heads. */
    budget_reservation m_reservation;
};

} // namespace sycamoretray::detail
