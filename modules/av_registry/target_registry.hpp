#ifndef AV_REGISTRY_TARGET_REGISTRY_HPP
#define AV_REGISTRY_TARGET_REGISTRY_HPP

#include <av_core/milliseconds.hpp>
#include <av_model/target_spec.hpp>
#include <av_registry/listed_object.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilturn
{

using listed_target = listed_object<target_spec>;
using target_change = object_change<target_spec>;

// The registration of one target.
struct registered_target
{
    target_spec spec_;
    store_revision revision_ = 0;
    // When the entry is removed unless it is listed again; nothing while it is
    // listed.
    std::optional<milliseconds> expires_at_;
};

// The registered targets as known to one VM. Points in time are those of the
// monotonic clock.
struct target_registry
{
    std::map<std::string, registered_target> entries_;
    // Shortest time without an answer of the store in which the entry of a live
    // target can expire. After a shorter one a missing entry is truly gone.
    milliseconds min_expiring_outage_;
    // When the store last answered, to this VM or to the watcher whose updates
    // it applies.
    std::optional<milliseconds> store_answered_at_;
    // When the store first answered after an outage in which entries can
    // expire.
    std::optional<milliseconds> store_recovered_at_;
};

// Returns the shortest outage in which the entry of a target that sends a
// heartbeat at this interval can expire.
milliseconds min_expiring_outage(milliseconds heartbeat_interval);

// Entries expire while the store is unreachable; targets that are alive are
// registered again within this time after its recovery. An entry that is still
// missing then is removed.
constexpr milliseconds expiry_grace_period{2100.0};

// Records that the store has answered at this time, before its answer is
// applied. Ignored if a later answer is known.
void record_store_answer(target_registry& registry, milliseconds answered_at);

// Applies a complete listing of the collection.
void apply_listing(target_registry& registry,
                   const std::vector<listed_target>& objects,
                   milliseconds now);

// Applies changes in their order. A change with an older revision than that of
// the known entry is ignored, and so is an entry of an earlier start of the
// target unless it is leaving. An entry that is expiring at another VM is
// removed at once unless this VM has seen an outage too: without one, a missing
// target has left.
void apply_changes(target_registry& registry,
                   const std::vector<target_change>& changes,
                   milliseconds now);

// Applies a complete snapshot of the entries of another VM. Entries that are
// missing from it are removed at once, since that VM has already waited for
// their return. Entries that are expiring there are treated as by
// apply_changes.
void apply_snapshot(target_registry& registry,
                    const std::vector<target_change>& changes,
                    milliseconds now);

// Removes the entries that were not listed again within the grace period.
void remove_expired(target_registry& registry, milliseconds now);

// Returns when the next entry expires, or nothing if none does.
std::optional<milliseconds> next_expiry(const target_registry& registry);

// Returns the registered targets by name, draining ones included.
std::map<std::string, target_spec>
registered_targets(const target_registry& registry);

} // namespace anvilturn

#endif
