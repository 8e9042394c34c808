#include "executor/serial_executor.h"
#include "sycamoretrayd/gateway/endpoint_connections.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

using boost::asio::ip::tcp;

endpoint_observer ignoreEvents()
{
    return { [](const network_address & /*endpoint*/, connection_event /*event*/) {},
             [](const network_address & /*endpoint*/) {},
             [](const network_address & /*endpoint*/) {} };
}

send_grant newGrant(std::uint64_t order, const endpoint_incarnation &endpoint)
{
    return { order_id(order), endpoint, { 0, 10 }, fencing_token(order), 2500ms, std::nullopt, {} };
}

/** Accepts each grant and closes its connection with the answer. */
class closing_endpoint
{
public:
    explicit closing_endpoint(boost::asio::io_context &context)
        : m_acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        accept();
    }

    network_address address() const
    {
        return network_address("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()));
    }

private:
    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
            if (!error) {
                answer(std::make_shared<tcp::socket>(std::move(socket)));
                accept();
            }
        });
    }

    void answer(const std::shared_ptr<tcp::socket> &socket)
    {
        socket->async_read_some(boost::asio::buffer(m_input), [socket](const boost::system::error_code & /*error*/, std::size_t /*size*/) {
            static const std::string response = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
            boost::system::error_code ignored;
            boost::asio::write(*socket, boost::asio::buffer(response), ignored);
            socket->close();
        });
    }

    tcp::acceptor m_acceptor;
    std::array<char, 4096> m_input{};
};

} // namespace

// Guards against ranges that are never granted again: a grant that is sent when another one fails replaces the connection, and those that waited
// for the former connection get no outcome.
Test(grant_connection, grants_that_wait_for_a_refused_connection_all_get_an_outcome)
{
    boost::asio::io_context context;
    const serial_executor executor(context);
    endpoint_connections connections(executor, nullptr, ignoreEvents());
    // Nothing listens on this port.
    const endpoint_incarnation endpoint{ endpoint_id("e"), 1, network_address("127.0.0.1:1") };
    std::vector<order_outcome> outcomes;
    const auto done = [&](order_id /*order*/, const order_reply &reply) {
        outcomes.push_back(reply.outcome);
    };
    connections.send(newGrant(1, endpoint), [&](order_id order, const order_reply &reply) {
        done(order, reply);
        connections.send(newGrant(4, endpoint), done);
    });
    connections.send(newGrant(2, endpoint), done);
    connections.send(newGrant(3, endpoint), done);
    context.run_for(1s);
    cr_assert_eq(outcomes.size(), 4U);
    for (const order_outcome outcome : outcomes) {
        cr_expect(outcome == order_outcome::unsent);
    }
}

// Guards against an endpoint that counts as lost because it closed the connection while other grants waited for it.
Test(grant_connection, grants_behind_an_answer_that_closes_the_connection_say_nothing_of_the_endpoint)
{
    boost::asio::io_context context;
    const serial_executor executor(context);
    closing_endpoint listener(context);
    endpoint_connections connections(executor, nullptr, ignoreEvents());
    const endpoint_incarnation endpoint{ endpoint_id("e"), 1, listener.address() };
    std::vector<order_outcome> outcomes;
    for (std::uint64_t order = 1; order <= 3; ++order) {
        connections.send(newGrant(order, endpoint), [&](order_id /*order*/, const order_reply &reply) {
            outcomes.push_back(reply.outcome);
        });
    }
    context.run_for(500ms);
    cr_assert_eq(outcomes.size(), 3U);
    cr_expect(outcomes[0] == order_outcome::accepted);
    cr_expect(outcomes[1] == order_outcome::connection_lost);
    cr_expect(outcomes[2] == order_outcome::connection_lost);
}

// Guards against a token that is sent again on another connection after the one on which it was accepted was closed.
Test(grant_connection, renewal_is_not_sent_on_another_connection)
{
    boost::asio::io_context context;
    const serial_executor executor(context);
    closing_endpoint listener(context);
    endpoint_connections connections(executor, nullptr, ignoreEvents());
    const endpoint_incarnation endpoint{ endpoint_id("e"), 1, listener.address() };
    std::vector<order_reply> replies;
    const auto done = [&](order_id /*order*/, const order_reply &reply) {
        replies.push_back(reply);
    };
    connections.send(newGrant(1, endpoint), done);
    context.run_for(200ms);
    cr_assert_eq(replies.size(), 1U);
    send_grant renewal = newGrant(2, endpoint);
    renewal.connection = replies[0].connection;
    connections.send(renewal, done);
    context.run_for(200ms);
    cr_assert_eq(replies.size(), 2U);
    cr_expect(replies[1].outcome == order_outcome::connection_lost);
}
