#ifndef AV_FEED_COLLECTION_SOURCE_HPP
#define AV_FEED_COLLECTION_SOURCE_HPP

#include <av_core/milliseconds.hpp>
#include <av_registry/listed_object.hpp>

#include <absl/status/statusor.h>

#include <functional>
#include <string>

namespace anvilturn
{

// How one collection of the store is read. Each call calls back once, later,
// on the thread that made it.
template <typename Value>
struct collection_source
{
    using listing = absl::StatusOr<listing_page<Value>>;
    using changes = absl::StatusOr<object_changes<Value>>;

    // Reads the page that follows the object of that name; the first page
    // follows the empty name.
    std::function<void(const std::string& after,
                       std::function<void(listing)> done)>
        list_;
    // Waits for changes after the revision, at most for the time given.
    // Fails with platform_history_gone if the store has forgotten them.
    std::function<void(store_revision since,
                       milliseconds wait,
                       std::function<void(changes)> done)>
        watch_;

    // Asks within the timeout whether the store knows of changes after the
    // revision, by the cheapest kind of call; the answer may be out of date.
    std::function<void(store_revision since,
                       milliseconds timeout,
                       std::function<void(absl::StatusOr<bool>)> done)>
        has_changes_;
};

} // namespace anvilturn

#endif
