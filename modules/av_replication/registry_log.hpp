#ifndef AV_REPLICATION_REGISTRY_LOG_HPP
#define AV_REPLICATION_REGISTRY_LOG_HPP

#include <av_replication/registry_update.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace anvilturn
{

// A change with its sequence number.
struct sequenced_change
{
    std::uint64_t sequence_ = 0;
    target_change change_;
};

// What a watcher keeps for its subscribers: the current targets and the most
// recent changes that led to them.
struct registry_log
{
    std::uint64_t epoch_ = 0;
    std::string failure_domain_;
    std::uint64_t sequence_ = 0;
    store_revision store_revision_ = 0;
    std::map<std::string, registered_target> targets_;
    std::deque<sequenced_change> changes_;
    std::shared_ptr<const release> release_;
};

// Number of recent changes that are retained. A subscriber that lacks older
// ones gets a snapshot.
constexpr std::size_t max_retained_changes = 1024;

// Sets the current targets, at the given revision of the store, and appends the
// changes that lead to them.
void record_targets(registry_log& log,
                    const std::map<std::string, registered_target>& targets,
                    store_revision revision);

void record_release(registry_log& log, std::shared_ptr<const release> value);

// Returns whether a subscriber at the position needs a snapshot, since it
// followed another watcher or the changes since are no longer retained.
bool needs_snapshot(const registry_log& log,
                    const replication_position& position);

// Returns whether the release is newer than that of a subscriber at the
// position.
bool lacks_release(const registry_log& log,
                   const replication_position& position);

// Returns what a subscriber at the position lacks: the changes since then, or a
// snapshot if they are no longer retained.
registry_update update_since(const registry_log& log,
                             const replication_position& position);

} // namespace anvilturn

#endif
