#include "standins/load_tool/journal_reader.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <stdexcept>

namespace sycamoretray::standins
{

using nlohmann::json;

namespace
{

constexpr long long drainLimit = 2000000;

/** Follows the journal of one server. */
class journal_follower
{
public:
    explicit journal_follower(journal_content &content)
        : m_content(content)
    {
    }

    void apply(const json &event)
    {
        const auto kind = event.at("event").get<std::string>();
        m_at = event.at("at").get<long long>();
        m_server = event.at("server").get<std::string>();
        if (kind == "boot") {
            endSpan();
            m_boot = event.at("boot").get<std::string>();
            m_ownership = {};
            m_drainingSince = 0;
        } else if (kind == "ownership") {
            endSpan();
            m_ownership = key_ownership(event.at("ownership"));
        } else if (kind == "lease") {
            applyLease(event);
        } else if (kind == "draining") {
            m_drainingSince = event.at("on").get<bool>() ? m_at : 0;
        } else {
            applyRun(kind, event);
        }
    }

    void finish()
    {
        m_at = m_until;
        endSpan();
    }

private:
    void applyLease(const json &event)
    {
        const auto until = event.at("until").get<long long>();
        if (m_until <= m_at) {
            endSpan();
            m_from = m_at;
        }
        m_until = until;
    }

    void endSpan()
    {
        const long long until = std::min(m_until, m_at);
        if (m_from < until) {
            m_content.spans.push_back({ m_server, m_boot, m_from, until, m_ownership });
        }
        m_from = 0;
        m_until = 0;
    }

    void applyRun(const std::string &kind, const json &event)
    {
        const auto id = event.at("id").get<std::string>();
        const run_event run{ m_server, event.at("key").get<std::string>(), m_at, event.at("owned").get<bool>() };
        if (kind == "start") {
            m_content.starts[id].push_back(run);
            m_content.startsAfterDrain += m_drainingSince != 0 && m_at > m_drainingSince + drainLimit ? 1 : 0;
        } else if (kind == "commit") {
            m_content.commits[id].push_back(run);
            ++m_content.commitsByServer[m_server];
        } else if (kind == "abandon") {
            ++m_content.abandoned;
        } else {
            ++m_content.crashes;
        }
    }

    journal_content &m_content;
    std::string m_server;
    std::string m_boot;
    long long m_at = 0;
    long long m_from = 0;
    long long m_until = 0;
    long long m_drainingSince = 0;
    key_ownership m_ownership;
};

} // namespace

journal_content readJournals(const std::vector<std::string> &files)
{
    journal_content content;
    for (const std::string &file : files) {
        std::ifstream stream(file);
        if (!stream) {
            throw std::runtime_error("cannot read the run journal " + file);
        }
        journal_follower follower(content);
        std::string line;
        while (std::getline(stream, line)) {
            const json event = json::parse(line, nullptr, false);
            if (event.is_object()) {
                follower.apply(event);
            } else if (!stream.eof()) {
                throw std::runtime_error("malformed line in the run journal " + file);
            }
        }
        follower.finish();
    }
    return content;
}

} // namespace sycamoretray::standins
