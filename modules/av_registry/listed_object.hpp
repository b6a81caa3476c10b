#ifndef AV_REGISTRY_LISTED_OBJECT_HPP
#define AV_REGISTRY_LISTED_OBJECT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace anvilturn
{

// Revision of the store; it grows with each change.
using store_revision = std::uint64_t;

// One object of a collection in the store, with its decoded value.
template <typename Value>
struct listed_object
{
    std::string name_;
    // Revision of the store at the object's last change.
    store_revision revision_ = 0;
    // Nothing if the object can't be decoded; decode_error_ then says why.
    std::optional<Value> value_;
    std::string decode_error_;
};

// One page of a collection.
template <typename Value>
struct listing_page
{
    std::vector<listed_object<Value>> objects_;
    bool has_more_ = false;
    // Revision of the store when the page was created.
    store_revision revision_ = 0;
};

// An object that was changed or removed.
template <typename Value>
struct object_change
{
    listed_object<Value> object_;
    bool removed_ = false;
    // The object is no longer listed but may return. A receiver that has it
    // keeps it for now; one that does not have it does not add it.
    bool expiring_ = false;
};

// Changes of a collection.
template <typename Value>
struct object_changes
{
    std::vector<object_change<Value>> changes_;
    // Revision after which the next changes follow.
    store_revision revision_ = 0;
};

} // namespace anvilturn

#endif
