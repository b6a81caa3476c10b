#ifndef AV_REPLICATION_REGISTRY_UPDATE_HPP
#define AV_REPLICATION_REGISTRY_UPDATE_HPP

#include <av_core/milliseconds.hpp>
#include <av_model/release.hpp>
#include <av_registry/target_registry.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvilturn
{

// How far a VM has followed a watcher. A subscription requests what comes after
// it.
struct replication_position
{
    // Random number chosen at the watcher's start; zero if nothing is known
    // from it.
    std::uint64_t epoch_ = 0;
    std::uint64_t sequence_ = 0;
    release_version release_version_ = 0;
    // Whether this is a status query, which requests only the watcher's failure
    // domain and the age of the store's last response to it.
    bool status_query_only_ = false;
    // Where the subscriber accepts subscribers itself, IP address and port;
    // empty if it accepts none.
    std::string peer_address_{};
};

// A message from a watcher to its subscribers.
struct registry_update
{
    // Zero in a status report, which has no contents.
    std::uint64_t epoch_ = 0;
    std::uint64_t sequence_ = 0;
    // Whether the changes list all existing targets.
    bool is_snapshot_ = false;
    // Failure domain of the watcher.
    std::string failure_domain_;
    // Revision of the store up to which the watcher knows the targets.
    store_revision store_revision_ = 0;
    // Time since the contents that the watcher has read from the store were
    // certainly complete, when it composed the message.
    milliseconds contents_age_;
    // The same of the contents that it has read or got from another watcher;
    // nothing if it doesn't report that. Watchers ignore it, so that they don't
    // follow each other in a circle.
    std::optional<milliseconds> relayed_contents_age_;
    // Time since the store last answered the watcher or another one that it
    // follows, whatever it answered; nothing if it doesn't report that. Tells
    // an outage of the store from contents that grow old.
    std::optional<milliseconds> answer_age_;
    // How long the message took to arrive; zero at the watcher.
    milliseconds transfer_time_;
    std::vector<target_change> changes_;
    // Null unless it is newer than the release of the receiver.
    std::shared_ptr<const release> release_;
    // Whether the release was sent by a watcher of a version that does not know
    // accounts, so that it can't be told whether there are any.
    bool release_lacks_accounts_ = false;
    // Addresses of the standbys: subscribers that watch the store themselves
    // and serve others if the watchers can't. Nothing if they are as before.
    std::optional<std::vector<std::string>> standbys_;
    // The evacuated failure domains. Nothing if they are as before, or if the
    // watcher does not know them.
    std::optional<std::set<std::string>> evacuated_domains_;
};

// Returns the age of the contents on which subscribers rely: the relayed one if
// the watcher reports it, otherwise that of the watcher's own.
inline milliseconds age_for_subscribers(const registry_update& update)
{
    return update.relayed_contents_age_.value_or(update.contents_age_);
}

} // namespace anvilturn

#endif
