#include "observability/event_log.h"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>

#include <poll.h>
#include <unistd.h>

namespace sycamoretray
{

namespace
{

constexpr std::uint32_t maxEventsPerSecond = 20;

struct event_rate {
    std::chrono::steady_clock::time_point windowStart;
    std::uint32_t written = 0;
    std::uint64_t suppressed = 0;
};

class event_rate_limiter
{
public:
    /** Returns the number of events suppressed since the last admitted one, or nothing if this one is suppressed as well. */
    std::optional<std::uint64_t> admit(std::string_view name)
    {
        const auto now = std::chrono::steady_clock::now();
        const std::lock_guard lock(m_mutex);
        auto found = m_rates.find(name);
        if (found == m_rates.end()) {
            found = m_rates.emplace(std::string(name), event_rate{ now }).first;
        }
        event_rate &rate = found->second;
        if (now - rate.windowStart >= std::chrono::seconds(1)) {
            rate.windowStart = now;
            rate.written = 0;
        }
        if (rate.written >= maxEventsPerSecond) {
            ++rate.suppressed;
            return std::nullopt;
        }
        ++rate.written;
        return std::exchange(rate.suppressed, 0);
    }

private:
    std::mutex m_mutex;
    std::map<std::string, event_rate, std::less<>> m_rates;
};

event_rate_limiter &rateLimiter()
{
    static event_rate_limiter limiter;
    return limiter;
}

bool needsNoQuoting(std::string_view value)
{
    static constexpr std::string_view punctuation = "._:/#@+-,";
    return !value.empty() && std::all_of(value.begin(), value.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || punctuation.find(c) != std::string_view::npos;
    });
}

void appendValue(std::string &out, std::string_view value)
{
    static constexpr std::string_view hex = "0123456789abcdef";
    if (needsNoQuoting(value)) {
        out += value;
        return;
    }
    out += '"';
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (byte < 0x20 || byte >= 0x7f) {
            out += "\\x";
            out += hex[byte >> 4U];
            out += hex[byte & 0xfU];
        } else {
            out += c;
        }
    }
    out += '"';
}

void writeLine(event_severity severity, const std::string &line)
{
    switch (severity) {
    case event_severity::info:
        LOG(INFO) << line;
        break;
    case event_severity::warning:
        LOG(WARNING) << line;
        break;
    case event_severity::error:
        LOG(ERROR) << line;
        break;
    }
}

} // namespace

/**
 * Writes lines to standard output without blocking. Lines that cannot be written at once are dropped and counted.
 *
 * Lines stay below PIPE_BUF, together with the line that reports dropped ones: a write of up to PIPE_BUF bytes to a pipe that polls as
 * writable is complete and does not block. Thread-safe, because glog calls it while it holds its lock.
 */
class standard_output_sink : public google::LogSink
{
public:
    void send(google::LogSeverity severity,
              const char * /*fullFilename*/,
              const char * /*baseFilename*/,
              int /*line*/,
              const google::LogMessageTime &time,
              const char *message,
              std::size_t size) override
    {
        std::string text = ToString(severity, "event_log", 0, time, message, size);
        text += '\n';
        if (text.size() > maxLineBytes) {
            text.resize(maxLineBytes);
            text.back() = '\n';
        }
        pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
        if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
            ++m_dropped;
            return;
        }
        if (m_dropped > 0) {
            text.insert(0, "event=log_lines_dropped count=" + std::to_string(m_dropped) + "\n");
            m_dropped = 0;
        }
        if (write(STDOUT_FILENO, text.data(), text.size()) < 0) {
            ++m_dropped;
        }
    }

private:
    static constexpr std::size_t maxLineBytes = 4000;
    std::uint64_t m_dropped = 0;
};

void startEventLog(const char *program)
{
    // The sink replaces glog's own writer, which buffers standard output if it is not a terminal, and blocks while it is full.
    static standard_output_sink sink;
    FLAGS_logtostderr = false;
    FLAGS_stderrthreshold = google::GLOG_FATAL;
    google::InitGoogleLogging(program);
    for (const google::LogSeverity severity : { google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR, google::GLOG_FATAL }) {
        google::SetLogDestination(severity, "");
    }
    google::AddLogSink(&sink);
}

std::string formatEvent(std::string_view name, const event_fields &fields)
{
    std::string line = "event=";
    appendValue(line, name);
    for (const auto &[key, value] : fields) {
        line += ' ';
        line += key;
        line += '=';
        appendValue(line, value);
    }
    return line;
}

void logEvent(event_severity severity, std::string_view name, const event_fields &fields)
{
    const std::optional<std::uint64_t> suppressed = rateLimiter().admit(name);
    if (!suppressed) {
        return;
    }
    std::string line = formatEvent(name, fields);
    if (*suppressed > 0) {
        line += " suppressed=" + std::to_string(*suppressed);
    }
    writeLine(severity, line);
}

void logEvent(std::string_view name, const event_fields &fields)
{
    logEvent(event_severity::info, name, fields);
}

void logText(std::string_view name, std::string_view text)
{
    std::size_t lineNumber = 0;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        writeLine(event_severity::info, formatEvent(name, { { "line", std::to_string(++lineNumber) }, { "text", std::string(text.substr(0, end)) } }));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
}

} // namespace sycamoretray
