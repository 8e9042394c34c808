#include "standins/tcp_proxy/proxy_link.h"

#include "standins/common/socket_address.h"

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

constexpr std::size_t maxBacklogBytes = 1024ULL * 1024;

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
    struct chunk {
        clock_type::time_point due;
        std::vector<char> bytes;
    };

    struct direction_state {
        std::array<char, 65536> buffer;
        std::deque<chunk> backlog;
        std::size_t backlogBytes = 0;
        bool reading = false;
        bool writing = false;
        bool bytesDropped = false;
        bool endOfStream = false;
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

    void read(std::size_t direction)
    {
        direction_state &directionState = directionStates[direction];
        if (directionState.reading || directionState.endOfStream || closed || directionState.backlogBytes > maxBacklogBytes) {
            return;
        }
        directionState.reading = true;
        sockets[direction].async_read_some(asio::buffer(directionState.buffer), [self = shared_from_this(), direction](error_code error, std::size_t count) {
            self->directionStates[direction].reading = false;
            self->received(direction, error, count);
        });
    }

    void received(std::size_t direction, error_code error, std::size_t count)
    {
        direction_state &directionState = directionStates[direction];
        const direction_settings &settings = link->directions[direction];
        if (error) {
            directionState.endOfStream = true;
            write(direction);
            return;
        }
        if (settings.mode == pass_mode::drop) {
            directionState.bytesDropped = true;
        } else {
            directionState.backlog.push_back(
                { clock_type::now() + std::chrono::milliseconds(settings.delayMs), { directionState.buffer.begin(), directionState.buffer.begin() + count } });
            directionState.backlogBytes += count;
            write(direction);
        }
        read(direction);
    }

    void write(std::size_t direction)
    {
        direction_state &directionState = directionStates[direction];
        const direction_settings &settings = link->directions[direction];
        if (directionState.writing || closed || settings.mode == pass_mode::hold) {
            return;
        }
        if (directionState.backlog.empty()) {
            if (directionState.endOfStream && settings.mode == pass_mode::pass) {
                close();
            }
            return;
        }
        if (directionState.backlog.front().due > clock_type::now()) {
            writeLater(direction);
            return;
        }
        writeChunk(direction);
    }

    void writeLater(std::size_t direction)
    {
        timers[direction].expires_at(directionStates[direction].backlog.front().due);
        timers[direction].async_wait([self = shared_from_this(), direction](error_code error) {
            if (!error) {
                self->write(direction);
            }
        });
    }

    void writeChunk(std::size_t direction)
    {
        direction_state &directionState = directionStates[direction];
        direction_settings &settings = link->directions[direction];
        auto bytes = std::make_shared<std::vector<char>>(std::move(directionState.backlog.front().bytes));
        directionState.backlog.pop_front();
        directionState.backlogBytes -= bytes->size();
        const bool cut = settings.cutProbability > 0 && std::bernoulli_distribution(settings.cutProbability)(link->random);
        const std::size_t count = cut ? bytes->size() / 2 : bytes->size();
        settings.bytes += count;
        directionState.writing = true;
        asio::async_write(
            sockets[1 - direction], asio::buffer(bytes->data(), count), [self = shared_from_this(), direction, bytes, cut](error_code error, std::size_t) {
                self->directionStates[direction].writing = false;
                self->link->cuts += cut ? 1 : 0;
                if (error || cut) {
                    self->close();
                } else {
                    self->write(direction);
                    self->read(direction);
                }
            });
    }

    void applyModeChange()
    {
        for (std::size_t direction = 0; direction < 2; ++direction) {
            if (directionStates[direction].bytesDropped && link->directions[direction].mode == pass_mode::pass) {
                close();
                return;
            }
            write(direction);
            read(direction);
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
    std::array<tcp::socket, 2> sockets; // client, target
    std::array<asio::steady_timer, 2> timers;
    std::array<direction_state, 2> directionStates;
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
            connection->applyModeChange();
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
