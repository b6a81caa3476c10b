#ifndef AV_RELEASE_RELEASE_ORDER_HPP
#define AV_RELEASE_RELEASE_ORDER_HPP

#include <av_model/release.hpp>

namespace anvilturn
{

// How a received release compares with the one in force.
enum class release_order
{
    // Its version is higher; it replaces the one in force.
    newer,
    // Same version and same content.
    same,
    // Its version is lower: a stale read, or the sender has an older release.
    older,
    // Same version with different content. Accepted notes can't cause this:
    // the platform's object was replaced by other means.
    diverged
};

// Compares a received release with the release in force.
release_order compare_releases(const release& in_force,
                               const release& received);

// Returns the received release if its version is higher, else the release in
// force. The version in force never decreases, whatever the order and number
// of received releases. The result refers to one of the arguments.
const release& newer_release(const release& in_force, const release& received);

} // namespace anvilturn

#endif
