#include <fake_platform/object_store.hpp>

#include <limits>
#include <utility>

namespace anvilturn
{
namespace
{

// Period for which earlier states are kept for stale reads.
constexpr milliseconds history_duration{60000.0};

const milliseconds unbounded_time{std::numeric_limits<double>::infinity()};

bool has_prefix(std::string_view key, std::string_view prefix)
{
    return key.substr(0, prefix.size()) == prefix;
}

} // namespace

stored_object object_store::get(std::string_view key, milliseconds as_of) const
{
    const auto found = states_.find(key);
    if (found == states_.end())
    {
        return {};
    }
    const auto& states = found->second;
    for (auto state = states.rbegin(); state != states.rend(); ++state)
    {
        if (state->since_ <= as_of)
        {
            return state->object_;
        }
    }
    return {};
}

write_result object_store::put(const std::string& key,
                               std::uint64_t expected,
                               std::string value,
                               milliseconds now)
{
    if (get(key, unbounded_time).version_ != expected)
    {
        return write_result::version_mismatch;
    }
    ++revision_;
    record(key, {revision_, std::move(value)}, now);
    events_.push_back({revision_, key, revision_, false});
    return write_result::done;
}

write_result object_store::erase(const std::string& key,
                                 std::uint64_t expected,
                                 milliseconds now)
{
    const auto current_version = get(key, unbounded_time).version_;
    if (current_version == 0)
    {
        return write_result::absent;
    }
    if (current_version != expected)
    {
        return write_result::version_mismatch;
    }
    ++revision_;
    record(key, {}, now);
    events_.push_back({revision_, key, current_version, true});
    return write_result::done;
}

std::map<std::string, std::uint64_t>
object_store::list(std::string_view prefix, milliseconds as_of) const
{
    std::map<std::string, std::uint64_t> result;
    for (const auto& entry : states_)
    {
        const auto version = get(entry.first, as_of).version_;
        if (version != 0 && has_prefix(entry.first, prefix))
        {
            result.emplace(entry.first, version);
        }
    }
    return result;
}

std::vector<store_event>
object_store::events_after(std::string_view prefix,
                           std::uint64_t revision) const
{
    std::vector<store_event> result;
    // Each write adds one event, so revision R has index R - 1.
    for (auto i = revision; i < events_.size(); ++i)
    {
        if (has_prefix(events_[i].key_, prefix))
        {
            result.push_back(events_[i]);
        }
    }
    return result;
}

std::uint64_t object_store::revision() const noexcept
{
    return revision_;
}

void object_store::record(const std::string& key,
                          stored_object state,
                          milliseconds now)
{
    auto& states = states_[key];
    states.push_back({now, std::move(state)});
    while (states.size() > 1 && now - states[1].since_ >= history_duration)
    {
        states.pop_front();
    }
}

} // namespace anvilturn
