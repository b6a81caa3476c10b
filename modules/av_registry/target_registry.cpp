#include <av_registry/target_registry.hpp>

#include <iterator>
#include <set>

namespace anvilturn
{
namespace
{

using entry_position = std::map<std::string, registered_target>::iterator;

// Removes the entry, or lets it lapse while a return of it is to be expected.
// Returns the position after it.
entry_position
remove(target_registry& registry, entry_position entry, milliseconds now)
{
    const bool may_return =
        registry.store_recovered_at_ &&
        now < *registry.store_recovered_at_ + expiry_grace_period;
    if (!may_return)
    {
        return registry.entries_.erase(entry);
    }
    if (!entry->second.expires_at_)
    {
        entry->second.expires_at_ =
            *registry.store_recovered_at_ + expiry_grace_period;
    }
    return ++entry;
}

void apply_object(target_registry& registry, const listed_target& object)
{
    const auto known = registry.entries_.find(object.name_);
    if (!object.value_)
    {
        if (known != registry.entries_.end())
        {
            registry.entries_.erase(known);
        }
        return;
    }
    if (known == registry.entries_.end())
    {
        registry.entries_[object.name_] = {
            *object.value_, object.revision_, std::nullopt};
        return;
    }
    const bool from_earlier_start =
        object.value_->incarnation_ < known->second.spec_.incarnation_;
    if (from_earlier_start || object.revision_ < known->second.revision_)
    {
        return;
    }
    known->second = {*object.value_, object.revision_, std::nullopt};
}

} // namespace

void record_store_recovery(target_registry& registry, milliseconds now)
{
    registry.store_recovered_at_ = now;
}

void apply_listing(target_registry& registry,
                   const std::vector<listed_target>& objects,
                   milliseconds now)
{
    std::set<std::string> listed;
    for (const auto& object : objects)
    {
        listed.insert(object.name_);
        apply_object(registry, object);
    }
    for (auto entry = registry.entries_.begin();
         entry != registry.entries_.end();)
    {
        entry = listed.count(entry->first) != 0 ? std::next(entry)
                                                : remove(registry, entry, now);
    }
}

void apply_changes(target_registry& registry,
                   const std::vector<target_change>& changes,
                   milliseconds now)
{
    for (const auto& change : changes)
    {
        if (change.expiring_)
        {
            continue;
        }
        if (!change.removed_)
        {
            apply_object(registry, change.object_);
            continue;
        }
        const auto known = registry.entries_.find(change.object_.name_);
        if (known != registry.entries_.end() &&
            change.object_.revision_ >= known->second.revision_)
        {
            remove(registry, known, now);
        }
    }
}

void apply_snapshot(target_registry& registry,
                    const std::vector<target_change>& changes)
{
    std::set<std::string> named;
    for (const auto& change : changes)
    {
        named.insert(change.object_.name_);
        if (!change.expiring_)
        {
            apply_object(registry, change.object_);
        }
    }
    for (auto entry = registry.entries_.begin();
         entry != registry.entries_.end();)
    {
        entry = named.count(entry->first) != 0 ? std::next(entry)
                                               : registry.entries_.erase(entry);
    }
}

void remove_expired(target_registry& registry, milliseconds now)
{
    for (auto entry = registry.entries_.begin();
         entry != registry.entries_.end();)
    {
        const auto& drop_at = entry->second.expires_at_;
        entry = drop_at && *drop_at <= now ? registry.entries_.erase(entry)
                                           : std::next(entry);
    }
}

std::optional<milliseconds> next_expiry(const target_registry& registry)
{
    std::optional<milliseconds> first;
    for (const auto& entry : registry.entries_)
    {
        const auto& drop_at = entry.second.expires_at_;
        if (drop_at && (!first || *drop_at < *first))
        {
            first = drop_at;
        }
    }
    return first;
}

std::map<std::string, target_spec>
registered_targets(const target_registry& registry)
{
    std::map<std::string, target_spec> result;
    for (const auto& entry : registry.entries_)
    {
        result.emplace(entry.first, entry.second.spec_);
    }
    return result;
}

} // namespace anvilturn
