#include <av_replication/registry_log.hpp>

#include <utility>

namespace anvilturn
{
namespace
{

target_change make_change(const std::string& name,
                          const registered_target& target,
                          bool removed)
{
    target_change change;
    change.object_.name_ = name;
    change.object_.revision_ = target.revision_;
    change.object_.value_ = target.spec_;
    change.removed_ = removed;
    change.expiring_ = !removed && target.expires_at_.has_value();
    return change;
}

// Returns whether subscribers need to be told of the difference: the target's
// description, or whether its entry is expiring.
bool differs(const registered_target& a, const registered_target& b)
{
    return a.spec_ != b.spec_ ||
           a.expires_at_.has_value() != b.expires_at_.has_value();
}

void append(registry_log& log, target_change change)
{
    log.changes_.push_back({++log.sequence_, std::move(change)});
    if (log.changes_.size() > max_retained_changes)
    {
        log.changes_.pop_front();
    }
}

bool has_changes_since(const registry_log& log, std::uint64_t sequence)
{
    return sequence <= log.sequence_ &&
           log.sequence_ - sequence <= log.changes_.size();
}

void add_snapshot(const registry_log& log, registry_update& update)
{
    update.is_snapshot_ = true;
    for (const auto& entry : log.targets_)
    {
        update.changes_.push_back(
            make_change(entry.first, entry.second, false));
    }
}

void add_changes_since(const registry_log& log,
                       std::uint64_t sequence,
                       registry_update& update)
{
    for (const auto& change : log.changes_)
    {
        if (change.sequence_ > sequence)
        {
            update.changes_.push_back(change.change_);
        }
    }
}

} // namespace

void record_targets(registry_log& log,
                    const std::map<std::string, registered_target>& targets,
                    store_revision revision)
{
    log.store_revision_ = revision;
    for (const auto& entry : targets)
    {
        const auto known = log.targets_.find(entry.first);
        if (known == log.targets_.end() || differs(known->second, entry.second))
        {
            append(log, make_change(entry.first, entry.second, false));
        }
    }
    for (const auto& entry : log.targets_)
    {
        if (targets.count(entry.first) == 0)
        {
            append(log, make_change(entry.first, entry.second, true));
        }
    }
    log.targets_ = targets;
}

void record_release(registry_log& log, std::shared_ptr<const release> value)
{
    log.release_ = std::move(value);
}

bool needs_snapshot(const registry_log& log,
                    const replication_position& position)
{
    return position.epoch_ != log.epoch_ ||
           !has_changes_since(log, position.sequence_);
}

bool lacks_release(const registry_log& log,
                   const replication_position& position)
{
    return log.release_ && log.release_->version_ > position.release_version_;
}

registry_update update_since(const registry_log& log,
                             const replication_position& position)
{
    registry_update update;
    update.epoch_ = log.epoch_;
    update.failure_domain_ = log.failure_domain_;
    update.sequence_ = log.sequence_;
    update.store_revision_ = log.store_revision_;
    if (needs_snapshot(log, position))
    {
        add_snapshot(log, update);
    }
    else
    {
        add_changes_since(log, position.sequence_, update);
    }
    if (lacks_release(log, position))
    {
        update.release_ = log.release_;
    }
    return update;
}

} // namespace anvilturn
