#pragma once

#include "executor/serial_executor.h"
#include "metadata_store/metadata_store.h"

#include <map>
#include <string>
#include <vector>

namespace sycamoretray
{

/** A store of keyed topics that can return from an older copy of its contents, after which it gives out the same offsets again. */
class restorable_store : public metadata_store
{
public:
    explicit restorable_store(serial_executor executor);

    /** Appends a record as operators and endpoints do. */
    void put(const std::string &topic, const std::string &key, const std::string &value);

    /** Drops the records of all topics from the given number of records on, and starts the next era. */
    void restore(const std::map<std::string, std::size_t> &kept);

    /** While true, calls are refused. */
    void setUnavailable(bool unavailable);

    /** Records that the system itself has appended to @p topic since the last restore. */
    std::size_t appendedBySystem(const std::string &topic) const;

    std::uint64_t read(const std::string &topic, const topic_position &from, time_span wait, std::function<void(keyed_read)> done) override;
    void abort(std::uint64_t read) override;
    void list(const std::string &topic, const std::string &after, std::function<void(keyed_listing)> done) override;
    void append(const std::string &topic,
                const std::vector<keyed_value> &records,
                const std::optional<producer_position> &position,
                std::function<void(append_reply)> done) override;
    void join(const std::string &group,
              const std::string &member,
              const std::string &topic,
              time_span timeToLive,
              std::uint64_t generation,
              std::function<void(join_reply)> done) override;
    void leave(const std::string &group, const std::string &member) override;

private:
    struct waiting_read {
        std::uint64_t id = 0;
        std::string topic;
        log_offset from;
        std::function<void(keyed_read)> done;
    };

    keyed_read readNow(const std::string &topic, log_offset from) const;
    /** Answers the held reads for which there are records, or all of them. */
    void answerWaiting(bool all);

    serial_executor m_executor;
    bool m_unavailable = false;
    store_era m_era{ 1 };
    std::map<std::string, std::vector<keyed_record>> m_topics;
    std::map<std::string, std::size_t> m_appendedBySystem;
    std::uint64_t m_lastRead = 0;
    std::vector<waiting_read> m_waiting;
};

} // namespace sycamoretray
