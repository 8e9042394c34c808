#include "metadata_store/counting_store.h"

#include <utility>

namespace sycamoretray
{

counting_store::counting_store(metadata_store &store, store_call_observer observer)
    : m_store(store)
    , m_observer(std::move(observer))
{
}

time_span counting_store::readSpacing() const
{
    return m_store.readSpacing();
}

std::uint64_t counting_store::read(const std::string &topic, const topic_position &from, time_span wait, std::function<void(keyed_read)> done)
{
    m_observer("read", topic);
    return m_store.read(topic, from, wait, std::move(done));
}

void counting_store::abort(std::uint64_t read)
{
    m_store.abort(read);
}

void counting_store::list(const std::string &topic, const std::string &after, std::function<void(keyed_listing)> done)
{
    m_observer("list", topic);
    m_store.list(topic, after, std::move(done));
}

void counting_store::append(const std::string &topic,
                            const std::vector<keyed_value> &records,
                            const std::optional<producer_position> &position,
                            std::function<void(append_reply)> done)
{
    m_observer("append", topic);
    m_store.append(topic, records, position, std::move(done));
}

void counting_store::join(const std::string &group,
                          const std::string &member,
                          const std::string &topic,
                          time_span timeToLive,
                          std::uint64_t generation,
                          std::function<void(join_reply)> done)
{
    m_observer("join", group);
    m_store.join(group, member, topic, timeToLive, generation, std::move(done));
}

void counting_store::leave(const std::string &group, const std::string &member)
{
    m_observer("leave", group);
    m_store.leave(group, member);
}

} // namespace sycamoretray
