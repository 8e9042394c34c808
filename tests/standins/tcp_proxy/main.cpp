#include "standins/common/program_options.h"
#include "standins/common/standin_program.h"
#include "standins/tcp_proxy/proxy_link.h"

#include <boost/asio/io_context.hpp>
#include <boost/system/system_error.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <map>

namespace
{

using namespace sycamoretray::standins;
using nlohmann::json;

const char *const usage = R"(TCP proxy that injects faults.

POST /links {"name", "listen", "target"} adds a link. POST /links/NAME changes its faults, POST /links/* those of all links.
GET /links gives counters.

Usage:
  tcp_proxy --control=ADDRESS [options]

Options:
  --control=ADDRESS  Address of the control interface, such as 127.0.0.1:7200.
  --seed=N           Seed of the random cuts [default: 1].
  -h --help          Show this text.
)";

/** The links of the proxy and their control interface. Thread safety: none. */
class link_control
{
public:
    link_control(boost::asio::io_context &context, std::uint64_t seed)
        : m_context(context)
        , m_seed(seed)
    {
    }

    void handle(const http_request &request, const respond_function &respond)
    {
        try {
            if (request.method == "POST") {
                change(std::string(request.path()), json::parse(request.body));
            }
            respond(jsonResponse(200, counters()));
        } catch (const std::exception &failure) {
            LOG(WARNING) << "event=control_failed target=" << request.target << " error=\"" << failure.what() << '"';
            respond(jsonResponse(400, { { "error", failure.what() } }));
        }
    }

private:
    void change(const std::string &path, const json &content)
    {
        const std::string prefix = "/links/";
        if (path == "/links") {
            const auto name = content.at("name").get<std::string>();
            m_links.erase(name);
            m_links.try_emplace(name, m_context, content.at("listen").get<std::string>(), content.at("target").get<std::string>(), m_seed + m_links.size());
            return;
        }
        LOG(INFO) << "event=control path=" << path << " change=" << content.dump();
        if (path == prefix + "*") {
            for (auto &[name, link] : m_links) {
                link.configure(content);
            }
        } else {
            m_links.at(path.substr(prefix.size())).configure(content);
        }
    }

    json counters() const
    {
        json result = json::object();
        for (const auto &[name, link] : m_links) {
            result[name] = link.counters();
        }
        return result;
    }

    boost::asio::io_context &m_context;
    std::uint64_t m_seed;
    std::map<std::string, proxy_link> m_links;
};

int run(int argc, char **argv)
{
    const program_options options(usage, argc, argv);
    boost::asio::io_context context(1);
    link_control control(context, static_cast<std::uint64_t>(options.number("--seed")));
    const http_server server(context, options.text("--control"), [&control](const http_request &request, const respond_function &respond) {
        control.handle(request, respond);
    });
    return runUntilSignal(context);
}

} // namespace

int main(int argc, char **argv)
{
    return sycamoretray::standins::runProgram(argv[0], [argc, argv] {
        return run(argc, argv);
    });
}
