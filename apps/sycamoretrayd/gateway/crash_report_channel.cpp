#include "sycamoretrayd/gateway/crash_report_channel.h"

#include "observability/event_log.h"

#include <algorithm>
#include <utility>

namespace sycamoretray
{

namespace
{

// Keeps datagrams below the size at which networks fragment them: a report takes up to 20 bytes.
constexpr std::size_t maxReportsPerDatagram = 64;

} // namespace

crash_report_channel::crash_report_channel(datagram_channel &datagrams, network_address self, std::function<void(const std::vector<crash_report> &)> received)
    : m_datagrams(datagrams)
    , m_self(std::move(self))
{
    datagrams.setHandler(datagram_kind::crash_report, [received = std::move(received)](const network_address &from, std::string_view content) {
        if (const auto reports = decodeCrashReports(content)) {
            received(*reports);
        } else {
            logEvent(event_severity::warning, "crash_report_unreadable", { { "from", from.value() }, { "bytes", std::to_string(content.size()) } });
        }
    });
}

void crash_report_channel::send(const coordinator_candidates &instances, const std::vector<crash_report> &reports)
{
    for (std::size_t first = 0; first < reports.size(); first += maxReportsPerDatagram) {
        const std::size_t last = std::min(first + maxReportsPerDatagram, reports.size());
        const std::string content
            = encodeCrashReports({ reports.begin() + static_cast<std::ptrdiff_t>(first), reports.begin() + static_cast<std::ptrdiff_t>(last) });
        for (const auto &[zone, candidates] : instances) {
            for (const coordinator_candidate &each : candidates) {
                if (each.address != m_self) {
                    m_datagrams.send(each.address, datagram_kind::crash_report, content);
                }
            }
        }
    }
}

} // namespace sycamoretray
