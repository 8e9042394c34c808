#include "sycamoretrayd/gateway/load_report_channel.h"

#include "observability/event_log.h"

#include <utility>
#include <vector>

namespace sycamoretray
{

namespace
{

// Keeps datagrams below the size at which networks fragment them: a key takes up to 8 bytes, an endpoint up to 40.
constexpr std::size_t maxKeysPerDatagram = 100;
constexpr std::size_t maxEndpointsPerDatagram = 12;

std::vector<load_report> splitForDatagrams(load_report report)
{
    std::vector<load_report> parts;
    std::size_t key = 0;
    std::size_t endpoint = 0;
    while (key < report.keys.size() || endpoint < report.endpoints.size()) {
        load_report part{ report.instance, report.service, {}, {} };
        for (; key < report.keys.size() && part.keys.size() < maxKeysPerDatagram; ++key) {
            part.keys.push_back(report.keys[key]);
        }
        for (; endpoint < report.endpoints.size() && part.endpoints.size() < maxEndpointsPerDatagram; ++endpoint) {
            part.endpoints.push_back(report.endpoints[endpoint]);
        }
        parts.push_back(std::move(part));
    }
    return parts;
}

} // namespace

load_report_channel::load_report_channel(datagram_channel &datagrams, std::function<void(const load_report &)> received)
    : m_datagrams(datagrams)
{
    datagrams.setHandler(datagram_kind::load_report, [received = std::move(received)](const network_address &from, std::string_view content) {
        if (const auto report = decodeLoadReport(content)) {
            received(*report);
        } else {
            logEvent(event_severity::warning, "load_report_unreadable", { { "from", from.value() }, { "bytes", std::to_string(content.size()) } });
        }
    });
}

void load_report_channel::send(const network_address &assigner, load_report report)
{
    for (const load_report &part : splitForDatagrams(std::move(report))) {
        m_datagrams.send(assigner, datagram_kind::load_report, encodeLoadReport(part));
    }
}

} // namespace sycamoretray
