#include "sycamoretrayd/gateway/topic_relay.h"

#include "executor/steady_time.h"
#include "http_entry/error_answer.h"
#include "metadata_store/relay_codec.h"
#include "observability/event_log.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace sycamoretray
{

namespace
{

constexpr std::string_view listTarget = "/v1/topics/list?";
constexpr std::string_view readTarget = "/v1/topics/read?";
constexpr std::uint32_t expiryCheckIntervalMilliseconds = 50;
constexpr std::uint64_t maxWaitMs = 10000;

std::optional<std::string_view> parameter(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string_view item = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        if (item.size() > name.size() && item.starts_with(name) && item[name.size()] == '=') {
            return item.substr(name.size() + 1);
        }
    }
    return std::nullopt;
}

std::optional<std::uint64_t> numberParameter(std::string_view query, std::string_view name)
{
    const auto text = parameter(query, name);
    std::uint64_t value = 0;
    if (!text || std::from_chars(text->data(), text->data() + text->size(), value).ptr != text->data() + text->size()) {
        return std::nullopt;
    }
    return value;
}

/** Returns whether the reader is a relay itself. */
bool isRelayRequest(std::string_view query)
{
    return parameter(query, "relay").has_value();
}

http_response cborAnswer(std::string body)
{
    http_response response;
    response.fields.push_back({ "Content-Type", "application/cbor" });
    response.body = std::move(body);
    return response;
}

} // namespace

struct topic_relay::impl : std::enable_shared_from_this<impl> {
    struct waiting_read {
        std::string topic;
        topic_position from;
        monotonic_time deadline;
        std::shared_ptr<answer_handle> handle;
        bool readerIsRelay = false;
    };

    serial_executor executor;
    std::function<bool(bool forRelay)> isUpToDate;
    std::function<void(const network_address &, double)> readerCallback;
    std::map<std::string, topic_copy> copies;
    std::vector<waiting_read> waitingReads;
    bool expiryCheckRunning = false;

    impl(serial_executor givenExecutor, std::function<bool(bool forRelay)> givenIsUpToDate)
        : executor(std::move(givenExecutor))
        , isUpToDate(std::move(givenIsUpToDate))
    {
    }

    http_response list(std::string_view query) const
    {
        const auto copy = copies.find(std::string(parameter(query, "topic").value_or("")));
        if (copy == copies.end()) {
            return errorAnswer(result_code::unknown_name, {});
        }
        if (!copy->second.isComplete() || !isUpToDate(isRelayRequest(query))) {
            return errorAnswer(result_code::log_unavailable, {});
        }
        return cborAnswer(encodeListing(copy->second.list()));
    }

    void read(std::string_view query, const std::shared_ptr<answer_handle> &handle)
    {
        const std::string topic(parameter(query, "topic").value_or(""));
        const auto offset = numberParameter(query, "from");
        const auto era = numberParameter(query, "era");
        const auto copy = copies.find(topic);
        if (copy == copies.end() || !offset || !era) {
            handle->answer(errorAnswer(result_code::unknown_name, {}));
            return;
        }
        if (!copy->second.isComplete() || !isUpToDate(isRelayRequest(query))) {
            handle->answer(errorAnswer(result_code::log_unavailable, {}));
            return;
        }
        const topic_position from{ store_era(*era), log_offset(*offset) };
        logIfBeyondEnd(topic, from, copy->second.position(), query);
        const std::uint64_t wait = std::min(numberParameter(query, "wait_ms").value_or(0), maxWaitMs);
        const keyed_read reply = copy->second.read(from);
        if (reply.result == store_result::unavailable) {
            handle->answer(errorAnswer(result_code::log_unavailable, {}));
            return;
        }
        if (reply.result != store_result::ok || !reply.records.empty() || wait == 0) {
            handle->answer(cborAnswer(encodeRead(reply)));
            return;
        }
        waitingReads.push_back({ topic, from, steadyNow() + std::chrono::milliseconds(wait), handle, isRelayRequest(query) });
        startExpiryChecks();
    }

