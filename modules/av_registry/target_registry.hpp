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

// One entry that targets registered.
struct registered_target
{
    target_spec spec_;
    store_revision revision_ = 0;
    // When it is dropped unless it comes back; nothing while it is listed.
    std::optional<milliseconds> expires_at_;
};

// The targets that are registered, as one VM knows them. Points in time are of
// the monotonic clock.
struct target_registry
{
    std::map<std::string, registered_target> entries_;
    // When the store was last found to answer again after an outage.
    std::optional<milliseconds> store_recovered_at_;
};

// Entries lapse while the store is away and are back within this time of its
// return, if their targets live. What is missing longer is gone.
constexpr milliseconds expiry_grace_period{2100.0};

// Records that the store answers again after an outage.
void record_store_recovery(target_registry& registry, milliseconds now);

// Takes the whole collection.
void apply_listing(target_registry& registry,
                   const std::vector<listed_target>& objects,
                   milliseconds now);

// Takes changes in their order. A change that is older than what is known of
// the entry is passed over, as is an entry of an earlier start of the target.
void apply_changes(target_registry& registry,
                   const std::vector<target_change>& changes,
                   milliseconds now);

// Takes all entries as another VM holds them, which has waited for those that
// lapsed. Entries that lapse there are kept here, but not taken up.
void apply_snapshot(target_registry& registry,
                    const std::vector<target_change>& changes);

// Drops the entries that did not come back in time.
void remove_expired(target_registry& registry, milliseconds now);

// Returns when the next entry is to be dropped, if one is.
std::optional<milliseconds> next_expiry(const target_registry& registry);

// Returns the targets by name; some of them are draining.
std::map<std::string, target_spec>
registered_targets(const target_registry& registry);

} // namespace anvilturn

#endif
