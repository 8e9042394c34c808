#include "standins/tcp_proxy/proxy_link.h"

#include "standins/common/network_name.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <deque>
#include <random>
#include <set>
#include <utility>

namespace sycamoretray::standins
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using clock_type = std::chrono::steady_clock;

namespace
{

enum class pass_mode {
    pass,
    hold,
    drop,
};

struct direction_settings {
    pass_mode mode = pass_mode::pass;
    long long delayMs = 0;
    double cutProbability = 0;
    std::uint64_t bytes = 0;
};

constexpr std::size_t largestBacklog = 1024ULL * 1024;

void applyChange(direction_settings &settings, const nlohmann::json &change)
{
    if (change.contains("mode")) {
        const auto mode = change["mode"].get<std::string>();
        settings.mode = mode == "hold" ? pass_mode::hold : (mode == "drop" ? pass_mode::drop : pass_mode::pass);
    }
    settings.delayMs = change.value("delay_ms", settings.delayMs);
    settings.cutProbability = change.value("cut_probability", settings.cutProbability);
}

void closeSocket(tcp::socket &socket)
{
    error_code ignored;
    socket.shutdown(tcp::socket::shutdown_both, ignored);
    socket.close(ignored);
}

} // namespace

struct proxy_link::state : std::enable_shared_from_this<proxy_link::state> {
    struct connection;

    state(asio::io_context &context, const std::string &listen, const std::string &targetAddress, std::uint64_t seed)
        : acceptor(context, parseAddress(listen))
        , target(parseAddress(targetAddress))
        , random(seed)
    {
    }

    void acceptNext();

    tcp::acceptor acceptor;
    tcp::endpoint target;
    std::mt19937_64 random;
    std::array<direction_settings, 2> directions; // up, down
    bool refuse = false;
    std::uint64_t accepted = 0;
    std::uint64_t cuts = 0;
    std::set<std::shared_ptr<connection>> connections;
};

struct proxy_link::state::connection : std::enable_shared_from_this<connection> {
    struct piece {
        clock_type::time_point due;
        std::vector<char> bytes;
    };

    struct pump {
        std::array<char, 65536> buffer;
        std::deque<piece> backlog;
        std::size_t backlogBytes = 0;
        bool reading = false;
        bool writing = false;
        bool lostBytes = false;
        bool ended = false;
    };

    connection(std::shared_ptr<state> owner, tcp::socket accepted)
        : link(std::move(owner))
        , sockets{ std::move(accepted), tcp::socket(link->acceptor.get_executor()) }
        , timers{ asio::steady_timer(link->acceptor.get_executor()), asio::steady_timer(link->acceptor.get_executor()) }
    {
    }

    void open()
    {
        sockets[1].async_connect(link->target, [self = shared_from_this()](error_code error) {
            if (error) {
                self->close();
                return;
            }
            self->sockets[0].set_option(tcp::no_delay(true), error);
            self->sockets[1].set_option(tcp::no_delay(true), error);
            self->read(0);
            self->read(1);
        });
    }

    void read(std::size_t way)
    {
        pump &flow = pumps[way];
        if (flow.reading || flow.ended || closed || flow.backlogBytes > largestBacklog) {
            return;
        }
        flow.reading = true;
        sockets[way].async_read_some(asio::buffer(flow.buffer), [self = shared_from_this(), way](error_code error, std::size_t count) {
            self->pumps[way].reading = false;
            self->received(way, error, count);
        });
    }

    void received(std::size_t way, error_code error, std::size_t count)
    {
        pump &flow = pumps[way];
        const direction_settings &settings = link->directions[way];
        if (error) {
            flow.ended = true;
            write(way);
            return;
        }
        if (settings.mode == pass_mode::drop) {
            flow.lostBytes = true;
        } else {
            flow.backlog.push_back({ clock_type::now() + std::chrono::milliseconds(settings.delayMs), { flow.buffer.begin(), flow.buffer.begin() + count } });
            flow.backlogBytes += count;
            write(way);
        }
        read(way);
    }

