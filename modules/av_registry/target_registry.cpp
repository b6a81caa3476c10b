#include <av_registry/target_registry.hpp>

#include <iterator>
#include <set>

namespace anvilturn
{
namespace
{

using entry_position = std::map<std::string, registered_target>::iterator;

// The store removes an entry after this number of heartbeat intervals without
// one.
constexpr int heartbeats_until_expiry = 3;

// Returns whether the store has recovered so recently that a missing entry may
// return.
bool is_in_grace_period(const target_registry& registry, milliseconds now)
{
    return registry.store_recovered_at_ &&
           now < *registry.store_recovered_at_ + expiry_grace_period;
}

// Removes the entry or, within the grace period after an outage of the store,
// keeps it until the end of that period because it may return. Returns the
// position after it.
entry_position remove_or_keep_until_expiry(target_registry& registry,
                                           entry_position entry,
                                           milliseconds now)
{
    if (!is_in_grace_period(registry, now))
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

registered_target registration_of(const listed_target& object)
{
    registered_target result{*object.value_, object.revision_, std::nullopt};
    // Only while it is cold, because an entry that differs is passed on, and
    // each heartbeat has a revision of its own.
    const bool is_cold = result.spec_.cold_for_ > milliseconds(0.0);
    result.spec_.cold_revision_ = is_cold ? object.revision_ : 0;
    return result;
}

// Applies a newer entry that claims an earlier start. It may have been written
// late by a process that has ended, so it brings no target into use; but it may
// also be that of a machine whose clock was set back, so if it is leaving, that
// counts.
void apply_entry_of_earlier_start(registered_target& known,
                                  const listed_target& object)
{
    if (object.value_->draining_)
    {
        known.spec_.draining_ = true;
        known.revision_ = object.revision_;
    }
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
        registry.entries_[object.name_] = registration_of(object);
        return;
    }
    if (object.revision_ < known->second.revision_)
    {
        return;
    }
    if (object.value_->incarnation_ < known->second.spec_.incarnation_)
    {
        apply_entry_of_earlier_start(known->second, object);
        return;
    }
    known->second = registration_of(object);
}

// Applies that another VM no longer sees the entry in the store and waits for
// its return.
void apply_expiring(target_registry& registry,
                    const std::string& name,
                    milliseconds now)
{
    if (!is_in_grace_period(registry, now))
    {
        registry.entries_.erase(name);
    }
}

} // namespace

milliseconds min_expiring_outage(milliseconds heartbeat_interval)
{
    // The last heartbeat came up to one interval before the outage.
    return heartbeat_interval * (heartbeats_until_expiry - 1);
}

void record_store_answer(target_registry& registry, milliseconds answered_at)
{
    const auto previous = registry.store_answered_at_;
    if (previous && answered_at <= *previous)
    {
        return;
    }
    if (previous && answered_at - *previous >= registry.min_expiring_outage_)
    {
        registry.store_recovered_at_ = answered_at;
    }
    registry.store_answered_at_ = answered_at;
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
        entry = listed.count(entry->first) != 0
                    ? std::next(entry)
                    : remove_or_keep_until_expiry(registry, entry, now);
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
            apply_expiring(registry, change.object_.name_, now);
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
            remove_or_keep_until_expiry(registry, known, now);
        }
    }
}

void apply_snapshot(target_registry& registry,
                    const std::vector<target_change>& changes,
                    milliseconds now)
{
    std::set<std::string> snapshot_names;
    for (const auto& change : changes)
    {
        snapshot_names.insert(change.object_.name_);
        if (change.expiring_)
        {
            apply_expiring(registry, change.object_.name_, now);
        }
        else
        {
            apply_object(registry, change.object_);
        }
    }
    for (auto entry = registry.entries_.begin();
         entry != registry.entries_.end();)
    {
        entry = snapshot_names.count(entry->first) != 0
                    ? std::next(entry)
                    : registry.entries_.erase(entry);
    }
}

void remove_expired(target_registry& registry, milliseconds now)
{
    for (auto entry = registry.entries_.begin();
         entry != registry.entries_.end();)
    {
        const auto& expires_at = entry->second.expires_at_;
        entry = expires_at && *expires_at <= now
                    ? registry.entries_.erase(entry)
                    : std::next(entry);
    }
}

std::optional<milliseconds> next_expiry(const target_registry& registry)
{
    std::optional<milliseconds> earliest;
    for (const auto& entry : registry.entries_)
    {
        const auto& expires_at = entry.second.expires_at_;
        if (expires_at && (!earliest || *expires_at < *earliest))
        {
            earliest = expires_at;
        }
    }
    return earliest;
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
