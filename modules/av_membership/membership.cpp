#include <av_membership/membership.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <cstddef>
#include <random>
#include <utility>

namespace anvilturn
{
namespace
{

bool is_newer(const heartbeat& a, const heartbeat& b)
{
    return std::tie(a.incarnation_, a.counter_) >
           std::tie(b.incarnation_, b.counter_);
}

bool is_alive(const member_record& record)
{
    return record.condition_ == member_condition::alive;
}

std::size_t alive_count(const membership_state& state)
{
    return 1 + static_cast<std::size_t>(std::count_if(state.records_.begin(),
                                                      state.records_.end(),
                                                      [](const auto& entry)
                                                      {
                                                          return is_alive(
                                                              entry.second);
                                                      }));
}

void change_condition(member_record& record,
                      member_condition condition,
                      milliseconds now)
{
    if (record.condition_ == condition)
    {
        return;
    }
    record.condition_ = condition;
    record.changed_at_ = now;
}

// A VM that restarts with its clock behind that of its predecessor starts with
// a smaller incarnation. It takes the next greater one as soon as it learns of
// the predecessor's.
void supersede_predecessor(membership_state& state, std::uint64_t incarnation)
{
    state.local_heartbeat_.incarnation_ =
        std::max(state.local_heartbeat_.incarnation_, incarnation) + 1;
    state.self_.incarnation_ = state.local_heartbeat_.incarnation_;
}

// Returns whether the description is of a VM with this VM's name. If it shows
// that another VM uses the same incarnation, or a predecessor a greater one,
// this VM takes a new incarnation.
bool resolve_identity_conflict(membership_state& state,
                               const vm_description& vm)
{
    if (vm.name_ == state.self_.name_)
    {
        if (vm.incarnation_ > state.local_heartbeat_.incarnation_)
        {
            supersede_predecessor(state, vm.incarnation_);
        }
        return true;
    }
    if (vm.incarnation_ == state.local_heartbeat_.incarnation_)
    {
        supersede_predecessor(state, vm.incarnation_);
    }
    return false;
}

// Marks as left every other VM with a smaller incarnation whose peer address
// the given VM now uses.
void mark_previous_address_user_left(membership_state& state,
                                     const vm_description& vm,
                                     milliseconds now)
{
    for (auto& [name, record] : state.records_)
    {
        if (name != vm.name_ && record.vm_.peer_address_ == vm.peer_address_ &&
            record.vm_.incarnation_ < vm.incarnation_)
        {
            change_condition(record, member_condition::left, now);
        }
    }
}

void merge_description(membership_state& state,
                       const vm_description& vm,
                       milliseconds now)
{
    if (resolve_identity_conflict(state, vm))
    {
        return;
    }
    state.missing_descriptions_.erase(vm.incarnation_);
    const auto found = state.records_.find(vm.name_);
    if (found != state.records_.end() &&
        found->second.vm_.incarnation_ >= vm.incarnation_)
    {
        return;
    }
    if (found == state.records_.end() &&
        state.records_.size() >= state.limits_.member_limit_)
    {
        return;
    }
    if (found != state.records_.end())
    {
        state.names_by_incarnation_.erase(found->second.vm_.incarnation_);
    }
    member_record record;
    record.vm_ = vm;
    record.newest_.incarnation_ = vm.incarnation_;
    // The VM becomes a member with its first heartbeat.
    record.condition_ = member_condition::lost;
    record.last_heartbeat_round_ = state.contact_rounds_;
    record.last_contact_at_ = now;
    record.changed_at_ = now;
    state.records_[vm.name_] = std::move(record);
    state.names_by_incarnation_[vm.incarnation_] = vm.name_;
    mark_previous_address_user_left(state, vm, now);
}

member_record* find_record(membership_state& state, std::uint64_t incarnation)
{
    const auto name = state.names_by_incarnation_.find(incarnation);
    return name == state.names_by_incarnation_.end()
               ? nullptr
               : &state.records_.at(name->second);
}

void merge_heartbeat(membership_state& state,
                     const heartbeat& received,
                     milliseconds now)
{
    if (received.incarnation_ == state.local_heartbeat_.incarnation_)
    {
        return;
    }
    member_record* record = find_record(state, received.incarnation_);
    if (record == nullptr)
    {
        if (state.missing_descriptions_.size() <
            state.limits_.reported_incarnation_limit_)
        {
            state.missing_descriptions_.insert(received.incarnation_);
        }
        return;
    }
    if (received.leaving_)
    {
        record->newest_.leaving_ = true;
        change_condition(*record, member_condition::left, now);
    }
    if (!is_newer(received, record->newest_))
    {
        return;
    }
    const bool leaving = record->newest_.leaving_;
    record->newest_ = received;
    record->newest_.leaving_ = leaving;
    record->last_heartbeat_round_ = state.contact_rounds_;
    record->last_contact_at_ = now;
    record->suspected_by_.clear();
    if (record->condition_ == member_condition::lost)
    {
        change_condition(*record, member_condition::alive, now);
    }
}

const listed_vm* find_listed(const membership_state& state,
                             const std::string& name)
{
    const auto found = std::find_if(state.listed_.begin(),
                                    state.listed_.end(),
                                    [&name](const listed_vm& vm)
                                    {
                                        return vm.name_ == name;
                                    });
    return found == state.listed_.end() ? nullptr : &*found;
}

std::uint64_t missed_rounds(const membership_state& state,
                            const member_record& record)
{
    return state.contact_rounds_ - record.last_heartbeat_round_;
}

bool is_suspected_by(const member_record& record, std::uint64_t incarnation)
{
    return std::find(record.suspected_by_.begin(),
                     record.suspected_by_.end(),
                     incarnation) != record.suspected_by_.end();
}

void add_suspicion(const membership_state& state,
                   member_record& record,
                   std::uint64_t incarnation)
{
    const bool is_local = incarnation == state.local_heartbeat_.incarnation_;
    const bool has_room =
        record.suspected_by_.size() < state.limits_.suspicion_quorum_;
    if ((is_local || has_room) && !is_suspected_by(record, incarnation))
    {
        record.suspected_by_.push_back(incarnation);
    }
}

// A reported suspicion counts only while this VM has no recent heartbeat of the
// member either. This VM then calls the member itself, and reports a suspicion
// of its own only if that call fails too.
void merge_suspicions(membership_state& state, const membership_digest& digest)
{
    for (const std::uint64_t incarnation : digest.suspected_members_)
    {
        member_record* record = find_record(state, incarnation);
        if (record == nullptr || !is_alive(*record) ||
            missed_rounds(state, *record) <
                state.limits_.suspicion_missed_rounds_)
        {
            continue;
        }
        add_suspicion(state, *record, digest.incarnation_);
        if (!is_suspected_by(*record, state.local_heartbeat_.incarnation_))
        {
            state.pending_verifications_.insert(record->vm_.name_);
        }
    }
}

// A member removed as lost is still reported as suspected for
// suspicion_retention_, so that the last VMs that list it reach the quorum.
bool is_suspicion_reported(const membership_state& state,
                           const member_record& record)
{
    const bool is_recent = state.last_round_at_ - record.changed_at_ <=
                           state.limits_.suspicion_retention_;
    return is_suspected_by(record, state.local_heartbeat_.incarnation_) &&
           (is_alive(record) ||
            (record.condition_ == member_condition::lost && is_recent));
}

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

std::vector<std::uint64_t> reported_suspicions(const membership_state& state)
{
    std::vector<std::uint64_t> suspected;
    for (const auto& [name, record] : state.records_)
    {
        if (is_suspicion_reported(state, record) &&
            suspected.size() < state.limits_.reported_incarnation_limit_)
        {
            suspected.push_back(record.vm_.incarnation_);
        }
    }
    return suspected;
}

// A quorum of VMs failed to reach the member, and no newer heartbeat of it
// arrived through any other VM.
bool is_unreachable(const membership_state& state, const member_record& record)
{
    const std::size_t others = alive_count(state) - 1;
    const std::size_t needed =
        std::min(state.limits_.suspicion_quorum_, others);
    return record.suspected_by_.size() >= needed &&
           missed_rounds(state, record) >
               state.limits_.suspected_missed_rounds_;
}

// The platform's list never removes a member whose heartbeats arrive. It only
// halves the round limit of a member that is listed as leaving.
bool missed_too_many_rounds(const membership_state& state,
                            const member_record& record)
{
    const listed_vm* listed = find_listed(state, record.vm_.name_);
    const bool listed_as_leaving = listed != nullptr && listed->leaving_;
    const std::uint64_t limit = missed_round_limit(state);
    return missed_rounds(state, record) >
           (listed_as_leaving ? limit / 2 : limit);
}

// A VM that reaches the platform but no peer can't tell a fault of its own
// network from a failure of the peers. In that case the platform's list
// decides.
bool is_unlisted_too_long(const membership_state& state,
                          const member_record& record,
                          milliseconds now)
{
    const auto limit = state.limits_.unlisted_heartbeat_timeout_;
    return state.list_known_ && now - state.listed_at_ < limit &&
           now - record.last_contact_at_ > limit &&
           find_listed(state, record.vm_.name_) == nullptr;
}

void remove_timed_out(membership_state& state, milliseconds now)
{
    for (auto& [name, record] : state.records_)
    {
        if (is_alive(record) && (missed_too_many_rounds(state, record) ||
                                 is_unreachable(state, record) ||
                                 is_unlisted_too_long(state, record, now)))
        {
            change_condition(record, member_condition::lost, now);
        }
    }
}

void remove_expired_records(membership_state& state, milliseconds now)
{
    for (auto entry = state.records_.begin(); entry != state.records_.end();)
    {
        const auto& record = entry->second;
        if (!is_alive(record) &&
            now - record.changed_at_ > state.limits_.lost_retention_)
        {
            state.names_by_incarnation_.erase(record.vm_.incarnation_);
            entry = state.records_.erase(entry);
        }
        else
        {
            ++entry;
        }
    }
}

// Clears the requests for descriptions from time to time: incarnations that
// peers still report are added again, while those that nobody can describe
// would be requested forever.
void clear_missing_descriptions(membership_state& state)
{
    const auto interval =
        static_cast<std::uint64_t>(state.limits_.rounds_between_discoveries_);
    if (state.rounds_ % interval == 0)
    {
        state.missing_descriptions_.clear();
    }
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
std::size_t rotation_contact_count(const membership_state& state,
                                   const membership_round& round)
{
    if (round.resumed_)
    {
        return 3;
    }
    return suspects_any_member(state) ? 2 : 1;
}

bool is_advertised(const membership_state& state,
                   const member_record& record,
                   milliseconds now)
{
    return is_alive(record) ||
           (record.newest_.leaving_ &&
            now - record.changed_at_ <= state.limits_.left_retention_);
}

template <typename Visitor>
void for_each_advertised(const membership_state& state, Visitor visit)
{
    visit(state.local_heartbeat_, state.self_);
    for (const auto& [name, record] : state.records_)
    {
        if (is_advertised(state, record, state.last_round_at_))
        {
            visit(record.newest_, record.vm_);
        }
    }
}

const heartbeat* find_heartbeat(const std::vector<heartbeat>& sorted,
                                std::uint64_t incarnation)
{
    const auto found = std::lower_bound(sorted.begin(),
                                        sorted.end(),
                                        incarnation,
                                        [](const heartbeat& a, std::uint64_t b)
                                        {
                                            return a.incarnation_ < b;
                                        });
    return found != sorted.end() && found->incarnation_ == incarnation
               ? &*found
               : nullptr;
}

} // namespace

membership_state start_membership(const vm_description& self,
                                  std::vector<std::string> seed_addresses,
                                  const membership_limits& limits,
                                  milliseconds now)
{
    assert(!self.name_.empty());
    membership_state state;
    state.limits_ = limits;
    state.self_ = self;
    state.local_heartbeat_.incarnation_ = self.incarnation_;
    state.seed_addresses_ = std::move(seed_addresses);
    state.last_round_at_ = now;
    return state;
}

membership_round
membership_tick(membership_state state, std::uint64_t random, milliseconds now)
{
    membership_round round;
    std::minstd_rand generator(
        static_cast<std::minstd_rand::result_type>(random | 1U));
    ++state.rounds_;
    ++state.local_heartbeat_.counter_;
    round.resumed_ =
        now - state.last_round_at_ >
        std::max(state.limits_.pause_threshold_, round_period(state) * 3.0);
    if (round.resumed_)
    {
        ++state.pauses_;
        state.rotation_.clear();
    }
    else if (state.had_contact_since_round_)
    {
        ++state.contact_rounds_;
    }
    state.had_contact_since_round_ = false;
    state.last_round_at_ = now;
    clear_missing_descriptions(state);
    remove_timed_out(state, now);
    remove_expired_records(state, now);
    const std::size_t regular_contacts = rotation_contact_count(state, round);
    for (std::size_t i = 0; i < regular_contacts; ++i)
    {
        add_rotation_contact(state, generator, round.contacts_);
    }
    add_verification_contacts(state, round.contacts_);
    add_discovery_contacts(state, generator, round.contacts_);
    std::sort(round.contacts_.begin(), round.contacts_.end());
    round.contacts_.erase(
        std::unique(round.contacts_.begin(), round.contacts_.end()),
        round.contacts_.end());
    round.state_ = std::move(state);
    return round;
}

milliseconds round_period(const membership_state& state)
{
    const auto& limits = state.limits_;
    const auto members = static_cast<double>(alive_count(state));
    return std::min(limits.base_period_ + limits.period_per_member_ * members,
                    limits.longest_period_);
}

std::uint64_t missed_round_limit(const membership_state& state)
{
    const auto members = static_cast<double>(alive_count(state));
    return static_cast<std::uint64_t>(
        state.limits_.base_missed_rounds_ +
        state.limits_.missed_rounds_per_doubling_ * std::log2(members));
}

membership_digest make_digest(const membership_state& state)
{
    membership_digest digest;
    digest.incarnation_ = state.local_heartbeat_.incarnation_;
    for_each_advertised(state,
                        [&](const heartbeat& newest, const vm_description&)
                        {
                            digest.heartbeats_.push_back(newest);
                        });
    digest.missing_descriptions_.assign(state.missing_descriptions_.begin(),
                                        state.missing_descriptions_.end());
    digest.suspected_members_ = reported_suspicions(state);
    return digest;
}

membership_digest make_reply(const membership_state& state,
                             const membership_digest& request)
{
    std::vector<heartbeat> peer_heartbeats = request.heartbeats_;
    std::sort(peer_heartbeats.begin(),
              peer_heartbeats.end(),
              [](const heartbeat& a, const heartbeat& b)
              {
                  return a.incarnation_ < b.incarnation_;
              });
    membership_digest reply;
    reply.incarnation_ = state.local_heartbeat_.incarnation_;
    reply.descriptions_ =
        find_descriptions(state, request.missing_descriptions_);
    reply.missing_descriptions_.assign(state.missing_descriptions_.begin(),
                                       state.missing_descriptions_.end());
    reply.suspected_members_ = reported_suspicions(state);
    for_each_advertised(state,
                        [&](const heartbeat& newest, const vm_description& vm)
                        {
                            const auto* known = find_heartbeat(
                                peer_heartbeats, newest.incarnation_);
                            if (known == nullptr)
                            {
                                reply.descriptions_.push_back(vm);
                            }
                            if (known == nullptr || is_newer(newest, *known) ||
                                newest.leaving_ != known->leaving_)
                            {
                                reply.heartbeats_.push_back(newest);
                            }
                        });
    return reply;
}

std::vector<vm_description>
find_descriptions(const membership_state& state,
                  const std::vector<std::uint64_t>& incarnations)
{
    std::vector<vm_description> descriptions;
    for (const std::uint64_t incarnation : incarnations)
    {
        const member_record* record = find_member(state, incarnation);
        if (incarnation == state.local_heartbeat_.incarnation_)
        {
            descriptions.push_back(state.self_);
        }
        else if (record != nullptr)
        {
            descriptions.push_back(record->vm_);
        }
    }
    return descriptions;
}

membership_state on_digest(membership_state state,
                           const membership_digest& digest,
                           milliseconds now)
{
    for (const auto& vm : digest.descriptions_)
    {
        merge_description(state, vm, now);
    }
    for (const auto& received : digest.heartbeats_)
    {
        merge_heartbeat(state, received, now);
    }
    merge_suspicions(state, digest);
    state.had_contact_since_round_ = true;
    member_record* sender = find_record(state, digest.incarnation_);
    if (sender != nullptr)
    {
        sender->answered_at_ = now;
        sender->failed_calls_ = 0;
    }
    return state;
}

membership_state on_contact_failed(membership_state state,
                                   const std::string& peer_address)
{
    for (auto& [name, record] : state.records_)
    {
        if (record.vm_.peer_address_ == peer_address)
        {
            ++record.failed_calls_;
            add_suspicion(state, record, state.local_heartbeat_.incarnation_);
        }
    }
    return state;
}

membership_state on_vm_list(membership_state state,
                            std::vector<listed_vm> listed,
                            milliseconds now)
{
    listed.resize(std::min(listed.size(), state.limits_.member_limit_));
    state.listed_ = std::move(listed);
    state.listed_at_ = now;
    state.list_known_ = true;
    return state;
}

membership_state begin_leaving(membership_state state)
{
    state.local_heartbeat_.leaving_ = true;
    ++state.local_heartbeat_.counter_;
    return state;
}

membership_state set_local_release(membership_state state,
                                   release_version release)
{
    state.local_heartbeat_.release_ =
        std::max(state.local_heartbeat_.release_, release);
    return state;
}

fleet_view make_fleet_view(const membership_state& state)
{
    fleet_view view;
    view.self_ = state.self_;
    for (const auto& [name, record] : state.records_)
    {
        if (is_alive(record))
        {
            view.members_.push_back(record.vm_);
        }
    }
    if (!state.local_heartbeat_.leaving_)
    {
        const auto place = std::lower_bound(view.members_.begin(),
                                            view.members_.end(),
                                            state.self_,
                                            [](const auto& a, const auto& b)
                                            {
                                                return a.name_ < b.name_;
                                            });
        view.members_.insert(place, state.self_);
    }
    return view;
}

const member_record* find_member(const membership_state& state,
                                 std::uint64_t incarnation)
{
    const auto name = state.names_by_incarnation_.find(incarnation);
    return name == state.names_by_incarnation_.end()
               ? nullptr
               : &state.records_.at(name->second);
}

std::vector<std::string> alive_names(const membership_state& state)
{
    std::vector<std::string> names;
    for (const auto& [name, record] : state.records_)
    {
        if (is_alive(record))
        {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace anvilturn
