#pragma once

#include "executor/serial_executor.h"
#include "metadata_store/metadata_store.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace sycamoretray
{

/**
 * A metadata_store that reads topics from a relay if there is one, and from the underlying store if the relay fails. All other calls go
 * to the store.
 *
 * Thread safety: as for metadata_store.
 */
class relayed_store : public metadata_store
{
public:
    /**
     * @param store  must outlive this object
     * @param storeAnswers  returns whether the store answered this instance recently; otherwise topics are not read from the store while
     *                      the relay fails, because these calls would fail too and are charged for
     */
    relayed_store(metadata_store &store, serial_executor executor, std::function<bool()> storeAnswers);
    ~relayed_store() override;
    relayed_store(const relayed_store &) = delete;
    relayed_store &operator=(const relayed_store &) = delete;

    /** Returns for how long the relay has failed while the store answers; 0 if the relay answers, there is none, or the store does not answer. */
    time_span relayFailureDuration() const;

    /** Sets the internal address of the relay; nothing if this instance reads from the store. */
    void setRelay(const std::optional<network_address> &relay);

    /**
     * Sets the instances that can be relays, from which topics are read while neither the relay nor the store answers. The store can turn away some
     * instances while it serves others.
     */
    void setAlternates(const std::vector<network_address> &relays);

    /** Returns whether the last read that was answered came from one of the alternates. Such an instance is not up to date for others. */
    bool readsFromAlternate() const;

    /**
     * Sets the topic whose records name the relays. If a relay refuses because another instance has become the relay, this topic is read
     * from the store at once, and the other topics as soon as the new relay is known or a short wait is over.
     */
    void setRelayTopic(const std::string &topic);

    /**
     * Sets the identity of this instance that each read reports to the relay.
     *
     * @param weight  its share of shared duties; 0 if it is about to stop
     */
    void setReader(const network_address &instance, double weight);

    /** Sets whether this instance is a relay itself. A relay reads without extra spacing, and its reads are marked as reads by a relay. */
    void setReadsForOthers(bool readsForOthers);

    /** Returns whether topics are read from a relay at present. */
    bool readsFromRelay() const;

    /** Longer while this instance reads from the store for itself only, as all instances do at the start and after the loss of a relay. */
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
    struct impl;
    std::shared_ptr<impl> d;
};

} // namespace sycamoretray
