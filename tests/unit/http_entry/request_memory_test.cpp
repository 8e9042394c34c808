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

// Guards against a lack of memory that is reported as a body over the limit, which callers do not retry.
Test(request_memory, lack_of_memory_is_a_refusal_to_be_retried)
{
    server_under_test site(request.size());
    tcp::socket first = site.connect();
    boost::asio::write(first, boost::asio::buffer(request));
    site.run();
    tcp::socket second = site.connect();
    boost::asio::write(second, boost::asio::buffer(request));
    site.run();
    const std::string answer = received(second);
    cr_expect(answer.starts_with("HTTP/1.1 503"), "%s", answer.c_str());
    cr_expect(answer.find("Retry-After: 1\r\n") != std::string::npos, "%s", answer.c_str());
    cr_expect_eq(site.unanswered.size(), 1U);
    cr_expect_eq(site.budget->events().failedRequests, 1U);
}

// Guards against a request that is refused although a caller that stopped within its request holds the memory, and against a closed
// connection of a request that was handed on.
Test(request_memory, connection_without_progress_is_closed_first)
{
    server_under_test site(3 * request.size());
    tcp::socket stalled = site.connect();
    boost::asio::write(stalled, boost::asio::buffer(request.substr(0, request.size() - 1)));
    tcp::socket waiting = site.connect();
    boost::asio::write(waiting, boost::asio::buffer(request));
    site.context.run_for(1100ms);
    tcp::socket third = site.connect();
    boost::asio::write(third, boost::asio::buffer(request));
    site.run();
    tcp::socket fourth = site.connect();
    boost::asio::write(fourth, boost::asio::buffer(request));
    site.run();
    cr_expect_eq(site.unanswered.size(), 3U);
    cr_expect_eq(site.budget->events().reclaimed, 1U);
    while (!site.unanswered.empty()) {
        site.answerNext(2);
    }
    site.run();
    for (tcp::socket *caller : { &waiting, &third, &fourth }) {
        cr_expect(received(*caller).starts_with("HTTP/1.1 200"));
    }
    cr_expect_eq(site.budget->used(), 0U);
}

// Guards against answers that wait to be read and are not counted.
Test(request_memory, answers_count_until_they_are_read)
{
    constexpr std::size_t answerBytes = 16UL * 1024 * 1024;
    server_under_test site(2 * answerBytes);
    tcp::socket caller = site.connect();
    boost::asio::write(caller, boost::asio::buffer(request));
    site.run();
    site.answerNext(answerBytes);
    site.run();
    cr_expect_geq(site.budget->used(), answerBytes);
    std::size_t read = 0;
    for (int round = 0; round < 2000 && site.budget->used() > 0; ++round) {
        read += received(caller).size();
        site.context.run_for(1ms);
    }
    cr_expect_eq(site.budget->used(), 0U);
    read += received(caller).size();
    cr_expect_gt(read, answerBytes);
}

// Guards against a refusal of a request that ran because there is no memory for its answer.
Test(request_memory, request_that_ran_is_not_refused)
{
    server_under_test site(4 * request.size());
    tcp::socket caller = site.connect();
    boost::asio::write(caller, boost::asio::buffer(request));
    site.run();
    site.answerNext(100 * request.size());
    site.run();
    std::array<char, 100> buffer{};
    boost::system::error_code error;
    cr_expect_eq(caller.read_some(boost::asio::buffer(buffer), error), 0U);
    cr_expect(error.failed());
    cr_expect_eq(site.budget->used(), 0U);
}

// Guards against requests that are read, and refused, while memory is scarce and their caller waits for an earlier answer.
Test(request_memory, reading_stops_before_requests_are_refused)
{
    constexpr std::size_t bodyBytes = 10000;
    server_under_test site(4 * bodyBytes);
    tcp::socket caller = site.connect();
    std::string requests;
    constexpr int count = 20;
    for (int index = 0; index < count; ++index) {
        requests += "POST / HTTP/1.1\r\nContent-Length: 10000\r\n\r\n" + std::string(bodyBytes, 'q');
    }
    boost::asio::write(caller, boost::asio::buffer(requests));
    site.run();
    std::string answers;
    for (int index = 0; index < count; ++index) {
        cr_assert_geq(site.unanswered.size(), 1U, "request %d", index);
        site.answerNext(2);
        site.run();
        answers += received(caller);
    }
    cr_expect_eq(answers.find("HTTP/1.1 503"), std::string::npos);
    cr_expect_eq(site.budget->used(), 0U);
}
