#pragma once

#include "metadata_store/metadata_store.h"

#include <functional>
#include <string>
#include <string_view>

namespace sycamoretray
{

/** Receives the kind of a call ("read", "list", "append", "join", "leave") and its topic or group. */
using store_call_observer = std::function<void(std::string_view kind, const std::string &subject)>;

/**
 * Forwards calls to a store and reports each one to an observer, because calls are charged for.
 *
 * Thread safety: as for metadata_store.
 */
class counting_store : public metadata_store
{
public:
    /** @param store  must outlive this object */
    counting_store(metadata_store &store, store_call_observer observer);

    time_span readSpacing() const override;
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
    metadata_store &m_store;
    store_call_observer m_observer;
};

} // namespace sycamoretray
