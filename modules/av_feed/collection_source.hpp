#ifndef AV_FEED_COLLECTION_SOURCE_HPP
#define AV_FEED_COLLECTION_SOURCE_HPP

#include <av_core/milliseconds.hpp>
#include <av_registry/listed_object.hpp>

#include <absl/status/statusor.h>

#include <functional>
#include <string>

namespace anvilturn
{

// The calls that read one collection of the store. Each calls back exactly
// once, after it has returned, on the thread that made it.
template <typename Value>
struct collection_source
{
    using listing = absl::StatusOr<listing_page<Value>>;
    using changes = absl::StatusOr<object_changes<Value>>;

    // Reads the page after the object of that name; an empty name gives the
    // first page.
    std::function<void(const std::string& after,
                       std::function<void(listing)> done)>
        list_;
    // Waits for changes after the revision, at most for the time given. Fails
    // with platform_history_gone if the store no longer has them.
    std::function<void(store_revision since,
                       milliseconds wait,
                       std::function<void(changes)> done)>
        watch_;

    // Reads the changes after the revision without waiting for any. The
    // response is never stale. Fails like a watch, or if no response comes
    // within the timeout.
    std::function<void(store_revision since,
                       milliseconds timeout,
                       std::function<void(changes)> done)>
        read_changes_;
};

} // namespace anvilturn

#endif
