#pragma once

#include "executor/serial_executor.h"
#include "metadata_store/metadata_store.h"

#include <functional>
#include <memory>
#include <optional>

namespace sycamoretray
{

/**
 * A metadata_store whose topics are read from a relay if there is one, and from the store itself if the relay fails. All other
 * calls go to the store.
 *
 * Thread safety: as for metadata_store.
 */
class relayed_store : public metadata_store
{
public:
    /**
     * @param storeAnswers  says whether this instance reached the store lately; without it a failed relay is not replaced by
     *                      calls to the store, which would fail too and are paid for
     */
    relayed_store(metadata_store &store, serial_executor executor, std::function<bool()> storeAnswers);
    ~relayed_store() override;
    relayed_store(const relayed_store &) = delete;
    relayed_store &operator=(const relayed_store &) = delete;

    /** How long the relay has failed while the store answers this instance; 0 if the relay answers, or there is none, or the store is lost. */
    time_span relayFailing() const;

    /** Sets the internal address of the relay; nothing if this instance reads the store itself. */
    void setRelay(const std::optional<network_address> &relay);

    /**
     * Sets the topic whose records name the relays. If a relay refuses, because another instance has taken over, this topic is read
     * from the store at once, and the others as soon as the new relay is known or a moment has passed.
     */
    void setRelayTopic(const std::string &topic);

    /** Tells the relay of the zone with each read who this instance is. @param weight  its share of shared duties; 0 if it is about to stop */
    void setReader(const network_address &instance, double weight);

    /** This instance passes topics on inside its zone, so that it reads them without delay, and says so to the relay that it reads from. */
    void setReadsForOthers(bool readsForOthers);

    /** Topics are read from another instance at present. */
    bool readsFromRelay() const;

    /** Longer while this instance reads the store for itself alone, as all do at the start and after the loss of a relay. */
    time_span readSpacing() const override;

    std::uint64_t read(const std::string &topic, log_offset from, time_span wait, std::function<void(keyed_read)> done) override;
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
