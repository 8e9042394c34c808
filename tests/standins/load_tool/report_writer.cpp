#include "standins/load_tool/report_writer.h"

#include "standins/load_tool/latency_histogram.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <sstream>

namespace sycamoretray::standins
{

using nlohmann::json;

namespace
{

constexpr long long lateThresholdUs = 100000; // requests that wait longer count as unserved in the time line
constexpr long long timeLineStepUs = 50000;
constexpr std::size_t maxListedViolations = 50;

const char *finalResult(const request_history &history)
{
    if (history.attempts.empty()) {
        return "lost";
    }
    switch (history.last().outcome) {
    case attempt_outcome::answered:
        return "answered";
    case attempt_outcome::not_run:
        return "not_run";
    case attempt_outcome::unknown:
        return "unknown";
    case attempt_outcome::wrong_answer:
        return "wrong_answer";
    case attempt_outcome::refused:
    case attempt_outcome::lost:
        break;
    }
    return "lost";
}

json histogramToJson(const latency_histogram &histogram)
{
    json bins = json::array();
    for (const latency_histogram::bin &bin : histogram.bins()) {
        if (bin.count != 0) {
            bins.push_back({ bin.lower, bin.upper, bin.count });
        }
    }
    return { { "count", histogram.count() },
             { "p50_us", histogram.quantile(0.5) },
             { "p90_us", histogram.quantile(0.9) },
             { "p99_us", histogram.quantile(0.99) },
             { "p999_us", histogram.quantile(0.999) },
             { "max_us", histogram.largest() },
             { "bins", std::move(bins) } };
}

json latenciesByClass(const std::vector<planned_request> &schedule, const std::vector<request_history> &histories)
{
    std::map<std::string, latency_histogram> histograms;
    for (std::size_t i = 0; i < schedule.size(); ++i) {
        if (!histories[i].attempts.empty() && histories[i].last().outcome == attempt_outcome::answered) {
            histograms[schedule[i].requestClass].add(histories[i].latency());
            histograms["all"].add(histories[i].latency());
        }
    }
    json result = json::object();
    for (const auto &[name, histogram] : histograms) {
        result[name] = histogramToJson(histogram);
    }
    return result;
}

json timeLine(const std::vector<planned_request> &schedule, const std::vector<request_history> &histories)
{
    json result = json::array();
    const long long length = schedule.empty() ? 0 : schedule.back().at / timeLineStepUs + 1;
    std::vector<std::uint64_t> arrived(static_cast<std::size_t>(length));
    std::vector<std::uint64_t> late(static_cast<std::size_t>(length));
    for (std::size_t i = 0; i < schedule.size(); ++i) {
        const auto step = static_cast<std::size_t>(schedule[i].at / timeLineStepUs);
        ++arrived[step];
        const bool served
            = !histories[i].attempts.empty() && histories[i].last().outcome == attempt_outcome::answered && histories[i].latency() <= lateThresholdUs;
        late[step] += served ? 0 : 1;
    }
    for (std::size_t step = 0; step < arrived.size(); ++step) {
        result.push_back({ static_cast<double>(step) * timeLineStepUs / 1e6, arrived[step], late[step] });
    }
    return result;
}

json attemptCounts(const std::vector<request_history> &histories)
{
    std::map<std::string, std::uint64_t> codes;
    std::uint64_t attempts = 0;
    std::uint64_t lost = 0;
    for (const request_history &history : histories) {
        attempts += history.attempts.size();
        for (const request_attempt &attempt : history.attempts) {
            lost += attempt.outcome == attempt_outcome::lost ? 1 : 0;
            if (attempt.code != 0) {
                ++codes[std::to_string(attempt.code)];
            }
        }
    }
    return { { "count", attempts }, { "connections_lost", lost }, { "codes", codes } };
}

std::string svgHistogram(const json &latency)
{
    std::ostringstream svg;
    double largestCount = 1;
    for (const json &bin : latency.at("bins")) {
        largestCount = std::max(largestCount, bin[2].get<double>());
    }
    svg << "<svg viewBox=\"0 0 900 170\" width=\"900\" height=\"170\">";
    const auto position = [](double microseconds) {
        return std::log10(microseconds) / 8.0 * 880.0 + 10.0;
    };
    for (const json &bin : latency.at("bins")) {
        const double height = std::log1p(bin[2].get<double>()) / std::log1p(largestCount) * 130.0;
        const double x = position(bin[0].get<double>());
        svg << "<rect x=\"" << x << "\" y=\"" << 140.0 - height << "\" width=\"" << position(bin[1].get<double>()) - x << "\" height=\"" << height
            << "\" fill=\"#2b6cb0\"/>";
    }
    static constexpr const char *labels[] = { "1 us", "10 us", "100 us", "1 ms", "10 ms", "100 ms", "1 s", "10 s" };
    for (int decade = 0; decade < 8; ++decade) {
        svg << "<text x=\"" << position(std::pow(10.0, decade)) << "\" y=\"160\" font-size=\"11\">" << labels[decade] << "</text>";
    }
    svg << "</svg>";
    return svg.str();
}

std::string svgTimeLine(const json &line)
{
    std::ostringstream svg;
    double largestCount = 1;
    double end = 1e-3;
    for (const json &step : line) {
        largestCount = std::max(largestCount, step[1].get<double>());
        end = std::max(end, step[0].get<double>());
    }
    svg << "<svg viewBox=\"0 0 900 170\" width=\"900\" height=\"170\">";
    const double width = 880.0 / static_cast<double>(std::max<std::size_t>(1, line.size()));
    for (const json &step : line) {
        const double x = 10.0 + step[0].get<double>() / end * (880.0 - width);
        const double arrived = step[1].get<double>() / largestCount * 130.0;
        const double late = step[2].get<double>() / largestCount * 130.0;
        svg << "<rect x=\"" << x << "\" y=\"" << 140.0 - arrived << "\" width=\"" << width << "\" height=\"" << arrived << "\" fill=\"#cbd5e0\"/>";
        svg << "<rect x=\"" << x << "\" y=\"" << 140.0 - late << "\" width=\"" << width << "\" height=\"" << late << "\" fill=\"#c53030\"/>";
    }
    svg << "<text x=\"10\" y=\"160\" font-size=\"11\">0 s</text><text x=\"850\" y=\"160\" font-size=\"11\">" << end << " s</text></svg>";
    return svg.str();
}

std::string escapeHtml(const std::string &text)
{
    std::string result;
    for (const char c : text) {
        result += c == '<' ? "&lt;" : (c == '&' ? "&amp;" : std::string(1, c));
    }
    return result;
}

} // namespace

json summarize(const std::vector<planned_request> &schedule,
               const std::vector<request_history> &histories,
               const journal_content &journals,
               const std::vector<std::string> &violations)
{
    std::map<std::string, std::uint64_t> results = { { "answered", 0 }, { "not_run", 0 }, { "unknown", 0 }, { "lost", 0 }, { "wrong_answer", 0 } };
    for (const request_history &history : histories) {
        ++results[finalResult(history)];
    }
    const std::size_t listed = std::min(violations.size(), maxListedViolations);
    return { { "requests", schedule.size() },
             { "results", results },
             { "attempts", attemptCounts(histories) },
             { "latency", latenciesByClass(schedule, histories) },
             { "time_line", timeLine(schedule, histories) },
             { "runs_by_server", journals.commitsByServer },
             { "abandoned_runs", journals.abandoned },
             { "crashes", journals.crashes },
             { "violation_count", violations.size() },
             { "violations", std::vector<std::string>(violations.begin(), violations.begin() + static_cast<std::ptrdiff_t>(listed)) } };
}

std::string renderReport(const json &summary)
{
    std::ostringstream page;
    page << "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Load report</title>"
         << "<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}td,th{border:1px solid #999;padding:2px 8px;text-align:right}</style>"
         << "</head><body><h1>Load report</h1><p>" << summary.at("requests") << " requests; results " << summary.at("results").dump() << "; "
         << summary.at("violation_count") << " violations.</p><ul>";
    for (const json &violation : summary.at("violations")) {
        page << "<li>" << escapeHtml(violation.get<std::string>()) << "</li>";
    }
    page << "</ul><h2>Requests by time of arrival</h2><p>Grey: arrived. Red: not answered within 100 ms.</p>" << svgTimeLine(summary.at("time_line"));
    page << "<h2>Latency</h2><table><tr><th>class</th><th>count</th><th>p50 ms</th><th>p99 ms</th><th>p99.9 ms</th><th>max ms</th></tr>";
    for (const auto &[name, latency] : summary.at("latency").items()) {
        page << "<tr><td>" << escapeHtml(name) << "</td><td>" << latency.at("count") << "</td>";
        for (const char *figure : { "p50_us", "p99_us", "p999_us", "max_us" }) {
            page << "<td>" << std::round(latency.at(figure).get<double>()) / 1000 << "</td>";
        }
        page << "</tr>";
    }
    page << "</table>";
    for (const auto &[name, latency] : summary.at("latency").items()) {
        page << "<h3>" << escapeHtml(name) << "</h3><p>Both scales are logarithmic.</p>" << svgHistogram(latency);
    }
    page << "</body></html>\n";
    return page.str();
}

} // namespace sycamoretray::standins
