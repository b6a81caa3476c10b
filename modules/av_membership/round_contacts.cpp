#include <av_membership/round_contacts.hpp>

#include <av_membership/member_queries.hpp>
#include <av_membership/membership.hpp>

#include <algorithm>
#include <utility>

namespace anvilturn
{
namespace
{

bool suspects_any_member(const membership_state& state)
{
    return std::any_of(state.records_.begin(),
                       state.records_.end(),
                       [&state](const auto& entry)
                       {
                           return is_alive(entry.second) &&
                                  is_suspected_by(
                                      entry.second,
                                      state.local_heartbeat_.incarnation_);
                       });
}

std::vector<std::string> discovery_addresses(const membership_state& state)
{
    std::vector<std::string> addresses;
    const auto add = [&](const std::string& address)
    {
        if (address.empty() || address == state.self_.peer_address_)
        {
            return;
        }
        const bool is_member =
            std::any_of(state.records_.begin(),
                        state.records_.end(),
                        [&](const auto& entry)
                        {
                            return is_alive(entry.second) &&
                                   entry.second.vm_.peer_address_ == address;
                        });
        if (!is_member &&
            std::find(addresses.begin(), addresses.end(), address) ==
                addresses.end())
        {
            addresses.push_back(address);
        }
    };
    for (const auto& vm : state.listed_)
    {
        add(vm.peer_address_);
    }
    for (const auto& address : state.seed_addresses_)
    {
        add(address);
    }
    for (const auto& [name, record] : state.records_)
    {
        if (record.condition_ == member_condition::lost)
        {
            add(record.vm_.peer_address_);
        }
    }
    return addresses;
}

// Selects each member once, in random order, before it selects any of them
// again.
void add_rotation_contact(membership_state& state,
                          std::minstd_rand& generator,
                          std::vector<std::string>& contacts)
{
    if (state.rotation_.empty())
    {
        state.rotation_ = alive_names(state);
        std::shuffle(state.rotation_.begin(), state.rotation_.end(), generator);
    }
    while (!state.rotation_.empty())
    {
        const std::string name = std::move(state.rotation_.back());
        state.rotation_.pop_back();
        const auto found = state.records_.find(name);
        if (found != state.records_.end() && is_alive(found->second))
        {
            contacts.push_back(found->second.vm_.peer_address_);
            return;
        }
    }
}

void add_verification_contacts(membership_state& state,
                               std::vector<std::string>& contacts)
{
    std::size_t added = 0;
    for (const auto& name : state.pending_verifications_)
    {
        const auto found = state.records_.find(name);
        if (found != state.records_.end() && is_alive(found->second) &&
            added < state.limits_.verifications_per_round_)
        {
            contacts.push_back(found->second.vm_.peer_address_);
            ++added;
        }
    }
    state.pending_verifications_.clear();
}

// When no member can be called, as after a start, several addresses of
// non-members are tried at once.
void add_discovery_contacts(membership_state& state,
                            std::minstd_rand& generator,
                            std::vector<std::string>& contacts)
{
    constexpr std::size_t discovery_contacts_when_alone = 3;
    const bool is_alone = contacts.empty();
    const auto interval =
        static_cast<std::uint64_t>(state.limits_.rounds_between_discoveries_);
    if (!is_alone && state.rounds_ % interval != 0)
    {
        return;
    }
    auto addresses = discovery_addresses(state);
    std::shuffle(addresses.begin(), addresses.end(), generator);
    addresses.resize(std::min(addresses.size(),
                              is_alone ? discovery_contacts_when_alone : 1));
    contacts.insert(contacts.end(), addresses.begin(), addresses.end());
}

// A VM that was paused or failed to reach a member calls more peers per round.
std::size_t rotation_contact_count(const membership_state& state, bool resumed)
{
    if (resumed)
    {
        return 3;
    }
    return suspects_any_member(state) ? 2 : 1;
}

} // namespace

std::vector<std::string> choose_round_contacts(membership_state& state,
                                               bool resumed,
                                               std::minstd_rand& generator)
{
    std::vector<std::string> contacts;
    const auto regular_contacts = rotation_contact_count(state, resumed);
    for (std::size_t i = 0; i < regular_contacts; ++i)
    {
        add_rotation_contact(state, generator, contacts);
    }
    add_verification_contacts(state, contacts);
    add_discovery_contacts(state, generator, contacts);
    std::sort(contacts.begin(), contacts.end());
    contacts.erase(std::unique(contacts.begin(), contacts.end()),
                   contacts.end());
    return contacts;
}

} // namespace anvilturn
