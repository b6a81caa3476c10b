#ifndef AV_REPLICATION_REGISTRY_UPDATE_HPP
#define AV_REPLICATION_REGISTRY_UPDATE_HPP

#include <av_core/milliseconds.hpp>
#include <av_model/release.hpp>
#include <av_registry/target_registry.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace anvilturn
{

// What a VM holds from a watcher, by which it asks for what follows.
struct replication_position
{
    // Drawn at the watcher's start; zero for nothing.
    std::uint64_t epoch_ = 0;
    std::uint64_t sequence_ = 0;
    release_version release_version_ = 0;
    // Whether only the watcher's failure domain, and how long the store has not
    // answered it, is asked for.
    bool status_query_only_ = false;
};

// What a watcher tells.
struct registry_update
{
    // Zero from a watcher that has nothing to tell yet.
    std::uint64_t epoch_ = 0;
    std::uint64_t sequence_ = 0;
    // The changes name all targets that there are.
    bool is_snapshot_ = false;
    // Where the watcher stands.
    std::string failure_domain_;
    // Of the store, up to which the targets are known.
    store_revision store_revision_ = 0;
    // Since the store last answered the watcher.
    milliseconds store_response_age_;
    std::vector<target_change> changes_;
    // Null unless it is newer than what the receiver holds.
    std::shared_ptr<const release> release_;
};

} // namespace anvilturn

#endif
