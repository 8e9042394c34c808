#include "http_entry/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <array>
#include <deque>
#include <memory>
#include <string>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

using boost::asio::ip::tcp;

const std::string request = "POST / HTTP/1.1\r\nContent-Length: 200\r\n\r\n" + std::string(200, 'q');

/** A server whose handler keeps the requests until the test answers them. */
struct server_under_test {
    explicit server_under_test(std::uint64_t budgetBytes)
        : budget(std::make_shared<buffer_budget>(budgetBytes))
        , server(context, settings(), [this](const http_request & /*request*/, std::shared_ptr<answer_handle> handle) {
            unanswered.push_back(std::move(handle));
        })
    {
        cr_assert(!server.start());
    }

    http_server_settings settings() const
    {
        http_server_settings result;
        result.address = network_address("127.0.0.1:0");
        result.budget = budget;
        return result;
    }

    tcp::socket connect()
    {
        tcp::socket caller(context);
        caller.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), server.port()));
        return caller;
    }

    void run()
    {
        context.run_for(20ms);
    }

    /** Answers the oldest request with @p bytes. */
    void answerNext(std::size_t bytes)
    {
        const auto handle = std::move(unanswered.front());
        unanswered.pop_front();
        handle->answer({ 200, {}, std::string(bytes, 'a') });
    }

    boost::asio::io_context context;
    std::shared_ptr<buffer_budget> budget;
    std::deque<std::shared_ptr<answer_handle>> unanswered;
    http_server server;
};

/** Returns what the caller can read at once. */
std::string received(tcp::socket &caller)
{
    std::string result;
    std::array<char, 65536> buffer{};
    while (caller.available() > 0) {
        result.append(buffer.data(), caller.read_some(boost::asio::buffer(buffer)));
    }
    return result;
}

} // namespace

// Guards against bytes of answered requests that stay reserved while the connection always has a request outstanding, so that
// proper requests are refused in the end (review/3).
Test(request_memory, is_released_while_a_request_is_outstanding)
{
    server_under_test site(4 * request.size());
    tcp::socket caller = site.connect();
    boost::asio::write(caller, boost::asio::buffer(request));
    site.run();
    for (int round = 0; round < 20; ++round) {
        boost::asio::write(caller, boost::asio::buffer(request));
        site.run();
        cr_assert_eq(site.unanswered.size(), 2U, "round %d", round);
        site.answerNext(2);
        site.run();
        cr_assert(received(caller).starts_with("HTTP/1.1 200"), "round %d", round);
    }
    site.answerNext(2);
    site.run();
    cr_expect_eq(site.budget->used(), 0U);
}

// Guards against reservations that outlive the connection of an incomplete request and of an unanswered one.
Test(request_memory, is_released_when_the_connection_closes)
{
    server_under_test site(10 * request.size());
    tcp::socket caller = site.connect();
    boost::asio::write(caller, boost::asio::buffer(request + request.substr(0, 100)));
    site.run();
    cr_expect_eq(site.unanswered.size(), 1U);
    cr_expect_gt(site.budget->used(), 0U);
    caller.close();
    site.run();
    cr_expect_eq(site.budget->used(), 0U);
}
