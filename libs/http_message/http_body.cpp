#include "http_message/http_body.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

constexpr std::size_t minBlockBytes = 1024;
// The allocator returns blocks of this size to the system as soon as they are freed.
constexpr std::size_t maxBlockBytes = 256UL * 1024;
// A body that is known to be this short gets one block of its size.
constexpr std::size_t shortBodyBytes = 16UL * 1024;

} // namespace

http_body::http_body(std::string text)
    : m_size(text.size())
{
    if (!text.empty()) {
        m_blocks.push_back(std::make_shared<block>());
        m_blocks.back()->data = std::move(text);
    }
}

std::string http_body::text() const
{
    std::string result;
    result.reserve(m_size);
    for (const auto &each : m_blocks) {
        result += each->data;
    }
    return result;
}

std::vector<std::string_view> http_body::pieces() const
{
    std::vector<std::string_view> result;
    for (const auto &each : m_blocks) {
        if (!each->data.empty()) {
            result.emplace_back(each->data);
        }
    }
    return result;
}

std::vector<http_body> http_body::blocks() const
{
    std::vector<http_body> result;
    for (const auto &each : m_blocks) {
        if (!each->data.empty()) {
            http_body part;
            part.m_blocks.push_back(each);
            part.m_size = each->data.size();
            result.push_back(std::move(part));
        }
    }
    return result;
}

std::size_t http_body::freeBytes() const noexcept
{
    return m_blocks.empty() ? 0 : m_blocks.back()->data.capacity() - m_blocks.back()->data.size();
}

std::uint64_t http_body::memoryOf(std::size_t capacity) noexcept
{
    // Reference count and allocator headers of the block and its data.
    constexpr std::uint64_t overheadBytes = 48;
    return sizeof(block) + sizeof(std::shared_ptr<block>) + overheadBytes + capacity;
}

std::size_t http_body::nextCapacity(std::size_t bytes, std::size_t expected) const noexcept
{
    const std::size_t left = expected > m_size ? expected - m_size : 0;
    if (m_blocks.empty() && left > 0 && left <= shortBodyBytes) {
        return std::max(left, bytes);
    }
    std::size_t capacity = std::clamp(m_size, minBlockBytes, maxBlockBytes);
    if (left > 0) {
        capacity = std::min(capacity, left);
    }
    return std::max(capacity, bytes);
}

bool http_body::tryReserve(std::size_t bytes,
                           std::size_t expected,
                           const std::shared_ptr<resource_budget> &budget,
                           reservation_purpose purpose,
                           const resource_holder *asker)
{
    const std::size_t available = freeBytes();
    if (bytes <= available) {
        return true;
    }
    auto next = std::make_shared<block>();
    next->reservation = budget_reservation(budget);
    const std::size_t capacity = nextCapacity(bytes - available, expected);
    if (!next->reservation.tryResize(memoryOf(capacity), purpose, asker)) {
        return false;
    }
    // Fills the last block now, so that append() finds the free bytes in one place.
    next->data.reserve(capacity);
    m_blocks.push_back(std::move(next));
    return true;
}

void http_body::append(std::string_view data, const std::shared_ptr<resource_budget> &budget)
{
    m_size += data.size();
    // tryReserve() may have added an empty block behind one with free bytes.
    if (m_blocks.size() >= 2 && m_blocks.back()->data.empty()) {
        std::string &previous = m_blocks[m_blocks.size() - 2]->data;
        const std::size_t fitting = std::min(data.size(), previous.capacity() - previous.size());
        previous.append(data.substr(0, fitting));
        data.remove_prefix(fitting);
    }
    const std::size_t fitting = std::min(data.size(), freeBytes());
    if (fitting > 0) {
        m_blocks.back()->data.append(data.substr(0, fitting));
        data.remove_prefix(fitting);
    }
    if (!data.empty()) {
        auto next = std::make_shared<block>();
        next->reservation = budget_reservation(budget);
        next->data.reserve(std::max(minBlockBytes, data.size()));
        next->data.append(data);
        next->reservation.resize(memoryOf(next->data.capacity()));
        m_blocks.push_back(std::move(next));
    }
}

bool http_body::tryCount(const std::shared_ptr<resource_budget> &budget, reservation_purpose purpose, const resource_holder *asker)
{
    for (const auto &each : m_blocks) {
        if (each->reservation.reserved() == 0) {
            each->reservation = budget_reservation(budget);
            if (!each->reservation.tryResize(memoryOf(each->data.capacity()), purpose, asker)) {
                return false;
            }
        }
    }
    return true;
}

std::uint64_t http_body::reservedBytes() const noexcept
{
    std::uint64_t bytes = 0;
    for (const auto &each : m_blocks) {
        bytes += each->reservation.reserved();
    }
    return bytes;
}

void http_body::releaseReservations() noexcept
{
    for (const auto &each : m_blocks) {
        each->reservation.release();
    }
}

void http_body::clear() noexcept
{
    m_blocks.clear();
    m_size = 0;
}

} // namespace sycamoretray
