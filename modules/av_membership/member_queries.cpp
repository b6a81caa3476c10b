#include <av_membership/member_queries.hpp>

#include <algorithm>

namespace anvilturn
{

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

member_record* find_record(membership_state& state, std::uint64_t incarnation)
{
    const auto name = state.names_by_incarnation_.find(incarnation);
    return name == state.names_by_incarnation_.end()
               ? nullptr
               : &state.records_.at(name->second);
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

} // namespace anvilturn