    void write(std::size_t way)
    {
        pump &flow = pumps[way];
        const direction_settings &settings = link->directions[way];
        if (flow.writing || closed || settings.mode == pass_mode::hold) {
            return;
        }
        if (flow.backlog.empty()) {
            if (flow.ended && settings.mode == pass_mode::pass) {
                close();
            }
            return;
        }
        if (flow.backlog.front().due > clock_type::now()) {
            writeLater(way);
            return;
        }
        writePiece(way);
    }

    void writeLater(std::size_t way)
    {
        timers[way].expires_at(pumps[way].backlog.front().due);
        timers[way].async_wait([self = shared_from_this(), way](error_code error) {
            if (!error) {
                self->write(way);
            }
        });
    }

    void writePiece(std::size_t way)
    {
        pump &flow = pumps[way];
        direction_settings &settings = link->directions[way];
        auto bytes = std::make_shared<std::vector<char>>(std::move(flow.backlog.front().bytes));
        flow.backlog.pop_front();
        flow.backlogBytes -= bytes->size();
        const bool cut = settings.cutProbability > 0 && std::bernoulli_distribution(settings.cutProbability)(link->random);
        const std::size_t count = cut ? bytes->size() / 2 : bytes->size();
        settings.bytes += count;
        flow.writing = true;
        asio::async_write(sockets[1 - way], asio::buffer(bytes->data(), count), [self = shared_from_this(), way, bytes, cut](error_code error, std::size_t) {
            self->pumps[way].writing = false;
            self->link->cuts += cut ? 1 : 0;
            if (error || cut) {
                self->close();
            } else {
                self->write(way);
                self->read(way);
            }
        });
    }

    void modeChanged()
    {
        for (std::size_t way = 0; way < 2; ++way) {
            if (pumps[way].lostBytes && link->directions[way].mode == pass_mode::pass) {
                close();
                return;
            }
            write(way);
            read(way);
        }
    }

    void close()
    {
        closed = true;
        closeSocket(sockets[0]);
        closeSocket(sockets[1]);
        timers[0].cancel();
        timers[1].cancel();
        link->connections.erase(shared_from_this());
    }

    std::shared_ptr<state> link;
    std::array<tcp::socket, 2> sockets; // connecting side, target
    std::array<asio::steady_timer, 2> timers;
    std::array<pump, 2> pumps;
    bool closed = false;
};

void proxy_link::state::acceptNext()
{
    acceptor.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            if (self->refuse) {
                closeSocket(socket);
            } else {
                ++self->accepted;
                auto created = std::make_shared<connection>(self, std::move(socket));
                self->connections.insert(created);
                created->open();
            }
        }
        self->acceptNext();
    });
}

proxy_link::proxy_link(asio::io_context &context, const std::string &listen, const std::string &target, std::uint64_t seed)
    : d(std::make_shared<state>(context, listen, target, seed))
{
    d->acceptNext();
}

proxy_link::~proxy_link()
{
    error_code ignored;
    d->acceptor.close(ignored);
    const auto connections = d->connections;
    for (const auto &connection : connections) {
        connection->close();
    }
}

void proxy_link::configure(const nlohmann::json &change)
{
    d->refuse = change.value("refuse", d->refuse);
    if (change.contains("up")) {
        applyChange(d->directions[0], change["up"]);
    }
    if (change.contains("down")) {
        applyChange(d->directions[1], change["down"]);
    }
    const auto connections = d->connections;
    for (const auto &connection : connections) {
        if (change.value("cut", false)) {
            connection->close();
        } else {
            connection->modeChanged();
        }
    }
}

nlohmann::json proxy_link::counters() const
{
    return { { "accepted", d->accepted },
             { "open", d->connections.size() },
             { "cuts", d->cuts },
             { "bytes_up", d->directions[0].bytes },
             { "bytes_down", d->directions[1].bytes } };
}

} // namespace sycamoretray::standins
