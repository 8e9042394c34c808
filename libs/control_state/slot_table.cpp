#include "control_state/slot_table.h"

#include "control_state/invariant.h"
#include "routing/hash_slots.h"

#include <algorithm>

namespace sycamoretray
{

slot_table::slot_table()
    : m_owners(hashSlotCount, noServer)
    , m_tokens(hashSlotCount)
{
}

const std::vector<server_id> &slot_table::servers() const noexcept
{
    return m_servers;
}

const slot_owners &slot_table::owners() const noexcept
{
    return m_owners;
}

const std::map<std::string, key_exception> &slot_table::exceptions() const noexcept
{
    return m_exceptions;
}

server_index slot_table::indexOf(const server_id &server) const noexcept
{
    const auto found = std::lower_bound(m_servers.begin(), m_servers.end(), server);
    return found != m_servers.end() && *found == server ? static_cast<server_index>(found - m_servers.begin()) : noServer;
}

server_id slot_table::ownerOf(hash_slot slot) const
{
    const server_index owner = m_owners[slot.value()];
    return owner == noServer ? server_id() : m_servers[owner];
}

bool slot_table::neverAssigned() const
{
    return std::all_of(m_tokens.begin(), m_tokens.end(), [](fencing_token token) {
        return token.value() == 0;
    });
}

fencing_token slot_table::tokenOf(hash_slot slot) const
{
    return m_tokens[slot.value()];
}

server_id slot_table::ownerOfKey(const std::string &key) const
{
    const auto exception = m_exceptions.find(key);
    return exception != m_exceptions.end() ? exception->second.server : ownerOf(slotOfKey(key));
}

std::vector<hash_slot> slot_table::slotsOf(const server_id &server) const
{
    std::vector<hash_slot> result;
    const server_index index = indexOf(server);
    for (std::size_t slot = 0; index != noServer && slot < m_owners.size(); ++slot) {
        if (m_owners[slot] == index) {
            result.emplace_back(static_cast<std::uint16_t>(slot));
        }
    }
    return result;
}

std::size_t slot_table::slotCount(const server_id &server) const
{
    const server_index index = indexOf(server);
    return index == noServer ? 0 : static_cast<std::size_t>(std::count(m_owners.begin(), m_owners.end(), index));
}

std::size_t slot_table::unownedCount() const
{
    return static_cast<std::size_t>(std::count(m_owners.begin(), m_owners.end(), noServer));
}

bool slot_table::ownsAnything(const server_id &server) const
{
    const auto pointsHere = [&server](const auto &entry) {
        return entry.second.server == server;
    };
    return slotCount(server) > 0 || std::any_of(m_exceptions.begin(), m_exceptions.end(), pointsHere);
}

void slot_table::addServer(const server_id &server)
{
    const auto position = std::lower_bound(m_servers.begin(), m_servers.end(), server);
    if (position != m_servers.end() && *position == server) {
        return;
    }
    const auto index = static_cast<server_index>(position - m_servers.begin());
    m_servers.insert(position, server);
    for (server_index &owner : m_owners) {
        owner = static_cast<server_index>(owner != noServer && owner >= index ? owner + 1 : owner);
    }
}

void slot_table::removeServer(const server_id &server)
{
    const server_index index = indexOf(server);
    if (index == noServer) {
        return;
    }
    requireInvariant(!ownsAnything(server), "a removed server holds no slot", server.value());
    m_servers.erase(m_servers.begin() + index);
    for (server_index &owner : m_owners) {
        owner = static_cast<server_index>(owner != noServer && owner > index ? owner - 1 : owner);
    }
}

void slot_table::assign(hash_slot slot, const server_id &to, fencing_token token)
{
    requireInvariant(token > m_tokens[slot.value()], "fencing tokens only grow", to.value());
    m_owners[slot.value()] = indexOf(to);
    m_tokens[slot.value()] = token;
}

void slot_table::setOwners(const slot_owners &owners, fencing_token token)
{
    for (std::size_t slot = 0; slot < owners.size(); ++slot) {
        if (owners[slot] != m_owners[slot]) {
            requireInvariant(token > m_tokens[slot], "fencing tokens only grow", std::to_string(slot));
            m_owners[slot] = owners[slot];
            m_tokens[slot] = token;
        }
    }
}

void slot_table::redistribute(const server_id &server, const placement_servers &candidates, fencing_token token)
{
    std::erase_if(m_exceptions, [&server](const auto &entry) {
        return entry.second.server == server;
    });
    slot_owners owners = m_owners;
    std::replace(owners.begin(), owners.end(), indexOf(server), noServer);
    setOwners(fewest_slots_policy().fillUnowned(owners, candidates), token);
}

void slot_table::fillUnowned(const placement_servers &candidates, fencing_token token)
{
    setOwners(fewest_slots_policy().fillUnowned(m_owners, candidates), token);
}

void slot_table::assignKey(const std::string &key, const server_id &to, fencing_token token)
{
    if (to.value().empty()) {
        m_exceptions.erase(key);
        return;
    }
    key_exception &entry = m_exceptions[key];
    requireInvariant(token > entry.token, "fencing tokens only grow", key);
    entry = key_exception{ to, token };
}

void slot_table::encode(pb::StateSnapshot::SlotTable &out) const
{
    for (const server_id &server : m_servers) {
        out.add_servers(server.value());
    }
    for (std::size_t start = 0; start < m_owners.size();) {
        std::size_t end = start + 1;
        while (end < m_owners.size() && m_owners[end] == m_owners[start] && m_tokens[end] == m_tokens[start]) {
            ++end;
        }
        out.add_run_lengths(static_cast<std::uint32_t>(end - start));
        out.add_run_owners(m_owners[start]);
        out.add_run_tokens(m_tokens[start].value());
        start = end;
    }
    for (const auto &[key, exception] : m_exceptions) {
        auto *entry = out.add_exceptions();
        entry->set_key(key);
        entry->set_server(indexOf(exception.server));
        entry->set_token(exception.token.value());
    }
}

bool slot_table::decode(const pb::StateSnapshot::SlotTable &in)
{
    m_servers.clear();
    for (const std::string &server : in.servers()) {
        m_servers.emplace_back(server);
    }
    if (!std::is_sorted(m_servers.begin(), m_servers.end()) || in.run_owners_size() != in.run_lengths_size() || in.run_tokens_size() != in.run_lengths_size()) {
        return false;
    }
    std::size_t slot = 0;
    for (int run = 0; run < in.run_lengths_size(); ++run) {
        const std::size_t end = slot + in.run_lengths(run);
        const std::uint32_t owner = in.run_owners(run);
        if (end > m_owners.size() || (owner != noServer && owner >= m_servers.size())) {
            return false;
        }
        for (; slot < end; ++slot) {
            m_owners[slot] = static_cast<server_index>(owner);
            m_tokens[slot] = fencing_token(in.run_tokens(run));
        }
    }
    m_exceptions.clear();
    for (const auto &entry : in.exceptions()) {
        if (entry.server() >= m_servers.size()) {
            return false;
        }
        m_exceptions[entry.key()] = key_exception{ m_servers[entry.server()], fencing_token(entry.token()) };
    }
    return slot == m_owners.size();
}

} // namespace sycamoretray
