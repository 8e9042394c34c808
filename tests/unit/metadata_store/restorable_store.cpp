#include "restorable_store.h"

#include <algorithm>
#include <utility>

namespace sycamoretray
{

restorable_store::restorable_store(serial_executor executor)
    : m_executor(std::move(executor))
{
}

void restorable_store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    std::vector<keyed_record> &records = m_topics[topic];
    records.push_back({ key, value, log_offset(records.size()) });
    answerWaiting(false);
}

void restorable_store::restore(const std::map<std::string, std::size_t> &kept)
{
    for (auto &[topic, records] : m_topics) {
        const auto found = kept.find(topic);
        records.resize(std::min(records.size(), found == kept.end() ? 0 : found->second));
    }
    m_appendedBySystem.clear();
    m_era = store_era(m_era.value() + 1);
}

void restorable_store::setUnavailable(bool unavailable)
{
    m_unavailable = unavailable;
    if (unavailable) {
        answerWaiting(true);
    }
}

std::size_t restorable_store::appendedBySystem(const std::string &topic) const
{
    const auto found = m_appendedBySystem.find(topic);
    return found == m_appendedBySystem.end() ? 0 : found->second;
}

keyed_read restorable_store::readNow(const std::string &topic, log_offset from) const
{
    keyed_read reply;
    reply.era = m_era;
    if (m_unavailable) {
        reply.result = store_result::unavailable;
        return reply;
    }
    const auto found = m_topics.find(topic);
    const std::size_t size = found == m_topics.end() ? 0 : found->second.size();
    reply.end = log_offset(size);
    reply.next = std::max(from, reply.end);
    reply.result = from > reply.end ? store_result::expired : store_result::ok;
    for (std::uint64_t i = from.value(); i < size; ++i) {
        reply.records.push_back(found->second[i]);
    }
    return reply;
}

std::uint64_t restorable_store::read(const std::string &topic, const topic_position &from, time_span wait, std::function<void(keyed_read)> done)
{
    const std::uint64_t id = ++m_lastRead;
    m_waiting.push_back({ id, topic, from.offset, std::move(done) });
    const keyed_read reply = readNow(topic, from.offset);
    const bool waits = reply.result == store_result::ok && reply.records.empty();
    m_executor.repeat(waits ? static_cast<std::uint32_t>(std::max<std::int64_t>(1, wait / std::chrono::milliseconds(1))) : 1, [this, id] {
        const auto found = std::find_if(m_waiting.begin(), m_waiting.end(), [id](const waiting_read &each) {
            return each.id == id;
        });
        if (found != m_waiting.end()) {
            const waiting_read due = std::move(*found);
            m_waiting.erase(found);
            due.done(readNow(due.topic, due.from));
        }
        return false;
    });
    return id;
}

void restorable_store::answerWaiting(bool all)
{
    std::vector<waiting_read> kept;
    for (waiting_read &each : std::exchange(m_waiting, {})) {
        if (all || !readNow(each.topic, each.from).records.empty()) {
            m_executor.post([reply = readNow(each.topic, each.from), done = std::move(each.done)] {
                done(reply);
            });
        } else {
            kept.push_back(std::move(each));
        }
    }
    m_waiting.insert(m_waiting.end(), std::make_move_iterator(kept.begin()), std::make_move_iterator(kept.end()));
}

void restorable_store::abort(std::uint64_t read)
{
    std::erase_if(m_waiting, [read](const waiting_read &each) {
        return each.id == read;
    });
}

void restorable_store::list(const std::string &topic, const std::string & /*after*/, std::function<void(keyed_listing)> done)
{
    keyed_listing reply;
    reply.era = m_era;
    reply.result = m_unavailable ? store_result::unavailable : store_result::ok;
    std::map<std::string, keyed_record> newest;
    for (const keyed_record &record : m_topics[topic]) {
        newest[record.key] = record;
    }
    for (const auto &[key, record] : newest) {
        reply.records.push_back(record);
    }
    reply.end = log_offset(m_topics[topic].size());
    m_executor.post([reply, done = std::move(done)] {
        done(reply);
    });
}

void restorable_store::append(const std::string &topic,
                              const std::vector<keyed_value> &records,
                              const std::optional<producer_position> & /*position*/,
                              std::function<void(append_reply)> done)
{
    append_reply reply;
    reply.result = m_unavailable ? store_result::unavailable : store_result::ok;
    if (!m_unavailable) {
        for (const keyed_value &record : records) {
            put(topic, record.key, record.value);
        }
        m_appendedBySystem[topic] += records.size();
    }
    reply.end = { m_era, log_offset(m_topics[topic].size()) };
    m_executor.post([reply, done = std::move(done)] {
        done(reply);
    });
}

void restorable_store::join(const std::string & /*group*/,
                            const std::string & /*member*/,
                            const std::string & /*topic*/,
                            time_span /*timeToLive*/,
                            std::uint64_t /*generation*/,
                            std::function<void(join_reply)> done)
{
    join_reply reply;
    reply.result = m_unavailable ? store_result::unavailable : store_result::ok;
    reply.generation = 1;
    reply.partitions = { 0 };
    m_executor.post([reply, done = std::move(done)] {
        done(reply);
    });
}

void restorable_store::leave(const std::string & /*group*/, const std::string & /*member*/)
{
}

} // namespace sycamoretray
