#pragma once

#include "dispatch/home_chooser.h"

namespace sycamoretray
{

/** Choice of a home by an entry instance; the common interface of home_chooser and the baseline in measurements. */
class endpoint_policy
{
public:
    endpoint_policy() = default;
    endpoint_policy(const endpoint_policy &) = delete;
    endpoint_policy &operator=(const endpoint_policy &) = delete;
    virtual ~endpoint_policy() = default;
    virtual std::size_t choose(bool isLong) = 0;
    virtual void finished(std::size_t server, bool isLong) = 0;
    virtual void applyLoadReport(std::size_t server, const home_load &load) = 0;
};

/** The policy of the router: home_chooser. */
class home_chooser_policy final : public endpoint_policy
{
public:
    home_chooser_policy(std::size_t servers, std::uint32_t slots, std::uint64_t seed)
        : m_chooser(seed)
    {
        std::vector<home_candidate> candidates;
        for (std::size_t i = 0; i < servers; ++i) {
            candidates.push_back({ server_id(std::to_string(i)), slots, true });
        }
        m_chooser.setCandidates(candidates);
    }
    std::size_t choose(bool isLong) override
    {
        return std::stoul(m_chooser.choose(isLong)->value());
    }
    void finished(std::size_t server, bool isLong) override
    {
        m_chooser.finished(server_id(std::to_string(server)), isLong);
    }
    void applyLoadReport(std::size_t server, const home_load &load) override
    {
        m_chooser.applyLoadReport(server_id(std::to_string(server)), load);
    }

private:
    home_chooser m_chooser;
};

} // namespace sycamoretray
