#pragma once

#include "base/monotonic_time.h"
#include "permits/keeper_ranking.h"

#include <map>
#include <optional>

namespace sycamoretray
{

/**
 * The instances of a zone that read from its relay, and when their list is worth publishing: every record is paid for by each
 * relay, and an instance that is lost is noticed by those that ask it.
 *
 * Thread safety: none.
 */
class instance_census
{
public:
    /** Starts with the instances of the published list, as if they had been seen now. */
    void start(const std::vector<keeper_candidate> &published, monotonic_time now);

    /** An instance shows that it lives. @param weight  0 if it is about to stop */
    void seen(const network_address &instance, double weight, monotonic_time now);

    /** Returns the list if it differs from @p published and may be published again; nothing otherwise. */
    std::optional<std::vector<keeper_candidate>> takeDue(const std::vector<keeper_candidate> &published, monotonic_time now);

private:
    struct known_instance {
        double weight = 1;
        monotonic_time seen{};
    };
    std::vector<keeper_candidate> current(monotonic_time now) const;

    std::map<network_address, known_instance> m_instances;
    std::optional<monotonic_time> m_published;
};

} // namespace sycamoretray