    static void logIfBeyondEnd(const std::string &topic, const topic_position &from, const topic_position &end, std::string_view query)
    {
        if (from <= end) {
            return;
        }
        logEvent(event_severity::warning,
                 "read_beyond_end",
                 { { "topic", topic },
                   { "from", std::to_string(from.offset.value()) },
                   { "from_era", std::to_string(from.era.value()) },
                   { "end", std::to_string(end.offset.value()) },
                   { "end_era", std::to_string(end.era.value()) },
                   { "reader", std::string(parameter(query, "reader").value_or("")) } });
    }

    void reportReader(std::string_view query) const
    {
        const auto reader = parameter(query, "reader");
        const auto text = parameter(query, "weight");
        double weight = 0;
        if (!readerCallback || isRelayRequest(query) || !reader || !text
            || std::from_chars(text->data(), text->data() + text->size(), weight).ec != std::errc()) {
            return;
        }
        readerCallback(network_address(std::string(*reader)), weight);
    }

    /** Checks for expired reads periodically, as long as any read waits. */
    void startExpiryChecks()
    {
        if (std::exchange(expiryCheckRunning, true)) {
            return;
        }
        executor.repeat(expiryCheckIntervalMilliseconds, [weak = weak_from_this()] {
            const auto self = weak.lock();
            if (!self) {
                return false;
            }
            self->answerExpired();
            self->expiryCheckRunning = !self->waitingReads.empty();
            return self->expiryCheckRunning;
        });
    }

    void answerExpired()
    {
        const monotonic_time now = steadyNow();
        answerIf([&](const waiting_read &each) {
            return !isUpToDate(each.readerIsRelay) || now >= each.deadline || each.handle->callerDisconnected();
        });
    }

    void answerIf(const std::function<bool(const waiting_read &)> &condition)
    {
        const auto kept = std::partition(waitingReads.begin(), waitingReads.end(), [&](const waiting_read &each) {
            return !condition(each);
        });
        const std::vector<waiting_read> due(std::make_move_iterator(kept), std::make_move_iterator(waitingReads.end()));
        waitingReads.erase(kept, waitingReads.end());
        // Most readers wait at the same offset and get the same encoded answer.
        std::map<std::pair<std::string, topic_position>, std::string> encoded;
        for (const waiting_read &each : due) {
            if (!isUpToDate(each.readerIsRelay)) {
                each.handle->answer(errorAnswer(result_code::log_unavailable, {}));
                continue;
            }
            std::string &body = encoded[{ each.topic, each.from }];
            if (body.empty()) {
                body = encodeRead(copies.at(each.topic).read(each.from));
            }
            each.handle->answer(cborAnswer(body));
        }
    }
};

topic_relay::topic_relay(serial_executor executor, std::function<bool(bool forRelay)> isUpToDate)
    : d(std::make_shared<impl>(std::move(executor), std::move(isUpToDate)))
{
}

topic_relay::~topic_relay() = default;

void topic_relay::setReaderCallback(std::function<void(const network_address &, double)> callback)
{
    d->readerCallback = std::move(callback);
}

topic_copy &topic_relay::copyOf(const std::string &topic)
{
    return d->copies[topic];
}

void topic_relay::topicChanged(const std::string &topic)
{
    d->answerIf([&](const impl::waiting_read &each) {
        return each.topic == topic && d->copies.at(topic).position() > each.from;
    });
}

bool topic_relay::handle(const http_request &request, const std::shared_ptr<answer_handle> &handle)
{
    const std::string_view target = request.target;
    if (request.method != "GET") {
        return false;
    }
    if (target.starts_with(listTarget)) {
        handle->answer(d->list(target.substr(listTarget.size())));
        return true;
    }
    if (target.starts_with(readTarget)) {
        d->reportReader(target.substr(readTarget.size()));
        d->read(target.substr(readTarget.size()), handle);
        return true;
    }
    return false;
}

} // namespace sycamoretray
