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

constexpr long long drainLimitUs = 2000000;

/** Applies the events of one server's journal in order. */
class journal_parser
{
public:
    explicit journal_parser(journal_content &content)
        : m_content(content)
    {
    }

    void apply(const json &event)
    {
        const auto eventType = event.at("event").get<std::string>();
        m_eventTime = event.at("at").get<long long>();
        m_server = event.at("server").get<std::string>();
        if (eventType == "boot") {
            endSpan();
            m_boot = event.at("boot").get<std::string>();
            m_ownership = {};
            m_drainingSince = 0;
        } else if (eventType == "ownership") {
            endSpan();
            m_ownership = key_ownership(event.at("ownership"));
        } else if (eventType == "lease") {
            applyLease(event);
        } else if (eventType == "draining") {
            m_drainingSince = event.at("on").get<bool>() ? m_eventTime : 0;
        } else {
            applyRun(eventType, event);
        }
    }

    void finish()
    {
        m_eventTime = m_leaseExpiry;
        endSpan();
    }

private:
    void applyLease(const json &event)
    {
        const auto until = event.at("until").get<long long>();
        if (m_leaseExpiry <= m_eventTime) {
            endSpan();
            m_spanStart = m_eventTime;
        }
        m_leaseExpiry = until;
    }

    void endSpan()
    {
        const long long until = std::min(m_leaseExpiry, m_eventTime);
        if (m_spanStart < until) {
            m_content.spans.push_back({ m_server, m_boot, m_spanStart, until, m_ownership });
        }
        m_spanStart = 0;
        m_leaseExpiry = 0;
    }

    void applyRun(const std::string &eventType, const json &event)
    {
        const auto id = event.at("id").get<std::string>();
        const run_event run{ m_server, event.at("key").get<std::string>(), m_eventTime, event.at("owned").get<bool>() };
        if (eventType == "start") {
            m_content.starts[id].push_back(run);
            m_content.startsAfterDrain += m_drainingSince != 0 && m_eventTime > m_drainingSince + drainLimitUs ? 1 : 0;
        } else if (eventType == "commit") {
            m_content.commits[id].push_back(run);
            ++m_content.commitsByServer[m_server];
        } else if (eventType == "abandon") {
            ++m_content.abandoned;
        } else {
            ++m_content.crashes;
        }
    }

    journal_content &m_content;
    std::string m_server;
    std::string m_boot;
    long long m_eventTime = 0;
    long long m_spanStart = 0;
    long long m_leaseExpiry = 0;
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
        journal_parser parser(content);
        std::string line;
        while (std::getline(stream, line)) {
            const json event = json::parse(line, nullptr, false);
            if (event.is_object()) {
                parser.apply(event);
            } else if (!stream.eof()) {
                throw std::runtime_error("malformed line in the run journal " + file);
            }
        }
        parser.finish();
    }
    return content;
}

} // namespace sycamoretray::standins
