#ifndef AV_REGISTRY_LISTED_OBJECT_HPP
#define AV_REGISTRY_LISTED_OBJECT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace anvilturn
{

// Counts the changes of the store; grows by each.
using store_revision = std::uint64_t;

// One object of a collection in the store, with its value decoded.
template <typename Value>
struct listed_object
{
    std::string name_;
    // Of the object's last change.
    store_revision revision_ = 0;
    // Nothing if the object can't be read; the problem then says why.
    std::optional<Value> value_;
    std::string decode_error_;
};

// One page of a collection.
template <typename Value>
struct listing_page
{
    std::vector<listed_object<Value>> objects_;
    bool has_more_ = false;
    // Of the store when the page was made.
    store_revision revision_ = 0;
};

// An object that was changed or removed.
template <typename Value>
struct object_change
{
    listed_object<Value> object_;
    bool removed_ = false;
    // The object is gone but may come back: who has it keeps it for now, who
    // does not have it leaves it.
    bool expiring_ = false;
};

// What has changed in a collection.
template <typename Value>
struct object_changes
{
    std::vector<object_change<Value>> changes_;
    // From where the next changes follow.
    store_revision revision_ = 0;
};

} // namespace anvilturn

#endif
