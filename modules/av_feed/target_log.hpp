// Private to av_feed.

#ifndef AV_FEED_TARGET_LOG_HPP
#define AV_FEED_TARGET_LOG_HPP

#include <av_model/target_spec.hpp>
#include <av_registry/evacuated_domains.hpp>
#include <av_registry/listed_object.hpp>

#include <map>
#include <string>

namespace anvilturn
{

// Logs one line for each target that was registered, changed or unregistered
// between two states at that revision of the store. The first targets of a VM
// get one line together, since one each would crowd out other events.
void log_target_changes(const std::map<std::string, target_spec>& before,
                        const std::map<std::string, target_spec>& after,
                        store_revision revision);

// Logs one line for each failure domain whose evacuation began or ended between
// two states. On a VM with a watcher, the revision is the one up to which the
// watcher knows the targets.
void log_evacuation_changes(const domain_set& before,
                            const domain_set& after,
                            store_revision revision);

} // namespace anvilturn

#endif
