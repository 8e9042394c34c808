#include "http_entry/detail/output_queue.h"

#include <algorithm>
#include <utility>

namespace sycamoretray::detail
{

namespace
{

// More buffers would not be written in one system call by Asio.
constexpr std::size_t maxBuffers = 16;

} // namespace

output_queue::output_queue(std::shared_ptr<resource_budget> budget)
    : m_reservation(std::move(budget))
{
}

void output_queue::append(std::string head, const http_body &body)
{
    auto first = std::make_unique<piece>();
    first->text = std::move(head);
    first->data = first->text;
    m_reservation.resize(m_reservation.reserved() + sizeof(piece) + first->text.capacity());
    m_bytes += first->data.size();
    m_pieces.push_back(std::move(first));
    for (http_body &block : body.blocks()) {
        auto next = std::make_unique<piece>();
        next->data = block.pieces().front();
        next->body = std::move(block);
        m_bytes += next->data.size();
        m_pieces.push_back(std::move(next));
    }
}

std::uint64_t output_queue::reservedBytes() const noexcept
{
    std::uint64_t bytes = m_reservation.reserved();
    for (const auto &each : m_pieces) {
        bytes += each->body.reservedBytes();
    }
    return bytes;
}

std::vector<boost::asio::const_buffer> output_queue::nextBuffers() const
{
    std::vector<boost::asio::const_buffer> buffers;
    buffers.reserve(std::min(m_pieces.size(), maxBuffers));
    std::size_t skipped = m_written;
    for (const auto &each : m_pieces) {
        if (buffers.size() == maxBuffers) {
            break;
        }
        buffers.push_back(boost::asio::buffer(each->data.data(), each->data.size()) + skipped);
        skipped = 0;
    }
    return buffers;
}

void output_queue::consume(std::size_t bytes)
{
    m_bytes -= bytes;
    m_written += bytes;
    while (!m_pieces.empty() && m_written >= m_pieces.front()->data.size()) {
        const piece &front = *m_pieces.front();
        m_written -= front.data.size();
        if (!front.text.empty()) {
            const std::uint64_t memory = sizeof(piece) + front.text.capacity();
            m_reservation.resize(m_reservation.reserved() - std::min(memory, m_reservation.reserved()));
        }
        m_pieces.pop_front();
    }
}

void output_queue::releaseReservations() noexcept
{
    m_reservation.release();
    for (const auto &each : m_pieces) {
        each->body.releaseReservations();
    }
}

} // namespace sycamoretray::detail
