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

// A VM that restarts with its clock behind that of its predecessor draws a
// smaller incarnation. It takes the next greater one as soon as it learns of
// the predecessor's.
void outlive_predecessor(membership_state& state, std::uint64_t incarnation)
{
    state.own_.incarnation_ =
        std::max(state.own_.incarnation_, incarnation) + 1;
    state.self_.incarnation_ = state.own_.incarnation_;
}

bool is_own_name_or_incarnation(membership_state& state,
                                const vm_description& vm)
{
    if (vm.name_ == state.self_.name_)
    {
        if (vm.incarnation_ > state.own_.incarnation_)
        {
            outlive_predecessor(state, vm.incarnation_);
        }
        return true;
    }
    if (vm.incarnation_ == state.own_.incarnation_)
    {
        outlive_predecessor(state, vm.incarnation_);
    }
    return false;
}

// Marks as left every other VM with a smaller incarnation whose peer address
// the given VM now uses.
void retire_previous_user(membership_state& state,
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

void learn_description(membership_state& state,
                       const vm_description& vm,
                       milliseconds now)
{
    if (is_own_name_or_incarnation(state, vm))
    {
        return;
    }
    state.wanted_.erase(vm.incarnation_);
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
        state.names_.erase(found->second.vm_.incarnation_);
    }
    member_record record;
    record.vm_ = vm;
    record.newest_.incarnation_ = vm.incarnation_;
    // The VM becomes a member with its first heartbeat.
    record.condition_ = member_condition::lost;
    record.heard_in_round_ = state.heard_rounds_;
    record.heard_at_ = now;
    record.changed_at_ = now;
    state.records_[vm.name_] = std::move(record);
    state.names_[vm.incarnation_] = vm.name_;
    retire_previous_user(state, vm, now);
}

member_record* find_record(membership_state& state, std::uint64_t incarnation)
{
    const auto name = state.names_.find(incarnation);
    return name == state.names_.end() ? nullptr
                                      : &state.records_.at(name->second);
}

