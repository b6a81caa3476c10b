#include <av_membership/membership.hpp>

#include <av_membership/failure_detection.hpp>
#include <av_membership/member_queries.hpp>
#include <av_membership/round_contacts.hpp>

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
    round.contacts_ = choose_round_contacts(state, round.resumed_, generator);
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
