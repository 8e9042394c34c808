#pragma once

#include "executor/serial_executor.h"
#include "key_ownership/assigner_actions.h"
#include "metadata_store/metadata_store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace sycamoretray
{

/** Producer name of the assigner in the store. */
inline constexpr const char *assignerProducer = "assigner";

/** Outcomes of appends; not called from within a call of the appender, nor after its destruction. */
struct ownership_append_observer {
    /** The store acknowledged the record. */
    std::function<void(const service_id &service, const write_record &write)> written;
    /** The store has seen a later assigner. */
    std::function<void()> superseded;
    /** Called after each reply that did not show a later assigner. */
    std::function<void()> replied;
};

/**
 * Appends the ownership records of an assigner to the store, one after another under its producer epoch.
 *
 * Thread safety: none; used on the strand of its executor.
 */
class ownership_appender
{
public:
    /** @param store  must outlive the appends, of which those of a resignation continue after the destruction of this object */
    ownership_appender(metadata_store &store, serial_executor executor, std::uint64_t epoch, ownership_append_observer observer);
    ~ownership_appender();
    ownership_appender(const ownership_appender &) = delete;
    ownership_appender &operator=(const ownership_appender &) = delete;

    /** Queues a record. */
    void push(const service_id &service, const write_record &write);

    /** Appends the next record, unless an append is in flight. Call it regularly. */
    void advance();

    /**
     * Discards the queued records, appends @p records after the append in flight, and retries until the store has acknowledged them or has seen
     * a later assigner, or until a later assigner would wait no longer for this one. The observer is not called any more.
     *
     * Precondition: no order is sent under the epoch afterwards.
     */
    void resign(std::vector<ownership_record> records);

private:
    struct impl;
    std::shared_ptr<impl> d;
};

} // namespace sycamoretray