void learn_heartbeat(membership_state& state,
                     const heartbeat& news,
                     milliseconds now)
{
    if (news.incarnation_ == state.own_.incarnation_)
    {
        return;
    }
    member_record* record = find_record(state, news.incarnation_);
    if (record == nullptr)
    {
        if (state.wanted_.size() < state.limits_.wanted_limit_)
        {
            state.wanted_.insert(news.incarnation_);
        }
        return;
    }
    if (news.leaving_)
    {
        record->newest_.leaving_ = true;
        change_condition(*record, member_condition::left, now);
    }
    if (!is_newer(news, record->newest_))
    {
        return;
    }
    const bool leaving = record->newest_.leaving_;
    record->newest_ = news;
    record->newest_.leaving_ = leaving;
    record->heard_in_round_ = state.heard_rounds_;
    record->heard_at_ = now;
    record->doubters_.clear();
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

std::uint64_t silence_of(const membership_state& state,
                         const member_record& record)
{
    return state.heard_rounds_ - record.heard_in_round_;
}

bool is_doubted_by(const member_record& record, std::uint64_t incarnation)
{
    return std::find(record.doubters_.begin(),
                     record.doubters_.end(),
                     incarnation) != record.doubters_.end();
}

void add_doubter(const membership_state& state,
                 member_record& record,
                 std::uint64_t incarnation)
{
    const bool is_own = incarnation == state.own_.incarnation_;
    const bool has_room = record.doubters_.size() < state.limits_.doubters_;
    if ((is_own || has_room) && !is_doubted_by(record, incarnation))
    {
        record.doubters_.push_back(incarnation);
    }
}

// A reported suspicion counts only while this VM has no recent heartbeat of the
// member either. This VM calls the member itself before it reports the
// suspicion on.
void learn_doubts(membership_state& state, const membership_digest& digest)
{
    for (const std::uint64_t incarnation : digest.doubted_)
    {
        member_record* record = find_record(state, incarnation);
        if (record == nullptr || !is_alive(*record) ||
            silence_of(state, *record) < state.limits_.check_silent_rounds_)
        {
            continue;
        }
        add_doubter(state, *record, digest.incarnation_);
        if (!is_doubted_by(*record, state.own_.incarnation_))
        {
            state.checks_.insert(record->vm_.name_);
        }
    }
}

// A member removed as lost is still reported as suspected for
// suspicion_retention_, so that the last VMs that list it reach the quorum.
bool is_doubt_told(const membership_state& state, const member_record& record)
{
    const bool is_recent = state.last_round_ - record.changed_at_ <=
                           state.limits_.doubt_retention_;
    return is_doubted_by(record, state.own_.incarnation_) &&
           (is_alive(record) ||
            (record.condition_ == member_condition::lost && is_recent));
}

bool doubts_any_member(const membership_state& state)
{
    return std::any_of(state.records_.begin(),
                       state.records_.end(),
                       [&state](const auto& entry)
                       {
                           return is_alive(entry.second) &&
                                  is_doubted_by(entry.second,
                                                state.own_.incarnation_);
                       });
}

std::vector<std::uint64_t> find_doubted(const membership_state& state)
{
    std::vector<std::uint64_t> doubted;
    for (const auto& [name, record] : state.records_)
    {
        if (is_doubt_told(state, record) &&
            doubted.size() < state.limits_.wanted_limit_)
        {
            doubted.push_back(record.vm_.incarnation_);
        }
    }
    return doubted;
}

// A quorum of VMs failed to reach the member, and no newer heartbeat of it
// arrived through any other VM.
bool is_unreachable(const membership_state& state, const member_record& record)
{
    const std::size_t others = alive_count(state) - 1;
    const std::size_t needed = std::min(state.limits_.doubters_, others);
    return record.doubters_.size() >= needed &&
           silence_of(state, record) > state.limits_.doubted_silent_rounds_;
}

// The platform's list never removes a member whose heartbeats arrive. It only
// halves the round limit of a member that is listed as leaving.
bool is_silent(const membership_state& state, const member_record& record)
{
    const listed_vm* listed = find_listed(state, record.vm_.name_);
    const bool said_to_leave = listed != nullptr && listed->leaving_;
    const std::uint64_t limit = silent_round_limit(state);
    return silence_of(state, record) > (said_to_leave ? limit / 2 : limit);
}

// A VM that reaches the platform but no peer can't tell a fault of its own
// network from a failure of the peers. In that case the platform's list
// decides.
bool is_gone_by_list(const membership_state& state,
                     const member_record& record,
                     milliseconds now)
{
    const auto limit = state.limits_.unlisted_silence_;
    return state.list_known_ && now - state.listed_at_ < limit &&
           now - record.heard_at_ > limit &&
           find_listed(state, record.vm_.name_) == nullptr;
}

void remove_silent(membership_state& state, milliseconds now)
{
    for (auto& [name, record] : state.records_)
    {
        if (is_alive(record) &&
            (is_silent(state, record) || is_unreachable(state, record) ||
             is_gone_by_list(state, record, now)))
        {
            change_condition(record, member_condition::lost, now);
        }
    }
}

void forget_old(membership_state& state, milliseconds now)
{
    for (auto entry = state.records_.begin(); entry != state.records_.end();)
    {
        const auto& record = entry->second;
        if (!is_alive(record) &&
            now - record.changed_at_ > state.limits_.lost_retention_)
        {
            state.names_.erase(record.vm_.incarnation_);
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
// would be requested for ever.
void forget_wanted(membership_state& state)
{
    const auto interval =
        static_cast<std::uint64_t>(state.limits_.rounds_between_trials_);
    if (state.rounds_ % interval == 0)
    {
        state.wanted_.clear();
    }
}

std::vector<std::string> trial_addresses(const membership_state& state)
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

void add_check_contacts(membership_state& state,
                        std::vector<std::string>& contacts)
{
    std::size_t added = 0;
    for (const auto& name : state.checks_)
    {
        const auto found = state.records_.find(name);
        if (found != state.records_.end() && is_alive(found->second) &&
            added < state.limits_.checks_per_round_)
        {
            contacts.push_back(found->second.vm_.peer_address_);
            ++added;
        }
    }
    state.checks_.clear();
}

// When no member can be called, as after a start, several addresses of
// non-members are tried at once.
void add_trial_contacts(membership_state& state,
                        std::minstd_rand& generator,
                        std::vector<std::string>& contacts)
{
    constexpr std::size_t trials_when_alone = 3;
    const bool is_alone = contacts.empty();
    const auto interval =
        static_cast<std::uint64_t>(state.limits_.rounds_between_trials_);
    if (!is_alone && state.rounds_ % interval != 0)
    {
        return;
    }
    auto addresses = trial_addresses(state);
    std::shuffle(addresses.begin(), addresses.end(), generator);
    addresses.resize(
        std::min(addresses.size(), is_alone ? trials_when_alone : 1));
    contacts.insert(contacts.end(), addresses.begin(), addresses.end());
}

// A VM that was paused or failed to reach a member calls more peers than usual.
std::size_t contacts_of_round(const membership_state& state,
                              const membership_round& round)
{
    if (round.resumed_)
    {
        return 3;
    }
    return doubts_any_member(state) ? 2 : 1;
}

bool is_told(const membership_state& state,
             const member_record& record,
             milliseconds now)
{
    return is_alive(record) ||
           (record.newest_.leaving_ &&
            now - record.changed_at_ <= state.limits_.left_retention_);
}

template <typename Visitor>
void for_each_told(const membership_state& state, Visitor visit)
{
    visit(state.own_, state.self_);
    for (const auto& [name, record] : state.records_)
    {
        if (is_told(state, record, state.last_round_))
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
    state.own_.incarnation_ = self.incarnation_;
    state.seed_addresses_ = std::move(seed_addresses);
    state.last_round_ = now;
    return state;
}

membership_round
membership_tick(membership_state state, std::uint64_t random, milliseconds now)
{
    membership_round round;
    std::minstd_rand generator(
        static_cast<std::minstd_rand::result_type>(random | 1U));
    ++state.rounds_;
    ++state.own_.counter_;
    round.resumed_ = now - state.last_round_ >
                     std::max(state.limits_.gap_, round_period(state) * 3.0);
    if (round.resumed_)
    {
        ++state.gaps_;
        state.rotation_.clear();
    }
    else if (state.heard_since_round_)
    {
        ++state.heard_rounds_;
    }
    state.heard_since_round_ = false;
    state.last_round_ = now;
    forget_wanted(state);
    remove_silent(state, now);
    forget_old(state, now);
    const std::size_t regular_contacts = contacts_of_round(state, round);
    for (std::size_t i = 0; i < regular_contacts; ++i)
    {
        add_rotation_contact(state, generator, round.contacts_);
    }
    add_check_contacts(state, round.contacts_);
    add_trial_contacts(state, generator, round.contacts_);
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

std::uint64_t silent_round_limit(const membership_state& state)
{
    const auto members = static_cast<double>(alive_count(state));
    return static_cast<std::uint64_t>(
        state.limits_.silent_rounds_ +
        state.limits_.silent_rounds_per_doubling_ * std::log2(members));
}

membership_digest make_digest(const membership_state& state)
{
    membership_digest digest;
    digest.incarnation_ = state.own_.incarnation_;
    for_each_told(state,
                  [&](const heartbeat& newest, const vm_description&)
                  {
                      digest.heartbeats_.push_back(newest);
                  });
    digest.wanted_.assign(state.wanted_.begin(), state.wanted_.end());
    digest.doubted_ = find_doubted(state);
    return digest;
}

membership_digest make_answer(const membership_state& state,
                              const membership_digest& asked)
{
    std::vector<heartbeat> theirs = asked.heartbeats_;
    std::sort(theirs.begin(),
              theirs.end(),
              [](const heartbeat& a, const heartbeat& b)
              {
                  return a.incarnation_ < b.incarnation_;
              });
    membership_digest answer;
    answer.incarnation_ = state.own_.incarnation_;
    answer.descriptions_ = find_descriptions(state, asked.wanted_);
    answer.wanted_.assign(state.wanted_.begin(), state.wanted_.end());
    answer.doubted_ = find_doubted(state);
    for_each_told(state,
                  [&](const heartbeat& newest, const vm_description& vm)
                  {
                      const auto* known =
                          find_heartbeat(theirs, newest.incarnation_);
                      if (known == nullptr)
                      {
                          answer.descriptions_.push_back(vm);
                      }
                      if (known == nullptr || is_newer(newest, *known) ||
                          newest.leaving_ != known->leaving_)
                      {
                          answer.heartbeats_.push_back(newest);
                      }
                  });
    return answer;
}

std::vector<vm_description>
find_descriptions(const membership_state& state,
                  const std::vector<std::uint64_t>& wanted)
{
    std::vector<vm_description> descriptions;
    for (const std::uint64_t incarnation : wanted)
    {
        const member_record* record = find_member(state, incarnation);
        if (incarnation == state.own_.incarnation_)
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
        learn_description(state, vm, now);
    }
    for (const auto& news : digest.heartbeats_)
    {
        learn_heartbeat(state, news, now);
    }
    learn_doubts(state, digest);
    state.heard_since_round_ = true;
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
            add_doubter(state, record, state.own_.incarnation_);
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
    state.own_.leaving_ = true;
    ++state.own_.counter_;
    return state;
}

membership_state set_own_release(membership_state state,
                                 release_version release)
{
    state.own_.release_ = std::max(state.own_.release_, release);
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
    if (!state.own_.leaving_)
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
    const auto name = state.names_.find(incarnation);
    return name == state.names_.end() ? nullptr
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
